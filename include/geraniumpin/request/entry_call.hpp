#pragma once

#include "geraniumpin/connection/lease_holder.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/request/route_decision.hpp"

#include <optional>
#include <set>

namespace geraniumpin {

/// \brief Where a request stands at its entry node.
enum class EntryStage
{
  WaitingForToken, ///< waits for a token of its team
  AtOwner          ///< an attempt is at an owner node
};

/// \brief A request that its entry node has accepted; it lives until the caller has its answer.
struct EntryCall
{
  const Call call_;
  const RouteDecision decision_;
  const TimePoint deadline_;
  EntryStage stage_ = EntryStage::WaitingForToken;
  std::optional<ConsumedToken> token_;
  std::string service_;               ///< the destination that the request was dealt to
  std::uint32_t attempts_ = 0;        ///< messages to owner nodes
  bool mayHaveRun_ = false;           ///< an attempt ended without a word on whether it ran
  std::set<std::string> instances_;   ///< those that they may have reached
  std::string instance_;              ///< of the last attempt
  std::optional<Answer> firstAnswer_; ///< the first answer of an instance, if it was a failure
  std::optional<Answer> lastAttemptResult_; ///< how the last attempt ended, if another one follows
  NodeAddress owner_;
  TimePoint sentAt_{};      ///< when the last attempt left
  TimePoint firstSentAt_{}; ///< when the first attempt left; zero before
  Duration queueTime_{};    ///< of the last attempt, as its owner reported
  Duration instanceTime_{}; ///< of the last attempt at the instance
  std::set<NodeAddress> triedOwners_;
};

} // namespace geraniumpin
