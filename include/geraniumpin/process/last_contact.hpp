#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>

namespace geraniumpin {

/// \brief Time of the latest contact with a remote party, by this node or by a peer that reported.
///
/// Peers report an age, since their clocks are not comparable.
class LastContact
{
public:
  explicit LastContact(TimePoint aStart) noexcept
    : contactAt_(aStart)
  {
  }

  [[nodiscard]] LastContact AfterContact(TimePoint aNow) const noexcept
  {
    return LastContact(std::max(contactAt_, aNow));
  }

  /// \param aAge Age of the contact that a peer reported; a negative age counts as 0.
  /// \param aNow Time at which the report arrived.
  [[nodiscard]] LastContact AfterReportedAge(Duration aAge, TimePoint aNow) const noexcept
  {
    return AfterContact(aNow - std::max(aAge, Duration{}));
  }

  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept { return aNow - contactAt_; }

  auto operator<=>(const LastContact&) const = default;

private:
  TimePoint contactAt_;
};

} // namespace geraniumpin
