#pragma once

#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/process/call_tokens.hpp"
#include "geraniumpin/process/entry_admission.hpp"
#include "geraniumpin/process/entry_log.hpp"
#include "geraniumpin/process/hedging.hpp"
#include "geraniumpin/process/instance_load_table.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/owner_failure_detector.hpp"
#include "geraniumpin/process/team_limits.hpp"
#include "geraniumpin/request/destination_choice.hpp"
#include "geraniumpin/request/entry_call.hpp"
#include "geraniumpin/request/queue_timeout.hpp"
#include "geraniumpin/request/retry_policy.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief A request of a caller whose route was decided and that was not started yet.
struct PreparedCall
{
  const Call call_;
  const RouteDecision decision_;
};

/// \brief Serves the requests of callers at their entry node.
///
/// Authenticates a request, takes a token of its team, sends attempts to the owners of instances,
/// retries and answers.
template<NodePortSet PortSet>
class EntryService
{
public:
  /// Longest wait of a request for a token of its team.
  static constexpr std::chrono::milliseconds kMaxTokenWait{ 400 };

  /// Longest wait of a request while no lessor of its team has a token.
  static constexpr std::chrono::milliseconds kMaxExhaustedWait{ 100 };
  /// Share of the target latency that such a wait may take.
  static constexpr double kExhaustedWaitTargetShare = 0.1;
  /// Retry delay of a request refused over the rate limit, as a share of its target latency: tokens
  /// arrive steadily, and a retry that gets one should still be answered in time.
  static constexpr double kOverRateRetryShare = 0.15;
  /// Minimum time between two checks of the waiting requests.
  static constexpr std::chrono::milliseconds kMinRecheckInterval{ 1 };
  /// Greater than any route priority, so that a team's priority outranks a route's.
  static constexpr std::uint32_t kRanksPerTeamPriority = 1001;
  /// Requests of one team that may wait at this node while no lessor has a token.
  static constexpr std::size_t kMaxWaitingPerTeam = 32;

  EntryService(NodeContext<PortSet>& aContext,
               TeamLimits<PortSet>& aLimits,
               const CallTokens& aTokens)
    : context_(aContext)
    , log_(aContext)
    , limits_(aLimits)
    , tokens_(aTokens)
    , loadTable_(aContext.NodeSettings().BalancingMode())
    , admission_(aContext.NodeSettings().HasFleetAdmission())
    , hedging_(aContext.NodeSettings().HedgeRatio())
  {
  }

  /// \brief Serves a request of a caller; the answer is sent through the caller port.
  /// \param aReadState Logged if the configuration does not allow the request.
  void OnCall(const Call& aCall, ConfigFreshness aFreshness, const ReadState& aReadState)
  {
    if (const auto prepared = Prepare(aCall, aFreshness, aReadState)) {
      Start(*prepared);
    }
  }

  /// \brief Decides the route of a request, or refuses it.
  /// \returns Nothing if the request was refused.
  [[nodiscard]] std::optional<PreparedCall> Prepare(const Call& aCall,
                                                    ConfigFreshness aFreshness,
                                                    const ReadState& aReadState)
  {
    context_.GetMetrics().Count("calls");
    if (aCall.isAbandoned_) {
      context_.GetMetrics().Count("calls_abandoned");
      Refuse(aCall, Reason::Cancelled);
      return std::nullopt;
    }
    if (acceptingStopped_) {
      Refuse(aCall, Reason::Draining);
      return std::nullopt;
    }
    const auto* tokenContext = FindCallTokenContext(aCall);
    if (!aCall.callToken_.empty() && tokenContext == nullptr) {
      Refuse(aCall, Reason::TokenUnknown);
      return std::nullopt;
    }
    const auto decision = DecideRoute(context_.Versions().Current(),
                                      aCall.host_,
                                      aCall.method_,
                                      aCall.path_,
                                      ComputeKeyDigest(aCall, tokenContext),
                                      aFreshness);
    if (!decision) {
      log_.WriteConfigRefusal(aCall, decision.error(), aReadState);
      Refuse(aCall, decision.error());
      return std::nullopt;
    }
    return PreparedCall{ aCall, *decision };
  }

