#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <string>

namespace geraniumpin {

/// \brief Number of nodes of all failure domains up to which every node watches the platform.
///
/// In a small deployment, reads are cheaper than pushes between nodes.
inline constexpr std::size_t kMaxNodesAllWatching = 16;

/// \brief Number of nodes of each failure domain that watch the platform in larger deployments.
///
/// For the load pattern "calm day at size": each change costs one read for every watcher. Two are
/// enough, since a failure domain without any gets its versions from the others (ConfigService).
inline constexpr std::size_t kWatchers = 2;

/// \brief Rank of a node among the available nodes of its failure domain; the first ones watch.
struct WatcherRank
{
  const std::size_t rank_ = 0;
  const std::size_t nodeCount_ = 1;  ///< available nodes of the failure domain, itself included
  const std::size_t totalNodes_ = 1; ///< nodes of all failure domains

  [[nodiscard]] constexpr std::size_t WatcherCount() const noexcept
  {
    return totalNodes_ <= kMaxNodesAllWatching ? nodeCount_ : std::min(nodeCount_, kWatchers);
  }
  [[nodiscard]] constexpr bool IsWatcher() const noexcept { return rank_ < WatcherCount(); }

  auto operator<=>(const WatcherRank&) const = default;
};

/// \brief Inputs of the decision whether a node watches the platform.
struct WatcherInputs
{
  const WatcherRank watcherRank_;
  const Duration platformAge_{}; ///< since this node or a peer that reported last read it

  auto operator<=>(const WatcherInputs&) const = default;
};

/// \brief Age of the last contact with the platform after which the first backup watcher takes
/// over.
inline constexpr std::chrono::milliseconds kWatchTakeoverDelay{ 5000 };

/// \brief Additional age for each further rank, so that backup watchers do not start together.
inline constexpr std::chrono::milliseconds kWatchTakeoverStagger{ 1000 };

/// \brief Makes the text that is hashed to rank the nodes of a failure domain as watchers.
[[nodiscard]] inline std::string
MakeWatcherSubject(const std::string& aFailureDomain)
{
  return "watch/" + aFailureDomain;
}

/// \brief Returns true if the node should read the platform now.
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
