#pragma once

#include "geraniumpin/process/admission.hpp"
#include "geraniumpin/process/call_routes.hpp"
#include "geraniumpin/process/call_tokens.hpp"
#include "geraniumpin/process/failure_breaker.hpp"
#include "geraniumpin/process/link_admission.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/own_instance.hpp"
#include "geraniumpin/process/owner_log.hpp"
#include "geraniumpin/process/pace_monitor.hpp"
#include "geraniumpin/process/room_tracker.hpp"
#include "geraniumpin/request/owned_attempt.hpp"
#include "geraniumpin/request/queue_timeout.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Serves attempts for the backend server of this VM: checks, admits, runs, replies.
///
/// Only the owner sends requests to the backend server, so its decisions need no agreement with
/// other nodes.
template<NodePortSet PortSet>
class OwnerService
{
public:
  /// Time for which the id of a finished attempt is kept to drop repeated messages.
  static constexpr std::chrono::seconds kFinishedAttemptRetention{ 15 };
  /// Time for which an instance counts as cold after a start if its service sets no cold time.
  static constexpr std::chrono::milliseconds kDefaultColdTime{ 3000 };
  /// Delay until the platform reports that an instance turned cold: two of its report intervals.
  static constexpr std::chrono::milliseconds kColdReportLag{ 2000 };
  /// Time after which one request is sent again to an instance that seems to have been replaced.
  static constexpr std::chrono::milliseconds kReplacedInstanceRetry{ 1000 };

  /// A cancelled attempt that ran longer than this multiple of its expected service time counts as
  /// shed.
  static constexpr int kOverdueFactor = 4;

  OwnerService(NodeContext<PortSet>& aContext, CallTokens& aTokens)
    : context_(aContext)
    , log_(aContext)
    , tokens_(aTokens)
    , admission_(1)
  {
  }

  /// \brief Applies a new snapshot: placement, slots, cold state, whether the failure domain is in
  /// service.
  void OnSnapshot(const Snapshot& aSnapshot)
  {
    UpdateCallRoutes(aSnapshot);
    const auto placement = aSnapshot.FindPlacement(context_.Self());
    if (!placement) {
      if (!service_.empty()) {
        context_.Write(LogEvent("instance_gone").With("instance", instance_.Name()));
      }
      service_.clear();
      instance_ = instance_.AfterRemoval();
      RefuseQueued(Reason::ServiceNotHere);
      return;
    }
    const auto& service = placement->service_;
    const auto& server = placement->backendServer_;
    const auto previous = std::exchange(instance_, instance_.After(server));
    const bool instanceChanged = !instance_.IsSameStart(previous);
    const bool wasInService =
      std::exchange(inService_, aSnapshot.FindFailureDomain(server.failureDomain_)->inService_);
    const bool serviceChanged = std::exchange(service_, service.name_) != service.name_;
    coldTime_ = service.coldTime_ > Duration{} ? Duration(service.coldTime_) : kDefaultColdTime;
    const auto slots = server.slots_ > 0 ? server.slots_ : service.slots_;
    auto& slowStart = admission_.SlowStart();
    slowStart.SetRate(service.coldRatePerSecond_);
    if (instanceChanged) {
      replacedUntil_.reset();
      breaker_ = {};
      pace_ = {};
      instanceSince_ = context_.Now();
      admission_.Restart(InstanceController::Make(server.slots_ > 0), slots);
      if (!server.cold_) {
        slowStart.SetWarm(); // the platform no longer reports this start as cold
      }
    }
    admission_.SetSlots(slots);
    slowStart.SetReportedCold(server.cold_);
    if (inService_ && !wasInService && wasOutOfService_) {
      admission_.Restart(InstanceController::Make(server.slots_ > 0), slots);
      slowStart.SetColdUntil(context_.Now() + std::min<Duration>(coldTime_, kColdReportLag));
    }
    wasOutOfService_ = wasOutOfService_ || !inService_;
    WriteInstance(server, slots, instanceChanged);
    if (serviceChanged) {
      RefuseQueued(Reason::ServiceNotHere); // the instance would run them for another service
    }
  }

