#pragma once

#include "geraniumpin/version/version_id.hpp"

#include <compare>

namespace geraniumpin {

/// \brief The highest of the versions that peers have stated.
///
/// Those of nodes of earlier releases are kept apart, since a revision alone has no place in the
/// order of the others.
///
/// \code
/// const auto highest = HighestVersion().With(a).With(b);
/// assert(!highest.IsAbove(running) || Supersedes(a, running) || Supersedes(b, running));
/// \endcode
class HighestVersion
{
public:
  /// \brief Returns the highest version with a further one taken into account.
  [[nodiscard]] HighestVersion With(const VersionId& aId) const
  {
    auto next = *this;
    auto& known = aId.number_.document_ == 0 ? next.ofEarlierReleases_ : next.ordered_;
    known = Supersedes(aId, known) ? aId : known;
    return next;
  }

  /// \brief Returns true if a node that runs a version is to replace it by one of them.
  [[nodiscard]] bool IsAbove(const VersionId& aRunning) const noexcept
  {
    return Supersedes(ordered_, aRunning) || Supersedes(ofEarlierReleases_, aRunning);
  }

  auto operator<=>(const HighestVersion&) const = default;

private:
  VersionId ordered_;
  VersionId ofEarlierReleases_;
};

} // namespace geraniumpin
