#pragma once

#include "geraniumpin/process/entry_service.hpp"
#include "geraniumpin/process/intake_queue.hpp"
#include "geraniumpin/process/node_context.hpp"

#include <map>
#include <utility>

namespace geraniumpin {

/// \brief Holds the requests of callers that were read in a turn, and starts or refuses them as its
/// last step.
template<NodePortSet PortSet>
class RequestIntake
{
public:
  /// Longest time for which requests are started in one turn; then responses that became ready are
  /// sent first. Short against the waits that requests are refused for.
  static constexpr std::chrono::milliseconds kMaxTimePerTurn{ 5 };

  RequestIntake(NodeContext<PortSet>& aContext, EntryService<PortSet>& aEntry)
    : context_(aContext)
    , entry_(aEntry)
  {
  }

  void Hold(const PreparedCall& aPrepared)
  {
    const auto& route = aPrepared.decision_.route_;
    const auto& call = aPrepared.call_;
    queue_.Push({ .rank_ = entry_.ComputeRank(aPrepared.decision_),
                  .arrivedAt_ = call.arrivedAt_,
                  .id_ = call.id_,
                  .maxWait_ = ComputeMaxIntakeWait(route.targetLatency_, route.timeout_) });
    prepared_.emplace(call.id_, aPrepared);
  }

  /// \brief Refuses what is late and starts requests by rank, for kMaxTimePerTurn at most.
  /// \param aSaturation Of the node, for the log.
  void OnTurn(double aSaturation)
  {
    const auto beganAt = context_.Now();
    for (const auto& late : queue_.TakeLate(beganAt)) {
      Refuse(late, aSaturation);
    }
    for (auto now = beganAt; now - beganAt <= kMaxTimePerTurn; now = context_.Now()) {
      const auto next = queue_.TakeNext(now);
      if (!next) {
        break;
      }
      const auto prepared = prepared_.extract(next->id_);
      entry_.Start(prepared.mapped());
    }
  }

  /// \brief Ends a held request whose caller closed its connection.
  void OnCallerGone(const CallId& aId)
  {
    if (queue_.Remove(aId)) {
      const auto prepared = prepared_.extract(aId);
      entry_.RefuseHeld(prepared.mapped().call_, Reason::Cancelled);
    }
  }

  /// \brief Refuses all held requests, at the end of a planned stop.
  void EndPending()
  {
    for (const auto& [id, prepared] : std::exchange(prepared_, {})) {
      queue_.Remove(id);
      entry_.RefuseHeld(prepared.call_, Reason::Draining);
    }
  }

  [[nodiscard]] std::size_t Held() const noexcept { return queue_.Size(); }

private:
  void Refuse(const HeldRequest& aLate, double aSaturation)
  {
    const auto prepared = prepared_.extract(aLate.id_);
    const auto& call = prepared.mapped().call_;
    const auto& route = prepared.mapped().decision_.route_;
    const Duration timeout = call.timeout_ > Duration{}
                               ? std::min<Duration>(route.timeout_, call.timeout_)
                               : Duration(route.timeout_);
    const auto waited = context_.Now() - aLate.arrivedAt_;
    const auto retryAfter = ComputeIntakeRetryAfter(
      route.targetLatency_, timeout - waited, DrawFraction(context_.Ports().random_));
    context_.GetMetrics().Count("intake_refused");
    entry_.RefuseOverloaded(
      call, { .rank_ = aLate.rank_, .waited_ = waited, .saturation_ = aSaturation }, retryAfter);
  }

  NodeContext<PortSet>& context_;
  EntryService<PortSet>& entry_;
  IntakeQueue queue_;
  std::map<CallId, PreparedCall> prepared_;
};

} // namespace geraniumpin