  /// \brief Checks an attempt, then starts, queues or refuses it; repeated messages are dropped.
  /// \param aDelay Transit time of the message above the lowest of its link; reduces the remaining
  /// time.
  void OnRequest(const Envelope& aEnvelope, const CallRequest& aRequest, Duration aDelay)
  {
    const AttemptId id{ aRequest.id_, aRequest.attempt_ };
    if (IsKnown(id)) {
      context_.GetMetrics().Count("repeated_attempts");
      return;
    }
    if (const auto refusal = Check(aEnvelope, aRequest, aDelay)) {
      log_.WriteRefusal(id, aRequest, *refusal, aDelay);
      Reply(
        aEnvelope.sender_, id, aRequest.route_, Answer::WithoutContent(Outcome::NotRun, *refusal));
      return;
    }
    if (replacedUntil_) {
      replacedUntil_ = context_.Now() + kReplacedInstanceRetry; // this request is the only trial
    }
    breaker_ = breaker_.AfterAdmission(context_.Now());
    Admit(id, aEnvelope.sender_, aRequest, aDelay);
  }

  /// \brief Returns why a request that is offered would be refused if its body arrived now; nothing
  /// if it would start or be queued.
  [[nodiscard]] std::optional<Reason> FindRefusal(const Envelope& aEnvelope,
                                                  const CallRequest& aRequest,
                                                  Duration aDelay) const
  {
    if (const auto refusal = Check(aEnvelope, aRequest, aDelay)) {
      return refusal;
    }
    const AttemptId id{ aRequest.id_, aRequest.attempt_ };
    return admission_.FindRefusal(MakeWork(id, aRequest, false, aDelay), context_.Now());
  }

  /// \brief Refuses a request that was offered, as not run.
  void RefuseOffer(const NodeAddress& aEntry, const CallRequest& aRequest, const Answer& aAnswer)
  {
    const AttemptId id{ aRequest.id_, aRequest.attempt_ };
    room_.Record(aRequest.rank_, false, context_.Now());
    log_.WriteRefusal(id, aRequest, aAnswer.reason_, {});
    Reply(aEntry, id, aRequest.route_, aAnswer);
  }

  /// \brief Returns true if an attempt is queued, runs or ended a short time ago.
  [[nodiscard]] bool IsKnown(const AttemptId& aId) const
  {
    return attempts_.contains(aId) || finished_.contains(aId);
  }

  /// \brief Cancels a queued or running attempt.
  void OnCancel(const CallCancel& aCancel)
  {
    const AttemptId id{ aCancel.id_, aCancel.attempt_ };
    context_.Bodies().Withdraw({ id, true });
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      RecordFinished(id); // the request may arrive after its cancellation
      return;
    }
    if (admission_.RemoveQueued(id)) {
      EndAttempt(id, Answer::WithoutContent(Outcome::NotRun, Reason::Cancelled));
      return;
    }
    context_.Ports().backend_.Cancel(id);
    const auto startedAt = found->second.startedAt_;
    const auto result = ClassifyCancelled(found->second);
    EndAttempt(id, Answer::WithoutContent(Outcome::Unknown, Reason::Cancelled));
    ExecuteActions(admission_.OnEnd(result, startedAt, context_.Now()));
  }

  /// \brief Processes the result of an attempt at the backend server.
  void OnBackendEnd(const BackendCompletion& aEnd)
  {
    const auto found = attempts_.find(aEnd.id_);
    if (found == attempts_.end()) {
      return;
    }
    const auto startedAt = found->second.startedAt_;
    context_.GetMetrics().Record("backend_ms", context_.Now() - startedAt);
    if (aEnd.result_ == BackendResult::Broken) {
      log_.WriteBroken(found->second, aEnd, instance_.Name());
    }
    UpdateAvailability(aEnd.result_);
    UpdateReplacement(found->second, aEnd.result_);
    UpdateBreaker(aEnd);
    auto actions = admission_.OnEnd(ClassifyEnd(aEnd), startedAt, context_.Now());
    EndAttempt(aEnd.id_, MakeAnswer(aEnd));
    ExecuteActions(actions);
  }

  /// \brief Replies to all attempts that are left, as the last step of a planned stop.
  ///
  /// Queued ones did not run; running ones are cancelled, and their outcome is unknown.
  void EndPending()
  {
    while (!attempts_.empty()) {
      const auto id = attempts_.begin()->first;
      const bool queued = admission_.RemoveQueued(id);
      if (!queued) {
        context_.Ports().backend_.Cancel(id);
      }
      EndAttempt(
        id, Answer::WithoutContent(queued ? Outcome::NotRun : Outcome::Unknown, Reason::Draining));
    }
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    ExecuteActions(admission_.Advance(now));
    while (!running_.empty() && running_.begin()->first <= now) {
      OnRunningDeadline(running_.begin()->second);
    }
    while (!finishedOrder_.empty() && finishedOrder_.front().first <= now) {
      finished_.erase(finishedOrder_.front().second);
      finishedOrder_.pop_front();
    }
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    auto next = admission_.NextDeadline(context_.Now());
    if (!running_.empty()) {
      const auto first = running_.begin()->first;
      next = next ? std::min(*next, first) : first;
    }
    return next;
  }

  /// \brief Returns the expected time of a request at the instance; 0 if unknown.
  [[nodiscard]] Duration ExpectedServiceTime(const std::string& aRoute) const
  {
    const auto found = serviceTimes_.find(aRoute);
    return found == serviceTimes_.end() ? admission_.ServiceTime() : found->second;
  }

  /// \brief Sets the saturation of this node that replies state.
  void SetSaturation(double aLevel) noexcept { saturation_ = aLevel; }

  [[nodiscard]] std::size_t InFlight() const noexcept { return attempts_.size(); }
  [[nodiscard]] double Limit() const noexcept { return admission_.Limit(); }
  [[nodiscard]] std::size_t Queued() const { return admission_.Queued(); }

