#pragma once

#include "geraniumpin/version/digest.hpp"

#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Position of a configuration in the order of all configurations of a mesh.
///
/// The document goes first, so that a platform that comes back from an older copy never replaces a
/// document, and its withdrawn keys, by an earlier one. The era goes before the revision, since
/// such a platform gives out revisions again.
///
/// \code
/// assert((VersionNumber{ .document_ = 7, .era_ = 2, .revision_ = 40 } >
///         VersionNumber{ .document_ = 7, .era_ = 1, .revision_ = 90 }));
/// \endcode
struct VersionNumber
{
  /// interim_ of the content of a revision that follows other contents of it.
  static constexpr std::uint32_t kSettled = 0xffffffff;

  std::uint64_t document_ = 0; ///< number of the operators' document; 0: not stated
  std::uint64_t era_ = 0;      ///< of the platform's store; 0: it states none and never went back
  std::uint64_t revision_ = 0; ///< of the platform's store; 0: no configuration
  /// Counts contents that come after that of the revision and before the next one: they have some,
  /// but not all, of the changes that follow, or items that are held. 0 and kSettled: the content
  /// of the revision.
  std::uint32_t interim_ = 0;

  /// \brief Returns true if the content depends on the platform alone.
  [[nodiscard]] constexpr bool IsExact() const noexcept
  {
    return interim_ == 0 || interim_ == kSettled;
  }

  auto operator<=>(const VersionNumber&) const = default;
};

/// \brief Identifies a published configuration by its number and the digest of its manifest.
///
/// The content of a number that is not interim depends on the platform alone, so two digests of it
/// are a fault of the publisher. Interim numbers also depend on what their publisher knew before.
struct VersionId
{
  VersionNumber number_;
  Digest digest_;

  auto operator<=>(const VersionId&) const = default;
};

/// \brief Returns true if there is a configuration.
[[nodiscard]] constexpr bool
IsConfiguration(const VersionId& aId) noexcept
{
  return aId.number_.revision_ != 0;
}

/// \brief Returns true if a node of an earlier release states the version: it does not know the
/// document.
[[nodiscard]] constexpr bool
IsOfEarlierRelease(const VersionId& aId) noexcept
{
  return IsConfiguration(aId) && aId.number_.document_ == 0;
}

/// \brief Returns true if a node that runs a version is to replace it by the offered one.
///
/// Nodes of earlier releases state neither document nor era and compare revisions alone. What such
/// a node offers is ordered only in era 0, since its revision may be of any era; what it runs is
/// compared as it compares itself.
[[nodiscard]] constexpr bool
Supersedes(const VersionId& aOffered, const VersionId& aRunning) noexcept
{
  const auto& offered = aOffered.number_;
  const auto& running = aRunning.number_;
  const bool isOfferUnordered = offered.document_ == 0 && running.era_ != 0;
  if (offered.document_ == 0 || running.document_ == 0) {
    return !isOfferUnordered && offered.revision_ > running.revision_;
  }
  if (offered == running && !offered.IsExact()) {
    return aOffered.digest_ > aRunning.digest_; // all nodes prefer the same one
  }
  return offered > running;
}

/// \brief Returns true if an offer states no place in the order and could be newer than the running
/// version: a node of an earlier release offers it, after the platform went back.
[[nodiscard]] constexpr bool
IsUnordered(const VersionId& aOffered, const VersionId& aRunning) noexcept
{
  return aOffered.number_.document_ == 0 && aRunning.number_.era_ != 0 &&
         aOffered.number_.revision_ > aRunning.number_.revision_;
}

} // namespace geraniumpin
