#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <cstddef>
#include <string>

namespace geraniumpin {

/// \brief Most nodes of a failure domain in which each holds a watch at the platform, since a read
/// is cheaper there than passing versions on.
inline constexpr std::size_t kAllWatch = 6;

/// \brief Nodes that hold a watch in larger failure domains.
///
/// Each change brings every watcher the whole document of the operators; with three watchers a node
/// of bobinaj-hub-grown learned of a leaving instance 33 ms after the bound (docs/PLATFORM.md).
inline constexpr std::size_t kWatchers = 6;

/// \brief The place of a node among the working members of its failure domain as readers.
struct ReaderPlace
{
  const std::size_t rank_ = 0;
  const std::size_t members_ = 1; ///< working nodes of the failure domain, itself included

  [[nodiscard]] constexpr std::size_t Watchers() const noexcept
  {
    return members_ <= kAllWatch ? members_ : kWatchers;
  }
  [[nodiscard]] constexpr bool IsWatcher() const noexcept { return rank_ < Watchers(); }

  auto operator<=>(const ReaderPlace&) const = default;
};

/// \brief What decides whether a node reads the platform.
struct WatchFacts
{
  const ReaderPlace place_;
  const Duration platformAge_{}; ///< since anyone known read the platform

  auto operator<=>(const WatchFacts&) const = default;
};

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
  if (aFacts.place_.IsWatcher()) {
    return true;
  }
  const auto turn = static_cast<std::int64_t>(aFacts.place_.rank_ - aFacts.place_.Watchers());
  return aFacts.platformAge_ > kWatchTakeOver + turn * kWatchStagger;
}

} // namespace geraniumpin