  /// \brief Starts a prepared request; its call token may have ended since.
  void Start(const PreparedCall& aPrepared)
  {
    const auto& call = aPrepared.call_;
    const auto* tokenContext = FindCallTokenContext(call);
    if (!call.callToken_.empty() && tokenContext == nullptr) {
      Refuse(call, Reason::TokenUnknown);
      return;
    }
    Accept(call, aPrepared.decision_, tokenContext);
  }

  /// \brief Refuses a prepared request, as not run.
  void RefuseHeld(const Call& aCall, Reason aReason) { Refuse(aCall, aReason); }

  /// \brief Refuses a prepared request for lack of capacity, as not run.
  void RefuseOverloaded(const Call& aCall, const IntakeRefusal& aRefusal, Duration aRetryAfter)
  {
    const auto answer = Answer::WithoutContent(Outcome::NotRun, Reason::Overloaded, aRetryAfter);
    log_.WriteEnd(aCall, answer, nullptr, &aRefusal);
    context_.Ports().callers_.Reply(aCall.id_, answer);
  }

  /// \brief Refuses new requests from now on; accepted ones are finished.
  void StopAccepting() noexcept { acceptingStopped_ = true; }

  /// \brief Stops retries, so that the end of an attempt ends its request.
  void StopRetrying() noexcept { retriesStopped_ = true; }

  /// \brief Answers all requests that are left, as the last step of a planned stop.
  ///
  /// Those that were not sent to an owner are refused as not run; the outcome of the others is
  /// unknown.
  void EndPending()
  {
    while (!calls_.empty()) {
      auto& call = calls_.begin()->second;
      Finish(call, Answer::WithoutContent(CancelAttempts(call), Reason::Draining));
    }
  }

  /// \brief Cancels a request whose caller closed its connection.
  void OnCallerGone(const CallId& aId)
  {
    const auto found = calls_.find(aId);
    if (found == calls_.end()) {
      return;
    }
    auto& call = found->second;
    context_.GetMetrics().Count("calls_cancelled");
    const auto outcome = CancelAttempts(call);
    log_.WriteEnd(call.call_, Answer::WithoutContent(outcome, Reason::Cancelled), &call);
    Remove(found);
  }

  /// \brief Processes the end of an attempt; late and repeated replies are dropped.
  void OnReply(const Envelope& aEnvelope, const CallReply& aReply)
  {
    loadTable_.OnLoadReport(aEnvelope.sender_, aReply.loadReport_, context_.Now());
    const auto found = calls_.find(aReply.id_);
    if (found != calls_.end()) {
      OnOwnerStatement(found->second, aEnvelope.sender_, aReply);
    }
    if (found == calls_.end() || found->second.stage_ != EntryStage::AtOwner) {
      context_.GetMetrics().Count("late_replies");
      return;
    }
    if (const auto& superseded = found->second.superseded_;
        superseded && superseded->number_ == aReply.attempt_) {
      OnSupersededReply(found->second, aReply);
      return;
    }
    if (found->second.attempt_ != aReply.attempt_) {
      context_.GetMetrics().Count("late_replies");
      return;
    }
    found->second.queueTime_ = aReply.queueTime_;
    found->second.instanceTime_ = aReply.instanceTime_;
    WithdrawBody(found->second); // an owner that refused does not grant it
    if (aReply.answer_.outcome_ == Outcome::Answered) {
      const auto& call = found->second;
      loadTable_.OnServed(call.owner_, call.decision_.route_.name_, aReply.instanceTime_);
      hedging_.OnResponse(
        call.decision_.route_.name_, context_.Now() - call.firstSentAt_, context_.Now());
    }
    OnAttemptEnd(found->second, aReply.answer_);
  }

  /// \brief Returns true if the reply to an attempt is awaited.
  [[nodiscard]] bool AwaitsReply(const AttemptId& aId) const
  {
    const auto found = calls_.find(aId.call_);
    if (found == calls_.end() || found->second.stage_ != EntryStage::AtOwner) {
      return false;
    }
    const auto& call = found->second;
    return call.attempt_ == aId.attempt_ ||
           (call.superseded_ && call.superseded_->number_ == aId.attempt_);
  }

