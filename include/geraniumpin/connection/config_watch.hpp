#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief One item of the platform, not yet decoded.
struct PublishedItem
{
  std::string key_;
  std::optional<std::string> value_; ///< nothing if the item was removed

  auto operator<=>(const PublishedItem&) const = default;
};

/// \brief How a read of the platform ended.
enum class ReadResult
{
  Complete,
  HistoryGone, ///< the changes after that revision are no longer available
  Failed
};

/// \brief What a read of the platform returned.
struct ItemsRead
{
  ReadResult result_ = ReadResult::Failed;
  std::vector<PublishedItem> items_;
  bool hasMore_ = false;       ///< further pages follow the last key
  std::uint64_t revision_ = 0; ///< of the platform when it answered
  /// Rises each time that the platform comes back from an older copy; nothing if it states none.
  std::optional<std::uint64_t> era_;
  std::string detail_; ///< why it failed; for logs
};

/// \brief How recent the configuration of a node is; logged with refusals that it causes.
struct ReadState
{
  Duration platformAge_{}; ///< since this node or a peer that reported last read the platform
  Duration ownAge_{};      ///< since this node last read it
  bool failing_ = false;   ///< the last read of this node failed

  auto operator<=>(const ReadState&) const = default;
};

/// \brief Reads the platform; each read ends with one ItemsRead at the node unless it is cancelled.
template<class S>
concept ConfigSource =
  requires(S& aSource, const std::string& aAfterKey, std::uint64_t aRevision, Duration aWait)
{
  aSource.ReadItems(aAfterKey);         ///< a page of all items; an empty key means the first one
  aSource.WatchItems(aRevision, aWait); ///< waits for changes after the revision
  aSource.CancelRead();                 ///< cancels the read in flight
};

} // namespace geraniumpin