private:
  [[nodiscard]] std::optional<Reason> Check(const Envelope& aEnvelope,
                                            const CallRequest& aRequest,
                                            Duration aDelay) const
  {
    const bool earlierIncarnation = aEnvelope.receiverIncarnation_ != 0 &&
                                    aEnvelope.receiverIncarnation_ != context_.Incarnation();
    if (earlierIncarnation) {
      return Reason::WrongNode;
    }
    if (context_.GetMembership().IsLeaving()) {
      return Reason::Draining;
    }
    if (aRequest.remaining_ <= aDelay) {
      return Reason::DeadlinePassed;
    }
    const auto& snapshot = context_.Versions().Current();
    if (!snapshot) {
      return Reason::NotReady;
    }
    if (!inService_) {
      return Reason::OutOfService;
    }
    if (!service_.empty() && !instance_.AcceptsWork()) {
      return Reason::Draining;
    }
    if (const auto refusal = CheckRouteAndKey(*snapshot, aEnvelope, aRequest)) {
      return refusal;
    }
    if (replacedUntil_ && context_.Now() < *replacedUntil_) {
      return Reason::InstanceReplaced;
    }
    const bool isFirstAttempt = aRequest.attempt_ == 1;
    if (isFirstAttempt && !breaker_.AllowsFirstAttempt(context_.Now())) {
      return Reason::InstanceFailing;
    }
    return std::nullopt;
  }

  /// Checks route and key again, since this node may run a newer version than the sender.
  [[nodiscard]] std::optional<Reason> CheckRouteAndKey(const Snapshot& aSnapshot,
                                                       const Envelope& aEnvelope,
                                                       const CallRequest& aRequest) const
  {
    const bool behind = Supersedes(aEnvelope.senderVersion_, aSnapshot.Id());
    const auto* route =
      aSnapshot.FindRoute(NormalizeHost(aRequest.host_), aRequest.method_, aRequest.path_);
    if (route == nullptr || service_.empty() || !HasDestination(*route, service_) ||
        aRequest.service_ != service_) {
      return behind ? Reason::VersionBehind : Reason::ServiceNotHere;
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

  [[nodiscard]] static bool HasDestination(const Route& aRoute, const std::string& aService)
  {
    return std::any_of(aRoute.destinations_.begin(),
                       aRoute.destinations_.end(),
                       [&](const Destination& aItem) { return aItem.service_ == aService; });
  }

  /// An instance that refuses connections has stopped, so it counts as cold when it is back.
  void UpdateAvailability(BackendResult aResult)
  {
    if (aResult == BackendResult::ConnectFailed) {
      unreachable_ = true;
    } else if (aResult == BackendResult::Answered && std::exchange(unreachable_, false)) {
      admission_.SlowStart().SetColdUntil(context_.Now() + coldTime_);
      context_.Write(LogEvent("instance_regained").With("instance", instance_.Name()));
    }
    if (unreachable_) {
      admission_.SlowStart().SetColdUntil(context_.Now() + coldTime_);
    }
  }

  /// A refusal by another instance shows that the published instance is no longer at the address,
  /// unless the published one changed while the request ran.
  void UpdateReplacement(const OwnedAttempt& aAttempt, BackendResult aResult)
  {
    if (aResult == BackendResult::Answered) {
      replacedUntil_.reset();
    }
    if (aResult != BackendResult::OtherInstance || aAttempt.startedAt_ < instanceSince_) {
      return;
    }
    if (!replacedUntil_) {
      context_.Write(
        LogEvent("instance_replaced", Severity::Warning).With("instance", instance_.Name()));
    }
    replacedUntil_ = context_.Now() + kReplacedInstanceRetry;
    RefuseQueued(Reason::InstanceReplaced);
  }

  void UpdateBreaker(const BackendCompletion& aEnd)
  {
    const bool answered = aEnd.result_ == BackendResult::Answered;
    if (!answered && aEnd.result_ != BackendResult::Broken) {
      return; // refused, or never reached the instance
    }
    const bool wasOpen = breaker_.IsOpen();
    breaker_ = breaker_.AfterResult(!answered || IsServerError(aEnd.status_), context_.Now());
    if (breaker_.IsOpen() != wasOpen) {
      context_.Write(
        LogEvent(wasOpen ? "instance_recovered" : "instance_failing", Severity::Warning)
          .With("instance", instance_.Name())
          .With("status", aEnd.status_));
    }
  }

  void RefuseQueued(Reason aReason)
  {
    std::vector<AttemptId> queued;
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.startedAt_ == TimePoint{}) {
        queued.push_back(id);
      }
    }
    for (const auto& id : queued) {
      if (admission_.RemoveQueued(id)) {
        EndAttempt(id, Answer::WithoutContent(Outcome::NotRun, aReason));
      }
    }
  }

  void WriteInstance(const BackendServer& aServer, std::uint32_t aSlots, bool aInstanceChanged)
  {
    LogEvent event("instance");
    event.With("instance", aServer.name_)
      .With("service", service_)
      .With("other", aInstanceChanged)
      .With("draining", aServer.state_ == InstanceState::Draining)
      .With("cold", aServer.cold_)
      .With("in_service", inService_)
      .With("slots", aSlots);
    if (event.Line() != lastInstanceLine_) {
      lastInstanceLine_ = event.Line();
      context_.Write(event);
    }
  }

  void Admit(const AttemptId& aId,
             const NodeAddress& aEntry,
             const CallRequest& aRequest,
             Duration aDelay)
  {
    const auto now = context_.Now();
    const auto work = MakeWork(aId, aRequest, IsCallWithoutTeams(aEntry, aRequest), aDelay);
    const auto admitted = HasLinkCapacity(aRequest, aDelay)
                            ? admission_.Admit(work, now)
                            : tl::make_unexpected(Reason::Overloaded);
    log_.WriteAdmission(aId, aRequest, admitted, aDelay, admission_);
    room_.Record(work.rank_, admitted.has_value(), now);
    if (!admitted) {
      const auto retryAfter = admission_.RetryAfter(work.rank_, now);
      Reply(aEntry,
            aId,
            aRequest.route_,
            Answer::WithoutContent(Outcome::NotRun, admitted.error(), retryAfter));
      return;
    }
    attempts_.emplace(aId, OwnedAttempt{ aEntry, aRequest, work.deadline_, now });
    if (*admitted == AdmissionResult::Start) {
      Start(aId);
    }
  }

  /// \param aIsCall True for a call of a backend server, which ranks first and may wait longer.
  [[nodiscard]] QueuedWork<AttemptId> MakeWork(const AttemptId& aId,
                                               const CallRequest& aRequest,
                                               bool aIsCall,
                                               Duration aDelay) const
  {
    const auto now = context_.Now();
    const auto deadline = now + aRequest.remaining_ - aDelay;
    const auto rank = aIsCall ? 0 : aRequest.rank_;
    const auto stated =
      aIsCall ? std::max(aRequest.queueTimeout_, ComputeCallQueueTimeout(aRequest.remaining_))
              : aRequest.queueTimeout_;
    const auto queueTimeout = std::max(Duration{}, stated - aDelay);
    return { aId,      aRequest.team_, ExpectedServiceTime(aRequest.route_),
             deadline, rank,           std::min(deadline, now + queueTimeout) };
  }

  [[nodiscard]] bool HasLinkCapacity(const CallRequest& aRequest, Duration aDelay) const
  {
    const auto& settings = context_.NodeSettings();
    const auto bytes = aRequest.body_ ? aRequest.body_->size() : 0;
    return !settings.OverloadControl() ||
           !ExceedsLink(bytes, aDelay, settings.Machine().linkBitsPerSecond_);
  }

  /// Without teams, an entry node cannot tell the calls of its backend server from the requests of
  /// its callers.
  [[nodiscard]] bool IsCallWithoutTeams(const NodeAddress& aEntry, const CallRequest& aRequest)
  {
    if (hasTeams_) {
      return false;
    }
    callRoutes_.Record(aRequest.route_, aEntry);
    return callRoutes_.IsCallRoute(aRequest.route_);
  }

  void UpdateCallRoutes(const Snapshot& aSnapshot)
  {
    hasTeams_ = !aSnapshot.Teams().empty();
    if (!hasTeams_) {
      callRoutes_.SetNodes(
        FindNodeServices(aSnapshot, context_.NodeSettings().FailureDomainName()));
    }
  }

  void Start(const AttemptId& aId)
  {
    auto& attempt = attempts_.at(aId);
    const auto& request = attempt.request_;
    const auto now = context_.Now();
    attempt.startedAt_ = now;
    running_.emplace(attempt.deadline_, aId);
    const CallTokenContext tokenContext{ request.team_, request.keyDigest_, attempt.deadline_ };
    auto token = tokens_.Issue(aId, tokenContext, context_.Ports().random_);
    context_.Ports().backend_.Start({ .id_ = aId,
                                      .requestId_ = request.requestId_,
                                      .instance_ = instance_.Name(),
                                      .team_ = request.team_,
                                      .method_ = request.method_,
                                      .host_ = request.host_,
                                      .path_ = request.path_,
                                      .headers_ = request.headers_,
                                      .body_ = request.body_,
                                      .callToken_ = std::move(token),
                                      .remaining_ = attempt.deadline_ - now,
                                      .isRepeated_ = HasEarlierAttempt(aId) });
  }

  [[nodiscard]] bool HasEarlierAttempt(const AttemptId& aId) const
  {
    const AttemptId first{ aId.call_, 0 };
    const auto finished = finished_.lower_bound(first);
    const auto pending = attempts_.lower_bound(first);
    return (finished != finished_.end() && *finished < aId && finished->call_ == aId.call_) ||
           (pending != attempts_.end() && pending->first < aId);
  }

  void ExecuteActions(const AdmissionActions<AttemptId>& aActions)
  {
    for (const auto& id : aActions.expired_) {
      EndAttempt(id, Answer::WithoutContent(Outcome::NotRun, Reason::DeadlinePassed));
    }
    for (const auto& id : aActions.start_) {
      log_.WriteDequeued(id, attempts_.at(id));
      Start(id);
    }
  }

  void OnRunningDeadline(const AttemptId& aId)
  {
    const auto id = aId;
    const auto startedAt = attempts_.at(id).startedAt_;
    context_.Ports().backend_.Cancel(id);
    EndAttempt(id, Answer::WithoutContent(Outcome::Unknown, Reason::DeadlinePassed));
    ExecuteActions(admission_.OnEnd(WorkResult::Shed, startedAt, context_.Now()));
  }

  /// Removes a queued or running attempt and replies to its entry node.
  void EndAttempt(const AttemptId& aId, const Answer& aAnswer)
  {
    const auto found = attempts_.find(aId);
    const auto entry = found->second.entry_;
    const auto route = found->second.request_.route_;
    const auto deadline = found->second.deadline_;
    const auto now = context_.Now();
    const bool started = found->second.startedAt_ != TimePoint{};
    const auto leftQueueAt = started ? found->second.startedAt_ : now;
    const auto queued = leftQueueAt - found->second.arrivedAt_;
    const auto ran = now - leftQueueAt;
    if (aAnswer.outcome_ == Outcome::Answered) {
      auto& serviceTime = serviceTimes_[route];
      const auto elapsed = context_.Now() - found->second.startedAt_;
      serviceTime = serviceTime == Duration{} ? elapsed : (serviceTime * 7 + elapsed) / 8;
      pace_.Record(route, elapsed, now);
    }
    running_.erase({ found->second.deadline_, aId });
    tokens_.Revoke(aId);
    attempts_.erase(found);
    Reply(entry, aId, route, aAnswer, deadline, queued, ran);
  }

  void Reply(const NodeAddress& aEntry,
             const AttemptId& aId,
             const std::string& aRoute,
             const Answer& aAnswer,
             TimePoint aDeadline = {},
             Duration aQueued = {},
             Duration aRan = {})
  {
    RecordFinished(aId);
    const bool acceptsWork = inService_ && instance_.AcceptsWork() && !replacedUntil_ &&
                             !context_.GetMembership().IsLeaving();
    context_.SendOrOffer(aEntry,
                         CallReply{ .id_ = aId.call_,
                                    .attempt_ = aId.attempt_,
                                    .answer_ = aAnswer,
                                    .loadReport_ = { ComputeLoad(), acceptsWork, saturation_ },
                                    .queueTime_ = aQueued,
                                    .instanceTime_ = aRan,
                                    .room_ = StateRoom(),
                                    .isCallRoute_ = callRoutes_.IsCallRoute(aRoute) },
                         aDeadline);
  }

  [[nodiscard]] std::optional<OwnerRoom> StateRoom() const
  {
    if (!context_.NodeSettings().HasFleetAdmission()) {
      return std::nullopt;
    }
    const auto now = context_.Now();
    return room_.Room(admission_.RetryAfter(std::numeric_limits<std::uint32_t>::max(), now), now);
  }

  /// With Balancing::Completion, a slow period of the instance counts as load.
  [[nodiscard]] double ComputeLoad() const
  {
    const auto now = context_.Now();
    const bool countsPace = context_.NodeSettings().BalancingMode() == Balancing::Completion;
    return admission_.Load(now) * (countsPace ? pace_.Factor(now) : 1);
  }

  void RecordFinished(const AttemptId& aId)
  {
    if (finished_.insert(aId).second) {
      finishedOrder_.emplace_back(context_.Now() + kFinishedAttemptRetention, aId);
    }
  }

  [[nodiscard]] static WorkResult ClassifyEnd(const BackendCompletion& aEnd) noexcept
  {
    if (aEnd.result_ == BackendResult::OtherInstance) {
      return WorkResult::Ignored; // independent of the load of the published instance
    }
    if (aEnd.result_ != BackendResult::Answered) {
      return WorkResult::Shed;
    }
    return IsServerError(aEnd.status_) ? WorkResult::Failed : WorkResult::Success;
  }

  /// For the load pattern "instance that hangs": callers cancel before it answers, so cancelled
  /// attempts that are overdue count as shed.
  [[nodiscard]] WorkResult ClassifyCancelled(const OwnedAttempt& aAttempt) const
  {
    const auto expected = ExpectedServiceTime(aAttempt.request_.route_);
    const auto ran = context_.Now() - aAttempt.startedAt_;
    const bool overdue = expected > Duration{} && ran > expected * kOverdueFactor;
    return overdue ? WorkResult::Shed : WorkResult::Ignored;
  }

  [[nodiscard]] static Answer MakeAnswer(const BackendCompletion& aEnd)
  {
    switch (aEnd.result_) {
      case BackendResult::Answered:
        return { .outcome_ = Outcome::Answered,
                 .reason_ = Reason::None,
                 .status_ = aEnd.status_,
                 .headers_ = aEnd.headers_,
                 .body_ = aEnd.body_ };
      case BackendResult::Shed:
        return Answer::WithoutContent(Outcome::NotRun, Reason::Shed);
      case BackendResult::OtherInstance:
        return Answer::WithoutContent(Outcome::NotRun, Reason::Misdirected);
      case BackendResult::ConnectFailed:
        return Answer::WithoutContent(Outcome::NotRun, Reason::ConnectFailed);
      case BackendResult::Broken:
        break;
    }
    return Answer::WithoutContent(Outcome::Unknown, Reason::ConnectionBroken);
  }

  NodeContext<PortSet>& context_;
  OwnerLog<PortSet> log_;
  CallTokens& tokens_;
  Admission<AttemptId, InstanceController> admission_;
  std::string service_;
  OwnInstance instance_;
  double saturation_ = 0;        ///< of this node
  bool inService_ = false;       ///< its failure domain is in service
  bool wasOutOfService_ = false; ///< at any time since this process started
  bool unreachable_ = false;     ///< the last connection to the instance failed
  TimePoint instanceSince_{};    ///< when the published instance last changed
  /// Set while another instance seems to have the address; until then no request is sent to it.
  std::optional<TimePoint> replacedUntil_;
  FailureBreaker breaker_;
  CallRoutes callRoutes_;
  bool hasTeams_ = true; ///< of the document; true before the first one
  PaceMonitor pace_;
  RoomTracker room_;
  Duration coldTime_ = kDefaultColdTime;
  std::string lastInstanceLine_;
  std::map<AttemptId, OwnedAttempt> attempts_;
  std::set<std::pair<TimePoint, AttemptId>> running_;
  std::set<AttemptId> finished_;
  std::deque<std::pair<TimePoint, AttemptId>> finishedOrder_;
  std::map<std::string, Duration> serviceTimes_;
};

} // namespace geraniumpin
