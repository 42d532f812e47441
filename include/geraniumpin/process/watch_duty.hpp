#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <cstddef>
#include <string>

namespace geraniumpin {

/// \brief What decides whether a node reads the platform.
struct WatchFacts
{
  const std::size_t rank_ = 0;   ///< among the working members of the failure domain
  const Duration platformAge_{}; ///< since anyone known read the platform

  auto operator<=>(const WatchFacts&) const = default;
};

/// \brief Nodes per failure domain that hold a watch at the platform. In a failure domain of up to
/// so many nodes each reads for itself, since a read is cheaper there than passing versions on.
inline constexpr std::size_t kWatchers = 6;

/// \brief Age of the platform's last news at which the first stand-in takes over.
inline constexpr std::chrono::milliseconds kWatchTakeOver{ 5000 };

/// \brief Further age for each later rank, so that stand-ins do not start together.
inline constexpr std::chrono::milliseconds kWatchStagger{ 1000 };

/// \brief What the nodes of a failure domain are ranked for as readers of the platform.
[[nodiscard]] inline std::string
ReaderSubject(const std::string& aFailureDomain)
{
  return "watch/" + aFailureDomain;
}

/// \brief Decides whether the node should read the platform now.
[[nodiscard]] constexpr bool
HasWatchDuty(const WatchFacts& aFacts) noexcept
{
  if (aFacts.rank_ < kWatchers) {
    return true;
  }
  const auto place = static_cast<std::int64_t>(aFacts.rank_ - kWatchers);
  return aFacts.platformAge_ > kWatchTakeOver + place * kWatchStagger;
}

} // namespace geraniumpin