  /// \brief Starts or refuses requests that wait for a token of the team, the oldest first.
  void OnTokens(const std::string& aTeam)
  {
    const auto waiting = waiting_.find(aTeam);
    if (waiting == waiting_.end()) {
      return;
    }
    const auto ids = waiting->second;
    for (const auto& id : ids) {
      if (!TryTakeToken(calls_.at(id))) {
        break;
      }
    }
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      OnDeadline(calls_.at(deadlines_.begin()->second));
    }
    for (const auto& id : failureDetector_.TakeDue(now)) {
      OnOwnerCheck(id);
    }
    for (const auto& id : hedging_.TakeDue(now)) {
      OnHedgeDue(id);
    }
    std::vector<std::string> teams;
    for (const auto& [team, ids] : waiting_) {
      teams.push_back(team);
    }
    for (const auto& team : teams) {
      OnTokens(team);
    }
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    if (deadlines_.empty()) {
      return std::nullopt; // no request is left
    }
    auto next = std::min(deadlines_.begin()->first,
                         failureDetector_.NextDeadline().value_or(TimePoint::max()));
    next = std::min(next, hedging_.NextDeadline().value_or(TimePoint::max()));
    for (const auto& [team, ids] : waiting_) {
      const auto retryAt =
        std::min(limits_.RetryAt(team), ExhaustedWaitDeadline(calls_.at(*ids.begin())));
      next = std::min(next, std::max(retryAt, context_.Now() + kMinRecheckInterval));
    }
    return next;
  }

  [[nodiscard]] std::size_t InFlight() const noexcept { return calls_.size(); }
  /// \brief Sets the saturation of this node, above which it does not hedge.
  void SetSaturation(double aLevel) noexcept { saturation_ = aLevel; }
  [[nodiscard]] InstanceLoadTable& LoadTable() noexcept { return loadTable_; }

  /// \brief Computes the rank of a request; the lowest is served first.
  ///
  /// Calls of backend servers rank first, since their refusal fails the parent request; then the
  /// team's priority decides, then the route's. Without teams the owner finds the calls.
  [[nodiscard]] std::uint32_t ComputeRank(const RouteDecision& aDecision) const
  {
    const auto* team = aDecision.snapshot_->FindTeam(aDecision.team_);
    const bool isCall =
      team == nullptr &&
      (HasTeams(aDecision) || admission_.IsCallRoute(aDecision.route_.name_, context_.Now()));
    const auto priority = team == nullptr ? 0 : team->priority_;
    return (isCall ? 0 : (priority + 1) * kRanksPerTeamPriority) + aDecision.route_.priority_;
  }

