#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <cstddef>
#include <string>

namespace geraniumpin {

/// \brief Most nodes of a failure domain in which each holds a watch at the platform, since a read
/// is cheaper there than passing versions on.
inline constexpr std::size_t kMaxNodesAllWatching = 6;

/// \brief Nodes that hold a watch in larger failure domains.
///
/// Each change brings every watcher the whole document of the operators; with three watchers a node
/// of bobinaj-hub-grown learned of a leaving instance 33 ms after the bound (docs/PLATFORM.md).
inline constexpr std::size_t kWatchers = 6;

/// \brief The place of a node among the working members of its failure domain as readers.
struct WatcherRank
{
  const std::size_t rank_ = 0;
  const std::size_t nodeCount_ = 1; ///< working nodes of the failure domain, itself included

  [[nodiscard]] constexpr std::size_t WatcherCount() const noexcept
  {
    return nodeCount_ <= kMaxNodesAllWatching ? nodeCount_ : kWatchers;
  }
  [[nodiscard]] constexpr bool IsWatcher() const noexcept { return rank_ < WatcherCount(); }

  auto operator<=>(const WatcherRank&) const = default;
};

/// \brief What decides whether a node reads the platform.
struct WatcherInputs
{
  const WatcherRank watcherRank_;
  const Duration platformAge_{}; ///< since anyone known read the platform

  auto operator<=>(const WatcherInputs&) const = default;
};

/// \brief Age of the platform's last news at which the first stand-in takes over.
inline constexpr std::chrono::milliseconds kWatchTakeoverDelay{ 5000 };

/// \brief Further age for each later rank, so that stand-ins do not start together.
inline constexpr std::chrono::milliseconds kWatchTakeoverStagger{ 1000 };

/// \brief What the nodes of a failure domain are ranked for as readers of the platform.
[[nodiscard]] inline std::string
MakeWatcherSubject(const std::string& aFailureDomain)
{
  return "watch/" + aFailureDomain;
}

/// \brief Decides whether the node should read the platform now.
[[nodiscard]] constexpr bool
ShouldWatchPlatform(const WatcherInputs& aInputs) noexcept
{
  if (aInputs.watcherRank_.IsWatcher()) {
    return true;
  }
  const auto backupIndex =
    static_cast<std::int64_t>(aInputs.watcherRank_.rank_ - aInputs.watcherRank_.WatcherCount());
  return aInputs.platformAge_ > kWatchTakeoverDelay + backupIndex * kWatchTakeoverStagger;
}

} // namespace geraniumpin
