#pragma once

#include "geraniumpin/process/call_tokens.hpp"
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

/// \brief Serves callers: authenticates, charges, chooses an instance, retries, answers.
template<Environment Env>
class EntryService
{
public:
  /// Longest wait of a request for a token of its team.
  static constexpr std::chrono::milliseconds kTokenWait{ 400 };

  /// Longest wait of a request while every home node of its team has no token.
  static constexpr std::chrono::milliseconds kExhaustedWait{ 100 };
  /// Share of the target latency that such a wait may take.
  static constexpr double kExhaustedShareOfTarget = 0.1;
  /// When a request beyond the rate may be repeated, as a share of its target latency: tokens come
  /// steadily, and one that is spent on a repetition should still buy an answer in time.
  static constexpr double kOverRateRetryShare = 0.15;
  /// Least time between two looks at the same waiting requests.
  static constexpr std::chrono::milliseconds kLeastPause{ 1 };
  /// Route priorities are below this, so that a team's priority goes before a route's.
  static constexpr std::uint32_t kRanksPerTeamPriority = 1001;
  /// Requests of one team that may wait for tokens at this node.
  static constexpr std::size_t kMostWaiting = 32;

  EntryService(NodeContext<Env>& aContext, TeamLimits<Env>& aLimits, const CallTokens& aTokens)
    : context_(aContext)
    , limits_(aLimits)
    , tokens_(aTokens)
  {
  }

  /// \brief Takes in a request of a caller; its answer follows through the caller port.
  void OnCall(const Call& aCall, KeyTrust aTrust)
  {
    context_.Measures().Count("calls");
    if (intakeEnded_) {
      Refuse(aCall, Reason::Draining);
      return;
    }
    const auto* holder = FindTokenHolder(aCall);
    if (!aCall.callToken_.empty() && holder == nullptr) {
      Refuse(aCall, Reason::TokenUnknown);
      return;
    }
    auto decision = DecideRoute(context_.Versions().Current(),
                                aCall.host_,
                                aCall.method_,
                                aCall.path_,
                                KeyDigestOf(aCall, holder),
                                aTrust);
    if (!decision) {
      Refuse(aCall, decision.error());
      return;
    }
    Accept(aCall, std::move(*decision), holder);
  }

  /// \brief Refuses new requests from now on; those that it has are finished.
  void EndIntake() noexcept { intakeEnded_ = true; }

  /// \brief Takes in that the caller left.
  void OnCallerGone(const CallId& aId)
  {
    const auto found = calls_.find(aId);
    if (found == calls_.end()) {
      return;
    }
    const auto& call = found->second;
    if (call.stage_ == EntryStage::AtOwner) {
      context_.Send(call.owner_, CallCancel{ aId, call.attempts_ });
    }
    context_.Measures().Count("calls_cancelled");
    const auto outcome = call.stage_ == EntryStage::AtOwner ? Outcome::Unknown : Outcome::NotRun;
    WriteEnd(call.call_, Answer::Refused(outcome, Reason::Cancelled), &call);
    Remove(found);
  }

  /// \brief Takes in the end of an attempt; late and repeated replies are dropped.
  void OnReply(const Envelope& aEnvelope, const CallReply& aReply)
  {
    hints_.OnHint(aEnvelope.sender_, aReply.hint_, context_.Now());
    const auto found = calls_.find(aReply.id_);
    if (found == calls_.end() || found->second.attempts_ != aReply.attempt_ ||
        found->second.stage_ != EntryStage::AtOwner) {
      context_.Measures().Count("late_replies");
      return;
    }
    found->second.queued_ = aReply.queued_;
    found->second.ran_ = aReply.ran_;
    if (aReply.answer_.outcome_ == Outcome::Answered) {
      const auto& call = found->second;
      hints_.OnServed(call.owner_, call.decision_.route_.name_, aReply.ran_);
    }
    OnAttemptEnd(found->second, aReply.answer_);
  }

