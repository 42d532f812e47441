#pragma once

#include "geraniumpin/connection/lease_holder.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/request/route_decision.hpp"

#include <optional>
#include <set>

namespace geraniumpin {

/// \brief Stage of a request at its entry node.
enum class EntryStage
{
  WaitingForToken, ///< of the team's rate limit
  AtOwner          ///< an attempt was sent to an owner node
};

/// \brief An attempt sent to an owner node.
struct SentAttempt
{
  NodeAddress owner_;
  std::uint32_t number_ = 0;

  auto operator<=>(const SentAttempt&) const = default;
};

/// \brief A request that its entry node accepted; removed when the caller gets the answer.
struct EntryCall
{
  const Call call_;
  const RouteDecision decision_;
  const TimePoint deadline_;
  const TimePoint acceptedAt_; ///< later than its arrival if it waited unread
  EntryStage stage_ = EntryStage::WaitingForToken;
  std::optional<ConsumedToken> token_;
  std::string service_;                   ///< destination of the request
  std::uint32_t attempts_ = 0;            ///< attempts sent to owner nodes
  std::uint32_t attempt_ = 0;             ///< number of the current attempt
  std::optional<SentAttempt> superseded_; ///< earlier attempt that may still be answered
  bool isHedged_ = false;                 ///< the superseded attempt was late, its owner in contact
  bool mayHaveRun_ = false;               ///< the outcome of an earlier attempt is unknown
  std::set<std::string> instances_;       ///< instances that ended attempts may have reached
  std::string instance_;                  ///< of the last attempt
  std::optional<Answer> firstAnswer_;     ///< first answer of an instance, if it was a server error
  std::optional<Answer> lastAttemptResult_; ///< set if another attempt follows
  NodeAddress owner_;
  TimePoint sentAt_{};      ///< when the last attempt was sent
  TimePoint firstSentAt_{}; ///< when the first attempt was sent; zero before
  Duration queueTime_{};    ///< of the last attempt, as its owner reported
  Duration instanceTime_{}; ///< of the last attempt at the instance
  std::set<NodeAddress> triedOwners_;
};

} // namespace geraniumpin
