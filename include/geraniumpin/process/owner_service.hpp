#pragma once

#include "geraniumpin/process/admission.hpp"
#include "geraniumpin/process/call_tokens.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/request/owned_attempt.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Stands before the backend server of this VM: checks, admits, runs, replies.
///
/// It is the only one that sends the backend server anything, so each of its decisions needs no
/// agreement with other nodes.
template<Environment Env>
class OwnerService
{
public:
  /// Time for which the id of a finished attempt is remembered.
  static constexpr std::chrono::seconds kAttemptMemory{ 60 };

  OwnerService(NodeContext<Env>& aContext, CallTokens& aTokens)
    : context_(aContext)
    , tokens_(aTokens)
    , admission_(1)
  {
  }

  /// \brief Adapts to a new snapshot: slots, placement, failure domain in service or not.
  void OnSnapshot(const Snapshot& aSnapshot)
  {
    const auto placement = aSnapshot.FindPlacement(context_.Self());
    if (!placement) {
      service_.clear();
      return;
    }
    service_ = placement->service_.name_;
    admission_.SetSlots(placement->service_.slots_);
    const bool wasInService = inService_;
    inService_ = aSnapshot.FindFailureDomain(placement->backendServer_.failureDomain_)->inService_;
    if (inService_ && !wasInService) {
      admission_.RestartProbing(placement->service_.slots_);
    }
  }

  /// \brief Takes in an attempt; a repeated message of one is dropped.
  void OnRequest(const Envelope& aEnvelope, const CallRequest& aRequest)
  {
    const AttemptId id{ aRequest.id_, aRequest.attempt_ };
    if (attempts_.contains(id) || finished_.contains(id)) {
      context_.Measures().Count("repeated_attempts");
      return;
    }
    if (const auto refusal = Check(aEnvelope, aRequest)) {
      Reply(aEnvelope.sender_, id, Answer::Refused(Outcome::NotRun, *refusal));
      return;
    }
    Offer(id, aEnvelope.sender_, aRequest);
  }

  /// \brief Stops an attempt that nobody waits for any more.
  void OnCancel(const CallCancel& aCancel)
  {
    const AttemptId id{ aCancel.id_, aCancel.attempt_ };
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      Remember(id); // the request itself may arrive later
      return;
    }
    if (admission_.RemoveQueued(id)) {
      End(id, Answer::Refused(Outcome::NotRun, Reason::Cancelled));
      return;
    }
    context_.Outside().backend_.Cancel(id);
    const auto startedAt = found->second.startedAt_;
    End(id, Answer::Refused(Outcome::Unknown, Reason::Cancelled));
    Act(admission_.OnEnd(WorkResult::Ignored, startedAt, context_.Now()));
  }

  /// \brief Takes in how the backend server ended an attempt.
  void OnBackendEnd(const BackendEnd& aEnd)
  {
    const auto found = attempts_.find(aEnd.id_);
    if (found == attempts_.end()) {
      return;
    }
    const auto startedAt = found->second.startedAt_;
    context_.Measures().Record("backend_ms", context_.Now() - startedAt);
    auto actions = admission_.OnEnd(ResultOf(aEnd.result_), startedAt, context_.Now());
    End(aEnd.id_, AnswerOf(aEnd));
    Act(actions);
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    Act(admission_.Advance(now));
    while (!running_.empty() && running_.begin()->first <= now) {
      OnRunningDeadline(running_.begin()->second);
    }
    while (!memory_.empty() && memory_.front().first <= now) {
      finished_.erase(memory_.front().second);
      memory_.pop_front();
    }
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    auto next = admission_.NextDeadline();
    if (!running_.empty()) {
      const auto first = running_.begin()->first;
      next = next ? std::min(*next, first) : first;
    }
    return next;
  }

  [[nodiscard]] std::size_t InFlight() const noexcept { return attempts_.size(); }
  [[nodiscard]] double Limit() const noexcept { return admission_.Limit(); }
  [[nodiscard]] std::size_t Queued() const noexcept { return admission_.Queued(); }