private:
  [[nodiscard]] static bool HasTeams(const RouteDecision& aDecision)
  {
    return !aDecision.snapshot_->Teams().empty();
  }

  using Calls = std::map<CallId, EntryCall>;

  [[nodiscard]] const CallTokenContext* FindCallTokenContext(const Call& aCall) const
  {
    return aCall.callToken_.empty() ? nullptr : tokens_.Find(aCall.callToken_);
  }

  [[nodiscard]] static std::optional<Digest> ComputeKeyDigest(const Call& aCall,
                                                              const CallTokenContext* aTokenContext)
  {
    if (aTokenContext != nullptr) {
      return aTokenContext->keyDigest_;
    }
    return aCall.key_.empty() ? std::nullopt : std::optional(Digest::Compute(aCall.key_));
  }

  void Accept(const Call& aCall,
              const RouteDecision& aDecision,
              const CallTokenContext* aTokenContext)
  {
    Duration timeout = aDecision.route_.timeout_;
    if (aCall.timeout_ > Duration{}) {
      timeout = std::min(timeout, aCall.timeout_);
    }
    auto deadline = aCall.arrivedAt_ + timeout;
    if (aTokenContext != nullptr) {
      deadline = std::min(deadline, aTokenContext->deadline_);
    }
    const auto now = context_.Now();
    if (now >= deadline) {
      Refuse(aCall, Reason::DeadlinePassed);
      return;
    }
    auto& call = calls_
                   .emplace(aCall.id_,
                            EntryCall{ .call_ = aCall,
                                       .decision_ = aDecision,
                                       .deadline_ = deadline,
                                       .acceptedAt_ = now })
                   .first->second;
    deadlines_.emplace(deadline, aCall.id_);
    call.service_ =
      destinations_.Next(call.decision_.route_, DrawFraction(context_.Ports().random_));
    auto& budget = retryBudgets_[call.service_];
    budget = budget.AfterRequest(context_.NodeSettings().RetryRatio());
    hedging_.OnRequest(call.service_);
    if (RefuseBeyondCapacity(call)) {
      return;
    }
    const auto* team = call.decision_.snapshot_->FindTeam(call.decision_.team_);
    const bool isLimited = team != nullptr && team->ratePerSecond_ > 0;
    if (!isLimited || aTokenContext != nullptr) {
      StartAttempt(call);
      return;
    }
    waiting_[call.decision_.team_].insert(aCall.id_);
    deadlines_.emplace(std::min(deadline, now + kMaxTokenWait), aCall.id_);
    OnTokens(call.decision_.team_); // earlier requests get tokens first
  }

  void OnOwnerStatement(const EntryCall& aCall, const NodeAddress& aOwner, const CallReply& aReply)
  {
    const auto* service = context_.Versions().Current()->FindService(aCall.service_);
    const auto slots = service == nullptr ? 1 : service->slots_;
    const auto& route = aCall.decision_.route_.name_;
    admission_.OnReply(aCall.service_, route, aOwner, slots, aReply, context_.Now());
  }

  /// Refuses a request at once if the owners of the service have no capacity for it.
  /// \returns True if it was refused.
  bool RefuseBeyondCapacity(EntryCall& aCall)
  {
    const auto& route = aCall.decision_.route_;
    const auto target = route.targetLatency_.count() > 0 ? route.targetLatency_ : route.timeout_;
    const auto rank = ComputeRank(aCall.decision_);
    const auto retryAfter = admission_.Refuse({ .service_ = aCall.service_,
                                                .rank_ = rank,
                                                .position_ = DrawFraction(context_.Ports().random_),
                                                .target_ = target },
                                              DrawFraction(context_.Ports().random_),
                                              context_.Now());
    if (!retryAfter) {
      return false;
    }
    context_.GetMetrics().Count("refused_by_level");
    context_.Write(LogEvent("admission_level", Severity::Routine)
                     .With("request", aCall.call_.requestId_)
                     .With("service", aCall.service_)
                     .With("rank", rank)
                     .With("level", admission_.Level(aCall.service_, rank)));
    Finish(aCall, Answer::WithoutContent(Outcome::NotRun, Reason::Overloaded, *retryAfter));
    return true;
  }

  /// \brief Starts or refuses a waiting request, depending on the tokens of its team.
  /// \returns True if the request no longer waits.
  [[nodiscard]] bool TryTakeToken(EntryCall& aCall)
  {
    const auto team = aCall.decision_.team_;
    auto [state, token] = limits_.Take(team, waiting_.at(team).size());
    switch (state) {
      case TokenState::Taken:
        StopWaiting(aCall);
        aCall.token_.emplace(*token);
        StartAttempt(aCall);
        return true;
      case TokenState::Awaited:
        return false;
      case TokenState::Exhausted:
        if (MayWait(aCall)) {
          return false;
        }
        Finish(
          aCall,
          Answer::WithoutContent(Outcome::NotRun, Reason::OverRate, OverRateRetryAfter(aCall)));
        return true;
      case TokenState::Unavailable:
        Finish(aCall, Answer::WithoutContent(Outcome::NotRun, Reason::LimitUnavailable));
        return true;
    }
    return false;
  }

  /// Returns true if a request may wait although no lessor has a token: until
  /// ExhaustedWaitDeadline, since a token that arrives by then is worth the wait, and unless many
  /// requests wait already.
  [[nodiscard]] bool MayWait(const EntryCall& aCall) const
  {
    const auto& ids = waiting_.at(aCall.decision_.team_);
    return ids.size() <= kMaxWaitingPerTeam && context_.Now() < ExhaustedWaitDeadline(aCall);
  }

  [[nodiscard]] static TimePoint ExhaustedWaitDeadline(const EntryCall& aCall)
  {
    const auto target = aCall.decision_.route_.targetLatency_;
    Duration wait = kMaxExhaustedWait;
    if (target.count() > 0) {
      wait =
        std::min(wait, std::chrono::duration_cast<Duration>(target * kExhaustedWaitTargetShare));
    }
    return aCall.acceptedAt_ + wait;
  }

  [[nodiscard]] static Duration OverRateRetryAfter(const EntryCall& aCall)
  {
    const auto& route = aCall.decision_.route_;
    const auto target = route.targetLatency_.count() > 0 ? route.targetLatency_ : route.timeout_;
    return std::chrono::duration_cast<Duration>(target * kOverRateRetryShare);
  }

  void StartAttempt(EntryCall& aCall)
  {
    const auto* chosen = SelectInstance(aCall);
    if (chosen == nullptr) {
      const auto& last = aCall.lastAttemptResult_;
      Finish(aCall, last ? *last : Answer::WithoutContent(Outcome::NotRun, Reason::NoInstance));
      return;
    }
    if (aCall.stage_ == EntryStage::WaitingForToken) {
      aCall.firstSentAt_ = context_.Now();
      context_.GetMetrics().Record("token_ms", aCall.firstSentAt_ - aCall.call_.arrivedAt_);
      if (MayBeHedged(MakeHedgeInputs(aCall, 0))) {
        hedging_.Schedule(aCall.call_.id_, aCall.decision_.route_.name_, aCall.firstSentAt_);
      }
    }
    aCall.stage_ = EntryStage::AtOwner;
    aCall.owner_ = chosen->node_;
    aCall.instance_ = chosen->name_;
    aCall.triedOwners_.insert(chosen->node_);
    aCall.attempt_ = ++aCall.attempts_;
    const auto& call = aCall.call_;
    const auto now = context_.Now();
    const auto remaining = aCall.deadline_ - now;
    loadTable_.OnSent(chosen->node_);
    aCall.sentAt_ = now;
    failureDetector_.ScheduleCheck(call.id_, now + OwnerTimeoutsFor(aCall).probeDelay_);
    context_.SendOrOffer(
      chosen->node_,
      CallRequest{
        .id_ = call.id_,
        .attempt_ = aCall.attempt_,
        .requestId_ = call.requestId_,
        .route_ = aCall.decision_.route_.name_,
        .service_ = aCall.service_,
        .rank_ = ComputeRank(aCall.decision_),
        .team_ = aCall.decision_.team_,
        .keyDigest_ = aCall.decision_.keyDigest_,
        .method_ = call.method_,
        .host_ = call.host_,
        .path_ = call.path_,
        .headers_ = call.headers_,
        .body_ = call.body_,
        .idempotencyKey_ = call.idempotencyKey_,
        .remaining_ = remaining,
        .queueTimeout_ = ComputeQueueTimeout(
          aCall.decision_.route_, HasTeams(aCall.decision_), now - call.arrivedAt_, remaining) },
      TimePoint::max());
  }

  /// Instances change more often than routes, so the current snapshot is used, not the decision's.
  [[nodiscard]] std::vector<Candidate> FindCandidates(const EntryCall& aCall) const
  {
    const auto& decision = aCall.decision_;
    const auto& snapshot = context_.Versions().Current();
    const bool onlyReachedInstances = aCall.instances_.size() >= decision.route_.attempts_;
    auto candidates =
      loadTable_.FindCandidates(*snapshot,
                                aCall.service_,
                                decision.route_,
                                context_.GetMembership(),
                                context_.NodeSettings().FailureDomainName(),
                                onlyReachedInstances ? std::set<NodeAddress>{} : aCall.triedOwners_,
                                context_.Now());
    if (onlyReachedInstances) {
      std::erase_if(candidates, [&](const Candidate& aCandidate) {
        return !aCall.instances_.contains(aCandidate.backendServer_->name_);
      });
    }
    return candidates;
  }

  [[nodiscard]] const BackendServer* SelectInstance(EntryCall& aCall)
  {
    const auto candidates = FindCandidates(aCall);
    const auto bodyBytes = aCall.call_.body_ ? aCall.call_.body_->size() : 0;
    const auto choice = loadTable_.Choose(aCall.service_,
                                          candidates,
                                          bodyBytes,
                                          aCall.attempts_ > 0,
                                          context_.Now(),
                                          context_.Ports().random_);
    const auto* chosen = choice.chosen_;
    log_.WriteRoute(aCall, choice, candidates.size());
    return chosen;
  }

  void OnAttemptEnd(EntryCall& aCall, const Answer& aAnswer)
  {
    if (IsInstanceUnavailable(aAnswer.reason_)) {
      loadTable_.ExcludeTemporarily(aCall.owner_, context_.Now());
    }
    if (aAnswer.reason_ == Reason::WrongNode) {
      aCall.triedOwners_.erase(aCall.owner_); // its reply carried the new incarnation
    }
    if (MayHaveReachedInstance(aAnswer.outcome_, aAnswer.reason_)) {
      aCall.mayHaveRun_ = aCall.mayHaveRun_ || aAnswer.outcome_ == Outcome::Unknown;
      aCall.instances_.insert(aCall.instance_);
    }
    const bool failed = aAnswer.outcome_ == Outcome::Answered && IsServerError(aAnswer.status_);
    if (aAnswer.outcome_ == Outcome::Answered && aCall.firstAnswer_ == std::nullopt) {
      aCall.firstAnswer_.emplace(aAnswer);
    }
    const RetryInputs inputs{ .outcome_ = aAnswer.outcome_,
                              .failed_ = failed,
                              .reason_ = aAnswer.reason_,
                              .idempotent_ = aCall.decision_.route_.idempotent_,
                              .beforeDeadline_ = context_.Now() < aCall.deadline_,
                              .attempts_ = aCall.attempts_,
                              .instances_ = static_cast<std::uint32_t>(aCall.instances_.size()),
                              .maxInstances_ = aCall.decision_.route_.attempts_,
                              .serviceHasRoom_ = admission_.AllowsRetry(
                                aCall.service_, ComputeRank(aCall.decision_), context_.Now()) };
    auto& budget = retryBudgets_[aCall.service_];
    if (retriesStopped_ || !MayRetry(inputs, budget)) {
      Finish(aCall, aAnswer);
      return;
    }
    budget = MayHaveArrived(aAnswer.outcome_, aAnswer.reason_) ? budget.AfterRetry() : budget;
    aCall.lastAttemptResult_.emplace(aAnswer);
    context_.GetMetrics().Count("retries");
    StartAttempt(aCall);
  }

  [[nodiscard]] HedgeInputs MakeHedgeInputs(const EntryCall& aCall, double aServiceLoad) const
  {
    const auto& route = aCall.decision_.route_;
    const auto budget = retryBudgets_.find(aCall.service_);
    return { .ratio_ = hedging_.Ratio(),
             .idempotent_ = route.idempotent_,
             .hasBody_ = aCall.call_.body_ && !aCall.call_.body_->empty(),
             .hasOtherAttempt_ = aCall.superseded_.has_value() || aCall.attempts_ > 1,
             .instances_ = static_cast<std::uint32_t>(aCall.instances_.size()) + 1,
             .maxInstances_ = route.attempts_,
             .isServiceRefusing_ = admission_.IsRefusing(aCall.service_, context_.Now()),
             .serviceLoad_ = aServiceLoad,
             .nodeSaturation_ = saturation_,
             .allowsRetry_ = budget != retryBudgets_.end() && budget->second.AllowsRetry(),
             .allowsHedge_ = hedging_.AllowsHedge(aCall.service_) };
  }

  /// Sends a late request to a second instance, if the limits allow it. The first attempt goes on
  /// beside it, as after the silence of an owner.
  void OnHedgeDue(const CallId& aId)
  {
    const auto found = calls_.find(aId);
    if (found == calls_.end() || found->second.stage_ != EntryStage::AtOwner || retriesStopped_) {
      return;
    }
    auto& call = found->second;
    const double load = loadTable_.MeanLoad(FindCandidates(call));
    const auto decision = DecideHedge(MakeHedgeInputs(call, load));
    context_.GetMetrics().Count("hedge_" + std::string(ToString(decision)));
    context_.Write(LogEvent("hedge", Severity::Routine)
                     .With("request", call.call_.requestId_)
                     .With("decision", ToString(decision))
                     .With("late_us", Microseconds(context_.Now() - call.firstSentAt_))
                     .With("load", load));
    if (decision != HedgeDecision::Hedge) {
      return;
    }
    hedging_.OnHedge(call.service_);
    auto& budget = retryBudgets_[call.service_];
    budget = budget.AfterRetry();
    call.isHedged_ = true;
    call.instances_.insert(call.instance_);
    call.superseded_ = { call.owner_, call.attempt_ };
    StartAttempt(call);
  }

  void OnDeadline(EntryCall& aCall)
  {
    deadlines_.erase(deadlines_.begin());
    if (aCall.stage_ == EntryStage::WaitingForToken) {
      Finish(aCall, Answer::WithoutContent(Outcome::NotRun, Reason::LimitUnavailable));
    } else if (context_.Now() >= aCall.deadline_) {
      const bool noContact = HasNoOwnerContact(aCall);
      if (noContact) {
        loadTable_.ExcludeTemporarily(aCall.owner_, context_.Now());
      }
      const auto reason = noContact ? Reason::PeerSilent : Reason::DeadlinePassed;
      Finish(aCall, Answer::WithoutContent(CancelAttempts(aCall), reason));
    }
  }

  /// Returns true if no message of the owner arrived since the last attempt was sent to it.
  [[nodiscard]] bool HasNoOwnerContact(const EntryCall& aCall) const
  {
    if (aCall.owner_ == context_.Self()) {
      return false;
    }
    const auto lastContactAt = context_.GetMembership().LastContactAt(aCall.owner_);
    return !lastContactAt || *lastContactAt < aCall.sentAt_;
  }

  /// Probes an owner without contact; excludes it if unresponsive and retries idempotent requests.
  void OnOwnerCheck(const CallId& aId)
  {
    const auto found = calls_.find(aId);
    if (found == calls_.end() || found->second.stage_ != EntryStage::AtOwner) {
      return;
    }
    auto& call = found->second;
    const auto now = context_.Now();
    const auto limits = OwnerTimeoutsFor(call);
    failureDetector_.ScheduleCheck(aId, now + limits.replyTimeout_);
    const OwnerFailureDetector::Inputs inputs{ call.sentAt_,
                                               !HasNoOwnerContact(call),
                                               limits.replyTimeout_ };
    switch (failureDetector_.Evaluate(call.owner_, inputs, now)) {
      case OwnerStatus::Pending:
        break;
      case OwnerStatus::ProbeDue:
        // While an instance works on a request, its node may send nothing until the answer.
        context_.Send(call.owner_, Heartbeat{ .wantsReply_ = true });
        break;
      case OwnerStatus::Unresponsive:
        OnUnresponsiveOwner(call);
        break;
    }
  }

  [[nodiscard]] OwnerTimeouts OwnerTimeoutsFor(const EntryCall& aCall) const
  {
    const auto& route = aCall.decision_.route_;
    return ComputeOwnerTimeouts(loadTable_.ExpectedServiceTime(aCall.owner_, route.name_),
                                route.targetLatency_);
  }

  void OnUnresponsiveOwner(EntryCall& aCall)
  {
    loadTable_.ExcludeTemporarily(aCall.owner_, context_.Now());
    context_.GetMetrics().Count("silent_owners");
    context_.Write(LogEvent("owner_silent", Severity::Warning)
                     .With("owner", aCall.owner_.Text())
                     .With("call", ToString(aCall.call_.id_))
                     .With("request", aCall.call_.requestId_));
    if (!aCall.superseded_ && WithdrawBody(aCall)) {
      context_.Send(aCall.owner_, CallCancel{ aCall.call_.id_, aCall.attempt_ });
      OnAttemptEnd(aCall, Answer::WithoutContent(Outcome::NotRun, Reason::PeerSilent));
      return;
    }
    const auto answer = Answer::WithoutContent(Outcome::Unknown, Reason::PeerSilent);
    const auto& route = aCall.decision_.route_;
    auto instances = aCall.instances_;
    instances.insert(aCall.instance_);
    const bool mayTryElsewhere = route.idempotent_ && instances.size() < route.attempts_ &&
                                 retryBudgets_[aCall.service_].AllowsRetry();
    if (mayTryElsewhere && !aCall.superseded_) {
      aCall.superseded_ = { aCall.owner_, aCall.attempt_ };
      OnAttemptEnd(aCall, answer);
    }
  }

  /// An owner without contact may merely be slow and its instance at work, so its attempt goes on
  /// beside the next one; the first answer of the two is the caller's.
  void OnSupersededReply(EntryCall& aCall, const CallReply& aReply)
  {
    const auto& answer = aReply.answer_;
    const auto owner = aCall.superseded_->owner_;
    aCall.superseded_.reset();
    if (answer.outcome_ != Outcome::Answered || IsServerError(answer.status_)) {
      return; // the current attempt decides
    }
    aCall.queueTime_ = aReply.queueTime_;
    aCall.instanceTime_ = aReply.instanceTime_;
    loadTable_.OnServed(owner, aCall.decision_.route_.name_, aReply.instanceTime_);
    CancelAttempts(aCall);
    Finish(aCall, answer);
  }

  /// Cancels the attempts of a request at their owners, if there are any.
  /// \returns NotRun if no owner got the request with its body, else Unknown.
  Outcome CancelAttempts(EntryCall& aCall)
  {
    if (aCall.stage_ != EntryStage::AtOwner) {
      return Outcome::NotRun;
    }
    const auto& id = aCall.call_.id_;
    context_.Send(aCall.owner_, CallCancel{ id, aCall.attempt_ });
    const bool isWithheld = WithdrawBody(aCall) && !aCall.superseded_;
    if (aCall.superseded_) {
      context_.Send(aCall.superseded_->owner_, CallCancel{ id, aCall.superseded_->number_ });
      aCall.superseded_.reset();
    }
    return isWithheld ? Outcome::NotRun : Outcome::Unknown;
  }

  /// Stops the last attempt from sending its body.
  /// \returns True if the body was not sent, so that the attempt cannot run.
  bool WithdrawBody(const EntryCall& aCall)
  {
    return context_.Bodies().Withdraw({ { aCall.call_.id_, aCall.attempt_ }, false });
  }

  /// Waits for the superseded attempt again.
  static void ResumeSuperseded(EntryCall& aCall)
  {
    aCall.owner_ = aCall.superseded_->owner_;
    aCall.attempt_ = aCall.superseded_->number_;
    aCall.superseded_.reset();
  }

  void Refuse(const Call& aCall, Reason aReason)
  {
    const auto answer = Answer::WithoutContent(Outcome::NotRun, aReason);
    log_.WriteEnd(aCall, answer, nullptr);
    context_.Ports().callers_.Reply(aCall.id_, answer);
  }

  void Finish(EntryCall& aCall, const Answer& aLast)
  {
    if (aCall.superseded_) {
      const bool isGood =
        aLast.outcome_ == Outcome::Answered && !(aCall.isHedged_ && IsServerError(aLast.status_));
      if (!isGood) {
        ResumeSuperseded(aCall);
        return;
      }
      context_.Send(aCall.superseded_->owner_,
                    CallCancel{ aCall.call_.id_, aCall.superseded_->number_ });
    }
    const auto id = aCall.call_.id_;
    // An earlier attempt may have run even if the last one did not.
    const bool earlierMayHaveRun = aLast.outcome_ == Outcome::NotRun && aCall.mayHaveRun_;
    const bool hasEarlierAnswer = aLast.outcome_ != Outcome::Answered && aCall.firstAnswer_;
    const auto answer = hasEarlierAnswer ? *aCall.firstAnswer_
                        : earlierMayHaveRun
                          ? Answer::WithoutContent(Outcome::Unknown, aLast.reason_)
                          : aLast;
    log_.WriteEnd(aCall.call_, answer, &aCall);
    if (answer.outcome_ == Outcome::NotRun && aCall.token_) {
      limits_.Refund(aCall.decision_.team_, *aCall.token_);
    }
    Remove(calls_.find(id));
    context_.Ports().callers_.Reply(id, answer);
  }

  void StopWaiting(const EntryCall& aCall)
  {
    const auto found = waiting_.find(aCall.decision_.team_);
    if (found == waiting_.end()) {
      return;
    }
    found->second.erase(aCall.call_.id_);
    if (found->second.empty()) {
      waiting_.erase(found);
    }
  }

  void Remove(typename Calls::iterator aCall)
  {
    const auto id = aCall->first;
    StopWaiting(aCall->second);
    WithdrawBody(aCall->second);
    failureDetector_.CancelCheck(id);
    hedging_.Cancel(id);
    deadlines_.erase({ aCall->second.deadline_, id });
    deadlines_.erase({ aCall->second.acceptedAt_ + kMaxTokenWait, id });
    calls_.erase(aCall);
  }

  NodeContext<PortSet>& context_;
  EntryLog<PortSet> log_;
  TeamLimits<PortSet>& limits_;
  const CallTokens& tokens_;
  bool acceptingStopped_ = false;
  bool retriesStopped_ = false;
  InstanceLoadTable loadTable_;
  EntryAdmission admission_;
  Hedging hedging_;
  double saturation_ = 0; ///< of this node, 0 to 1
  DestinationChoice destinations_;
  std::map<std::string, RetryBudget> retryBudgets_; ///< by service
  Calls calls_;
  std::map<std::string, std::set<CallId>> waiting_; ///< for tokens, by team
  std::set<std::pair<TimePoint, CallId>> deadlines_;
  OwnerFailureDetector failureDetector_;
};

} // namespace geraniumpin