  /// \brief Lets requests of the team go on that wait for a token.
  void OnTokens(const std::string& aTeam)
  {
    const auto waiting = waiting_.find(aTeam);
    if (waiting == waiting_.end()) {
      return;
    }
    const auto ids = waiting->second;
    for (const auto& id : ids) {
      if (!TryCharge(calls_.at(id))) {
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
    for (const auto& id : silence_.TakeDue(now)) {
      OnSilenceCheck(id);
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
    auto next =
      std::min(deadlines_.begin()->first, silence_.NextDeadline().value_or(TimePoint::max()));
    for (const auto& [team, ids] : waiting_) {
      const auto retryAt = std::min(limits_.RetryAt(team), ExhaustedUntil(calls_.at(*ids.begin())));
      next = std::min(next, std::max(retryAt, context_.Now() + kLeastPause));
    }
    return next;
  }

  [[nodiscard]] std::size_t InFlight() const noexcept { return calls_.size(); }
  [[nodiscard]] InstanceHints& Hints() noexcept { return hints_; }

private:
  using Calls = std::map<CallId, EntryCall>;

  [[nodiscard]] const TokenHolder* FindTokenHolder(const Call& aCall) const
  {
    return aCall.callToken_.empty() ? nullptr : tokens_.Find(aCall.callToken_);
  }

  [[nodiscard]] static std::optional<Digest> KeyDigestOf(const Call& aCall,
                                                         const TokenHolder* aHolder)
  {
    if (aHolder != nullptr) {
      return aHolder->keyDigest_;
    }
    return aCall.key_.empty() ? std::nullopt : std::optional(Digest::Of(aCall.key_));
  }

  void Accept(const Call& aCall, RouteDecision aDecision, const TokenHolder* aHolder)
  {
    Duration timeout = aDecision.route_.timeout_;
    if (aCall.timeout_ > Duration{}) {
      timeout = std::min(timeout, aCall.timeout_);
    }
    auto deadline = aCall.arrivedAt_ + timeout;
    if (aHolder != nullptr) {
      deadline = std::min(deadline, aHolder->deadline_);
    }
    auto& call =
      calls_
        .emplace(
          aCall.id_,
          EntryCall{ .call_ = aCall, .decision_ = std::move(aDecision), .deadline_ = deadline })
        .first->second;
    deadlines_.emplace(deadline, aCall.id_);
    call.service_ =
      destinations_.Next(call.decision_.route_, DrawFraction(context_.Outside().random_));
    auto& budget = retries_[call.service_];
    budget = budget.AfterRequest();
    const auto* team = call.decision_.snapshot_->FindTeam(call.decision_.team_);
    const bool isLimited = team != nullptr && team->ratePerSecond_ > 0;
    if (!isLimited || aHolder != nullptr) {
      StartAttempt(call);
      return;
    }
    waiting_[call.decision_.team_].insert(aCall.id_);
    deadlines_.emplace(std::min(deadline, aCall.arrivedAt_ + kTokenWait), aCall.id_);
    OnTokens(call.decision_.team_); // those that came earlier go first
  }

  /// \returns Whether the request no longer waits.
  [[nodiscard]] bool TryCharge(EntryCall& aCall)
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
        Finish(aCall,
               Answer::Refused(Outcome::NotRun, Reason::OverRate, OverRateRetryAfter(aCall)));
        return true;
      case TokenState::Unavailable:
        Finish(aCall, Answer::Refused(Outcome::NotRun, Reason::LimitUnavailable));
        return true;
    }
    return false;
  }

  /// Tokens that come within a moment are worth the wait, unless many wait already.
  [[nodiscard]] bool MayWait(const EntryCall& aCall) const
  {
    const auto& ids = waiting_.at(aCall.decision_.team_);
    return ids.size() <= kMostWaiting && context_.Now() < ExhaustedUntil(aCall);
  }

  [[nodiscard]] static TimePoint ExhaustedUntil(const EntryCall& aCall)
  {
    const auto target = aCall.decision_.route_.targetLatency_;
    Duration wait = kExhaustedWait;
    if (target.count() > 0) {
      wait = std::min(wait, std::chrono::duration_cast<Duration>(target * kExhaustedShareOfTarget));
    }
    return aCall.call_.arrivedAt_ + wait;
  }

  [[nodiscard]] static Duration OverRateRetryAfter(const EntryCall& aCall)
  {
    const auto& route = aCall.decision_.route_;
    const auto target = route.targetLatency_.count() > 0 ? route.targetLatency_ : route.timeout_;
    return std::chrono::duration_cast<Duration>(target * kOverRateRetryShare);
  }

  void StartAttempt(EntryCall& aCall)
  {
    const auto* chosen = Choose(aCall);
    if (chosen == nullptr) {
      const auto& last = aCall.lastRefusal_;
      Finish(aCall, last ? *last : Answer::Refused(Outcome::NotRun, Reason::NoInstance));
      return;
    }
    if (aCall.stage_ == EntryStage::AwaitsToken) {
      aCall.firstSentAt_ = context_.Now();
      context_.Measures().Record("token_ms", aCall.firstSentAt_ - aCall.call_.arrivedAt_);
    }
    aCall.stage_ = EntryStage::AtOwner;
    aCall.owner_ = chosen->node_;
    aCall.instance_ = chosen->name_;
    aCall.tried_.insert(chosen->node_);
    ++aCall.attempts_;
    const auto& call = aCall.call_;
    const auto now = context_.Now();
    const auto remaining = aCall.deadline_ - now;
    hints_.OnSent(chosen->node_);
    aCall.sentAt_ = now;
    silence_.Begin(call.id_, now + SilenceLimitsFor(aCall).untilAsked_);
    context_.Send(chosen->node_,
                  CallRequest{ .id_ = call.id_,
                               .attempt_ = aCall.attempts_,
                               .requestId_ = call.requestId_,
                               .route_ = aCall.decision_.route_.name_,
                               .service_ = aCall.service_,
                               .rank_ = RankOf(aCall.decision_),
                               .team_ = aCall.decision_.team_,
                               .keyDigest_ = aCall.decision_.keyDigest_,
                               .method_ = call.method_,
                               .host_ = call.host_,
                               .path_ = call.path_,
                               .headers_ = call.headers_,
                               .body_ = call.body_,
                               .idempotencyKey_ = call.idempotencyKey_,
                               .remaining_ = remaining,
                               .patience_ = QueuePatience(
                                 aCall.decision_.route_, now - call.arrivedAt_, remaining) });
  }

  /// Calls that backend servers make go first, since a refused one fails its parent; then the
  /// team's priority counts, then the route's.
  [[nodiscard]] static std::uint32_t RankOf(const RouteDecision& aDecision)
  {
    const auto* team = aDecision.snapshot_->FindTeam(aDecision.team_);
    const auto ofTeam = team == nullptr ? 0 : (team->priority_ + 1) * kRanksPerTeamPriority;
    return ofTeam + aDecision.route_.priority_;
  }

  [[nodiscard]] const BackendServer* Choose(EntryCall& aCall)
  {
    const auto& decision = aCall.decision_;
    // Instances come and go faster than routes change, so the newest list of them counts.
    const auto& snapshot = context_.Versions().Current();
    const bool onlyKnown = aCall.instances_.size() >= decision.route_.attempts_;
    auto candidates = hints_.Candidates(*snapshot,
                                        aCall.service_,
                                        decision.route_,
                                        context_.Members(),
                                        context_.NodeSettings().FailureDomainName(),
                                        onlyKnown ? std::set<NodeAddress>{} : aCall.tried_,
                                        context_.Now());
    if (onlyKnown) {
      std::erase_if(candidates, [&](const Candidate& aCandidate) {
        return !aCall.instances_.contains(aCandidate.backendServer_->name_);
      });
    }
    const auto narrowed = hints_.Narrow(aCall.service_, candidates);
    const auto bodyBytes = aCall.call_.body_ ? aCall.call_.body_->size() : 0;
    const auto* chosen = ChooseInstance(narrowed, bodyBytes, context_.Outside().random_);
    context_.Write(LogEvent("route", Severity::Routine)
                     .With("call", ToString(aCall.call_.id_))
                     .With("request", aCall.call_.requestId_)
                     .With("attempt", aCall.attempts_ + 1)
                     .With("version", decision.snapshot_->Id().number_)
                     .With("team", decision.team_)
                     .With("route", decision.route_.name_)
                     .With("candidates", narrowed.size())
                     .With("of", candidates.size())
                     .With("chosen", chosen == nullptr ? "none" : chosen->name_)
                     .With("reason", chosen == nullptr ? "no_instance" : "less_loaded_of_two"));
    return chosen;
  }

  void OnAttemptEnd(EntryCall& aCall, const Answer& aAnswer)
  {
    if (SaysInstanceIsAway(aAnswer.reason_)) {
      hints_.Avoid(aCall.owner_, context_.Now());
    }
    if (aAnswer.reason_ == Reason::WrongNode) {
      aCall.tried_.erase(aCall.owner_); // its reply has told the new incarnation
    }
    const bool reached = MayHaveReachedInstance(aAnswer.outcome_, aAnswer.reason_);
    if (reached) {
      aCall.mayHaveRun_ = aCall.mayHaveRun_ || aAnswer.outcome_ == Outcome::Unknown;
      aCall.instances_.insert(aCall.instance_);
    }
    const bool failed = aAnswer.outcome_ == Outcome::Answered && IsServerError(aAnswer.status_);
    if (aAnswer.outcome_ == Outcome::Answered && aCall.answered_ == std::nullopt) {
      aCall.answered_.emplace(aAnswer);
    }
    const RetryFacts facts{ .outcome_ = aAnswer.outcome_,
                            .failed_ = failed,
                            .reason_ = aAnswer.reason_,
                            .idempotent_ = aCall.decision_.route_.idempotent_,
                            .beforeDeadline_ = context_.Now() < aCall.deadline_,
                            .attempts_ = aCall.attempts_,
                            .instances_ = static_cast<std::uint32_t>(aCall.instances_.size()),
                            .mostInstances_ = aCall.decision_.route_.attempts_ };
    auto& budget = retries_[aCall.service_];
    if (!MayRetry(facts, budget)) {
      Finish(aCall, aAnswer);
      return;
    }
    budget = reached ? budget.AfterRetry() : budget;
    aCall.lastRefusal_.emplace(aAnswer);
    context_.Measures().Count("retries");
    StartAttempt(aCall);
  }

  void OnDeadline(EntryCall& aCall)
  {
    deadlines_.erase(deadlines_.begin());
    if (aCall.stage_ == EntryStage::AwaitsToken) {
      Finish(aCall, Answer::Refused(Outcome::NotRun, Reason::LimitUnavailable));
    } else if (context_.Now() >= aCall.deadline_) {
      const bool silent = IsOwnerSilent(aCall);
      if (silent) {
        hints_.Avoid(aCall.owner_, context_.Now());
      }
      context_.Send(aCall.owner_, CallCancel{ aCall.call_.id_, aCall.attempts_ });
      const auto reason = silent ? Reason::PeerSilent : Reason::DeadlinePassed;
      Finish(aCall, Answer::Refused(Outcome::Unknown, reason));
    }
  }

  /// Says whether nothing came from the owner since the last attempt was sent to it.
  [[nodiscard]] bool IsOwnerSilent(const EntryCall& aCall) const
  {
    if (aCall.owner_ == context_.Self()) {
      return false;
    }
    const auto heardAt = context_.Members().HeardAt(aCall.owner_);
    return !heardAt || *heardAt < aCall.sentAt_;
  }

  /// Passes over an owner that has gone silent, and tries idempotent requests elsewhere.
  void OnSilenceCheck(const CallId& aId)
  {
    const auto found = calls_.find(aId);
    if (found == calls_.end() || found->second.stage_ != EntryStage::AtOwner) {
      return;
    }
    auto& call = found->second;
    const auto now = context_.Now();
    const auto limits = SilenceLimitsFor(call);
    silence_.Begin(aId, now + limits.untilSilent_);
    const SilenceWatch::Facts facts{ call.sentAt_, !IsOwnerSilent(call), limits.untilSilent_ };
    switch (silence_.Judge(call.owner_, facts, now)) {
      case SilenceStep::Wait:
        break;
      case SilenceStep::Ask:
        // An instance may work for long while its node has nothing else to say.
        context_.Send(call.owner_, Heartbeat{ .wantsReply_ = true });
        break;
      case SilenceStep::Silent:
        OnSilentOwner(call);
        break;
    }
  }

  [[nodiscard]] SilenceLimits SilenceLimitsFor(const EntryCall& aCall) const
  {
    const auto& route = aCall.decision_.route_;
    return SilenceLimitsOf(hints_.ExpectedTime(aCall.owner_, route.name_), route.targetLatency_);
  }

  void OnSilentOwner(EntryCall& aCall)
  {
    hints_.Avoid(aCall.owner_, context_.Now());
    context_.Measures().Count("silent_owners");
    context_.Write(LogEvent("owner_silent", Severity::Warning)
                     .With("owner", aCall.owner_.Text())
                     .With("call", ToString(aCall.call_.id_))
                     .With("request", aCall.call_.requestId_));
    const auto answer = Answer::Refused(Outcome::Unknown, Reason::PeerSilent);
    const auto& route = aCall.decision_.route_;
    auto instances = aCall.instances_;
    instances.insert(aCall.instance_);
    const bool mayTryElsewhere = route.idempotent_ && instances.size() < route.attempts_ &&
                                 retries_[aCall.service_].AllowsRetry();
    if (mayTryElsewhere) {
      context_.Send(aCall.owner_, CallCancel{ aCall.call_.id_, aCall.attempts_ });
      OnAttemptEnd(aCall, answer);
    }
  }

  void Refuse(const Call& aCall, Reason aReason)
  {
    const auto answer = Answer::Refused(Outcome::NotRun, aReason);
    WriteEnd(aCall, answer, nullptr);
    context_.Outside().callers_.Reply(aCall.id_, answer);
  }

  void Finish(EntryCall& aCall, const Answer& aLast)
  {
    const auto id = aCall.call_.id_;
    // An earlier attempt may have run, whatever became of the last one.
    const bool untrue = aLast.outcome_ == Outcome::NotRun && aCall.mayHaveRun_;
    const bool hasEarlier = aLast.outcome_ != Outcome::Answered && aCall.answered_;
    const auto answer = hasEarlier ? *aCall.answered_
                        : untrue   ? Answer::Refused(Outcome::Unknown, aLast.reason_)
                                   : aLast;
    WriteEnd(aCall.call_, answer, &aCall);
    if (answer.outcome_ == Outcome::NotRun && aCall.token_) {
      limits_.Refund(aCall.decision_.team_, *aCall.token_);
    }
    Remove(calls_.find(id));
    context_.Outside().callers_.Reply(id, answer);
  }

  /// \param aAccepted Null if the request was refused on arrival.
  void WriteEnd(const Call& aCall, const Answer& aAnswer, const EntryCall* aAccepted)
  {
    const auto took = context_.Now() - aCall.arrivedAt_;
    context_.Measures().Count("outcome_" + std::string(ToString(aAnswer.outcome_)));
    if (aAnswer.reason_ != Reason::None) {
      context_.Measures().Count("reason_" + std::string(ToString(aAnswer.reason_)));
    }
    context_.Measures().Record("call_ms", took);
    const auto microseconds = [](Duration aTime) {
      return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
    };
    LogEvent event("call_end",
                   aAnswer.outcome_ == Outcome::Answered ? Severity::Routine : Severity::Warning);
    event.With("call", ToString(aCall.id_))
      .With("request", aCall.requestId_)
      .With("outcome", ToString(aAnswer.outcome_))
      .With("reason", ToString(aAnswer.reason_))
      .With("status", aAnswer.status_)
      .With("us", microseconds(took));
    if (aAccepted != nullptr) {
      const bool sent = aAccepted->attempts_ > 0;
      event.With("team", aAccepted->decision_.team_)
        .With("route", aAccepted->decision_.route_.name_)
        .With("owner", aAccepted->owner_.Text())
        .With("attempts", aAccepted->attempts_)
        .With("token_us", sent ? microseconds(aAccepted->firstSentAt_ - aCall.arrivedAt_) : 0)
        .With("queued_us", microseconds(aAccepted->queued_))
        .With("ran_us", microseconds(aAccepted->ran_));
    }
    context_.Write(event);
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
    silence_.End(id);
    deadlines_.erase({ aCall->second.deadline_, id });
    deadlines_.erase({ aCall->second.call_.arrivedAt_ + kTokenWait, id });
    calls_.erase(aCall);
  }

  NodeContext<Env>& context_;
  TeamLimits<Env>& limits_;
  const CallTokens& tokens_;
  bool intakeEnded_ = false;
  InstanceHints hints_;
  DestinationChoice destinations_;
  std::map<std::string, RetryBudget> retries_; ///< by service
  Calls calls_;
  std::map<std::string, std::set<CallId>> waiting_;
  std::set<std::pair<TimePoint, CallId>> deadlines_;
  SilenceWatch silence_;
};

} // namespace geraniumpin