private:
  [[nodiscard]] std::optional<Reason> Check(const Envelope& aEnvelope,
                                            const CallRequest& aRequest) const
  {
    const bool earlierIncarnation = aEnvelope.receiverIncarnation_ != 0 &&
                                    aEnvelope.receiverIncarnation_ != context_.Incarnation();
    if (earlierIncarnation) {
      return Reason::WrongNode;
    }
    if (context_.Members().IsLeaving()) {
      return Reason::Draining;
    }
    if (aRequest.remaining_ <= Duration{}) {
      return Reason::DeadlinePassed;
    }
    const auto& snapshot = context_.Versions().Current();
    if (!snapshot) {
      return Reason::NotReady;
    }
    if (!inService_) {
      return Reason::OutOfService;
    }
    return CheckAgainst(*snapshot, aEnvelope, aRequest);
  }

  /// Checks the route and the key again, since this node may know a newer version than the sender.
  [[nodiscard]] std::optional<Reason> CheckAgainst(const Snapshot& aSnapshot,
                                                   const Envelope& aEnvelope,
                                                   const CallRequest& aRequest) const
  {
    const bool behind = aSnapshot.Id().number_ < aEnvelope.announced_.number_;
    const auto* route = aSnapshot.FindRoute(aRequest.method_, aRequest.path_);
    if (route == nullptr || route->service_ != service_) {
      return behind ? Reason::VersionBehind : Reason::WrongNode;
    }
    if (route->access_ == Access::Open) {
      return std::nullopt;
    }
    const auto* key = aSnapshot.FindKey(aRequest.keyDigest_);
    if (key == nullptr || key->team_ != aRequest.team_) {
      return behind ? Reason::VersionBehind : Reason::KeyUnknown;
    }
    return std::nullopt;
  }

  void Offer(const AttemptId& aId, const NodeAddress& aEntry, const CallRequest& aRequest)
  {
    const auto now = context_.Now();
    const QueuedWork<AttemptId> work{
      aId, aRequest.team_, ExpectedCost(aRequest.route_), now + aRequest.remaining_
    };
    const auto admitted = admission_.Offer(work, now);
    WriteAdmission(aId, aRequest, admitted);
    if (!admitted) {
      Reply(aEntry, aId, Answer::Refused(Outcome::NotRun, admitted.error()));
      return;
    }
    attempts_.emplace(aId, OwnedAttempt{ aEntry, aRequest, work.deadline_ });
    if (*admitted == Admitted::Start) {
      Start(aId);
    }
  }

  void Start(const AttemptId& aId)
  {
    auto& attempt = attempts_.at(aId);
    const auto& request = attempt.request_;
    const auto now = context_.Now();
    attempt.startedAt_ = now;
    running_.emplace(attempt.deadline_, aId);
    const TokenHolder holder{ request.team_, request.keyDigest_, attempt.deadline_ };
    auto token = tokens_.Issue(aId, holder, context_.Outside().random_);
    context_.Outside().backend_.Start({ .id_ = aId,
                                        .method_ = request.method_,
                                        .path_ = request.path_,
                                        .headers_ = request.headers_,
                                        .body_ = request.body_,
                                        .callToken_ = std::move(token),
                                        .remaining_ = attempt.deadline_ - now });
  }

  void Act(const AdmissionActions<AttemptId>& aActions)
  {
    for (const auto& id : aActions.expired_) {
      End(id, Answer::Refused(Outcome::NotRun, Reason::DeadlinePassed));
    }
    for (const auto& id : aActions.start_) {
      Start(id);
    }
  }

  void OnRunningDeadline(const AttemptId& aId)
  {
    const auto id = aId;
    const auto startedAt = attempts_.at(id).startedAt_;
    context_.Outside().backend_.Cancel(id);
    End(id, Answer::Refused(Outcome::Unknown, Reason::DeadlinePassed));
    Act(admission_.OnEnd(WorkResult::Shed, startedAt, context_.Now()));
  }

  /// Ends an attempt that is queued or running, and tells its entry node.
  void End(const AttemptId& aId, const Answer& aAnswer)
  {
    const auto found = attempts_.find(aId);
    const auto entry = found->second.entry_;
    const auto& route = found->second.request_.route_;
    if (aAnswer.outcome_ == Outcome::Answered) {
      auto& cost = costs_[route];
      const auto took = context_.Now() - found->second.startedAt_;
      cost = cost == Duration{} ? took : (cost * 7 + took) / 8;
    }
    running_.erase({ found->second.deadline_, aId });
    tokens_.Revoke(aId);
    attempts_.erase(found);
    Reply(entry, aId, aAnswer);
  }

  void Reply(const NodeAddress& aEntry, const AttemptId& aId, const Answer& aAnswer)
  {
    Remember(aId);
    const bool takesWork = inService_ && !context_.Members().IsLeaving();
    context_.Send(aEntry,
                  CallReply{ .id_ = aId.call_,
                             .attempt_ = aId.attempt_,
                             .answer_ = aAnswer,
                             .hint_ = { admission_.Load(), takesWork } });
  }

  void Remember(const AttemptId& aId)
  {
    if (finished_.insert(aId).second) {
      memory_.emplace_back(context_.Now() + kAttemptMemory, aId);
    }
  }

  void WriteAdmission(const AttemptId& aId,
                      const CallRequest& aRequest,
                      const tl::expected<Admitted, Reason>& aAdmitted)
  {
    const auto decision = !aAdmitted                      ? ToString(aAdmitted.error())
                          : *aAdmitted == Admitted::Start ? "start"
                                                          : "queued";
    context_.Write(LogEvent("admission")
                     .With("call", ToString(aId.call_))
                     .With("attempt", aId.attempt_)
                     .With("team", aRequest.team_)
                     .With("decision", decision)
                     .With("in_flight", admission_.InFlight())
                     .With("queued", admission_.Queued())
                     .With("limit", admission_.Limit()));
  }

  [[nodiscard]] Duration ExpectedCost(const std::string& aRoute) const
  {
    const auto found = costs_.find(aRoute);
    return found == costs_.end() ? admission_.ServiceTime() : found->second;
  }

  [[nodiscard]] static WorkResult ResultOf(BackendResult aResult) noexcept
  {
    return aResult == BackendResult::Answered ? WorkResult::Success : WorkResult::Shed;
  }

  [[nodiscard]] static Answer AnswerOf(const BackendEnd& aEnd)
  {
    switch (aEnd.result_) {
      case BackendResult::Answered:
        return { .outcome_ = Outcome::Answered,
                 .reason_ = Reason::None,
                 .status_ = aEnd.status_,
                 .headers_ = aEnd.headers_,
                 .body_ = aEnd.body_ };
      case BackendResult::Shed:
        return Answer::Refused(Outcome::NotRun, Reason::Shed);
      case BackendResult::ConnectFailed:
        return Answer::Refused(Outcome::NotRun, Reason::ConnectFailed);
      case BackendResult::Broken:
        break;
    }
    return Answer::Refused(Outcome::Unknown, Reason::ConnectionBroken);
  }

  NodeContext<Env>& context_;
  CallTokens& tokens_;
  Admission<AttemptId> admission_;
  std::string service_;
  bool inService_ = false;
  std::map<AttemptId, OwnedAttempt> attempts_;
  std::set<std::pair<TimePoint, AttemptId>> running_;
  std::set<AttemptId> finished_;
  std::deque<std::pair<TimePoint, AttemptId>> memory_;
  std::map<std::string, Duration> costs_;
};

} // namespace geraniumpin
