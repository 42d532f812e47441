#pragma once

#include "geraniumpin/connection/link_delay.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/entry_service.hpp"
#include "geraniumpin/process/explain.hpp"
#include "geraniumpin/process/gossip_service.hpp"
#include "geraniumpin/process/link_maintenance.hpp"
#include "geraniumpin/process/link_traffic.hpp"
#include "geraniumpin/process/node_saturation.hpp"
#include "geraniumpin/process/node_status.hpp"
#include "geraniumpin/process/offer_service.hpp"
#include "geraniumpin/process/owner_service.hpp"
#include "geraniumpin/process/platform_reader.hpp"
#include "geraniumpin/process/request_intake.hpp"
#include "geraniumpin/process/team_limits.hpp"
#include "geraniumpin/process/turn_monitor.hpp"
#include "geraniumpin/process/unordered_offers.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace geraniumpin {

/// \brief A node of the mesh with all its services, independent of any input or output.
///
/// One thread delivers all events, and the node uses external resources only via its ports. After
/// each event the event loop sleeps until NextDeadline at the latest and then calls OnTimer.
///
/// \code
/// Node node(ports, settings, incarnation);
/// node.OnTimer();
/// node.OnCall(call);
/// \endcode
template<NodePortSet PortSet>
class Node
{
public:
  Node(PortSet aPorts, Settings aSettings, std::uint64_t aIncarnation)
    : context_(aPorts, std::move(aSettings), aIncarnation)
    , limits_(context_)
    , entry_(context_, limits_, tokens_)
    , owner_(context_, tokens_)
    , config_(context_, [this](const Snapshot& aSnapshot) { OnSnapshot(aSnapshot); })
    , reader_(context_, config_)
    , gossip_(context_, config_, reader_)
    , intake_(context_, entry_)
    , offers_(context_, entry_, owner_)
  {
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// \brief Handles a request of a caller; with overload control, OnTimer starts it.
  void OnCall(const Call& aCall)
  {
    OnTurnEvent();
    ++turn_.calls_;
    if (context_.NodeSettings().OverloadControl()) {
      measured_.wait_ = std::max(measured_.wait_, context_.Now() - aCall.arrivedAt_);
      const auto prepared =
        entry_.Prepare(aCall, gossip_.EvaluateFreshness(), reader_.GetReadState());
      if (prepared) {
        intake_.Hold(*prepared);
      }
    } else {
      entry_.OnCall(aCall, gossip_.EvaluateFreshness(), reader_.GetReadState());
    }
    DeliverLocalMessages();
  }

  /// \brief Returns true if a request may run beside the ones before it on its connection: its
  /// route is idempotent.
  [[nodiscard]] bool MayRunAhead(std::string_view aHost,
                                 std::string_view aMethod,
                                 std::string_view aPath) const
  {
    const auto& snapshot = context_.Versions().Current();
    const auto* route =
      snapshot ? snapshot->FindRoute(NormalizeHost(aHost), aMethod, aPath) : nullptr;
    return route != nullptr && route->idempotent_;
  }

  /// \brief Cancels the request of a caller that closed its connection.
  void OnCallerGone(const CallId& aId)
  {
    intake_.OnCallerGone(aId);
    entry_.OnCallerGone(aId);
    DeliverLocalMessages();
  }

  /// \brief Handles a message of a peer.
  void OnEnvelope(const Envelope& aEnvelope)
  {
    OnTurnEvent();
    ++turn_.messages_;
    excessDelay_ = {};
    if (aEnvelope.sender_ != context_.Self()) {
      excessDelay_ = linkDelay_.OnMessage(
        aEnvelope.sender_, aEnvelope.senderIncarnation_, aEnvelope.sentAt_, context_.Now());
      measured_.wait_ = std::max(measured_.wait_, excessDelay_);
      RecordTraffic(aEnvelope.payload_);
      context_.Bodies().OnPeer(aEnvelope.sender_, aEnvelope.offerMinBytes_);
      if (context_.Links().OnMessage(aEnvelope, context_.Now())) {
        context_.ReplaceConnection(aEnvelope.sender_);
      }
      gossip_.OnEnvelope(aEnvelope);
      config_.OnAnnouncedVersion(aEnvelope);
      unorderedOffers_.OnOffer(aEnvelope.senderVersion_,
                               context_.Versions().CurrentId(),
                               context_.Now(),
                               context_.Ports().random_);
    }
    std::visit([&](const auto& aPayload) { Handle(aEnvelope, aPayload); }, aEnvelope.payload_);
    DeliverLocalMessages();
  }

  /// \brief Handles the end of an attempt at the backend server.
  void OnBackendEnd(const BackendCompletion& aEnd)
  {
    OnTurnEvent();
    ++turn_.backendEnds_;
    owner_.OnBackendEnd(aEnd);
    DeliverLocalMessages();
  }

  /// \brief Handles the result of a read of the platform.
  void OnItemsRead(const ItemsRead& aRead)
  {
    OnTurnEvent();
    ++turn_.platformReads_;
    reader_.OnItemsRead(aRead);
    gossip_.OnPlatformRead();
    DeliverLocalMessages();
  }

  /// \brief Runs all work that is due.
  void OnTimer()
  {
    gossip_.OnTimer();
    config_.OnTimer();
    if (unorderedOffers_.TakeDue(context_.Versions().CurrentId(), context_.Now())) {
      reader_.RequestRead();
    }
    reader_.OnTimer();
    limits_.OnTimer();
    entry_.OnTimer();
    owner_.OnTimer();
    offers_.OnTimer();
    DeliverLocalMessages();
    MaintainLinks(context_);
    // New requests come last: responses and the next steps of started work precede them.
    if (intake_.Held() > 0) {
      OnTurnEvent();
      intake_.OnTurn(saturation_.Level(context_.Now()));
      DeliverLocalMessages();
    }
  }

  /// \brief Records the end of a turn of the event loop. Its duration counts from its first event.
  /// \param aCoresUsed A new sample of the processor time used by the process, if there is one.
  /// \param aQueuedLinkBytes Bytes that wait to be sent to peers.
  void OnTurnEnd(std::optional<double> aCoresUsed = std::nullopt,
                 std::uint64_t aQueuedLinkBytes = 0)
  {
    measured_.coresUsed_ = aCoresUsed ? aCoresUsed : measured_.coresUsed_;
    if (turnStartedAt_ == TimePoint{}) {
      return;
    }
    auto turn = std::exchange(turn_, {});
    turn.endedAt_ = context_.Now();
    turn.duration_ = turn.endedAt_ - std::exchange(turnStartedAt_, {});
    context_.GetMetrics().Record("turn_ms", turn.duration_);
    if (context_.NodeSettings().OverloadControl()) {
      auto inputs = std::exchange(measured_, {});
      inputs.turn_ = turn.duration_;
      inputs.queuedLinkBytes_ = aQueuedLinkBytes;
      saturation_ = saturation_.AfterTurn(inputs, context_.NodeSettings().Machine(), turn.endedAt_);
    }
    if (const auto longest = turnMonitor_.OnTurn(turn)) {
      context_.Write(MakeLoopLagEvent(*longest, context_.Now())
                       .With("entry_calls", entry_.InFlight())
                       .With("owned_attempts", owner_.InFlight()));
    }
  }

  /// \brief The time at which OnTimer must be called at the latest.
  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next =
      std::min({ gossip_.NextDeadline(), reader_.NextDeadline(), context_.Links().NextDeadline() });
    for (const auto& time : { config_.NextDeadline(),
                              limits_.NextDeadline(),
                              entry_.NextDeadline(),
                              owner_.NextDeadline(),
                              offers_.NextDeadline(),
                              context_.Bodies().NextDeadline(),
                              unorderedOffers_.NextDeadline() }) {
      next = time ? std::min(next, *time) : next;
    }
    return intake_.Held() > 0 ? std::min(next, context_.Now()) : next;
  }

  /// \brief Starts the last phase of a planned stop: refuses new requests of callers as not run.
  void StopAccepting() { entry_.StopAccepting(); }

  /// \brief Begins a planned stop. Running requests are finished.
  ///
  /// As owner the node refuses new requests as not run; as entry node it serves callers through
  /// other nodes until StopAccepting.
  void BeginDrain()
  {
    context_.GetMembership().BeginLeaving();
    gossip_.AnnounceLeaving();
    offers_.RefuseWaiting(Reason::Draining);
    context_.Write(LogEvent("drain_begin")
                     .With("entry_calls", entry_.InFlight())
                     .With("owned_attempts", owner_.InFlight()));
  }

  /// \brief Ends a planned stop: answers all requests that are left, as entry node and as owner.
  void EndPending()
  {
    entry_.StopRetrying();
    // The owner first: a request of this entry node then learns whether its attempt was started.
    owner_.EndPending();
    DeliverLocalMessages();
    intake_.EndPending();
    entry_.EndPending();
    DeliverLocalMessages();
    for (const auto& reply : context_.Bodies().TakeReplies()) {
      context_.Send(reply.peer_, reply.payload_);
    }
  }

  /// \brief Returns true if no request is in flight, so that a planned stop can end.
  [[nodiscard]] bool IsIdle() const noexcept
  {
    return intake_.Held() == 0 && entry_.InFlight() == 0 && owner_.InFlight() == 0 &&
           offers_.IsIdle() && !context_.Bodies().HoldsReplies();
  }

  /// \brief Returns true if the node serves all routes: its configuration is confirmed and recent,
  /// and it is not stopping.
  [[nodiscard]] bool IsReady() const { return ComputeState() == NodeState::Serving; }

  [[nodiscard]] NodeStatus Status() const
  {
    return { .node_ = context_.Self(),
             .failureDomain_ = context_.NodeSettings().FailureDomainName(),
             .incarnation_ = context_.Incarnation(),
             .version_ = context_.Versions().CurrentId(),
             .state_ = ComputeState(),
             .watcher_ = reader_.IsWatcher(),
             .leasedTeams_ = limits_.LeasedTeamCount(),
             .takeoversComplete_ = limits_.IsTakeoverComplete(),
             .entryCalls_ = entry_.InFlight(),
             .ownedAttempts_ = owner_.InFlight(),
             .queued_ = owner_.Queued(),
             .concurrencyLimit_ = owner_.Limit(),
             .saturation_ = saturation_.Level(context_.Now()) };
  }

  /// \brief Returns the configuration in force; null before the first one.
  [[nodiscard]] const SharedSnapshot& Configuration() const noexcept
  {
    return context_.Versions().Current();
  }

  [[nodiscard]] const Metrics& GetMetrics() const noexcept { return context_.GetMetrics(); }

  /// \brief Explains how a request would be routed, without sending it.
  /// \param aKeyDigest Digest of the caller's key; nothing if it has none.
  /// \returns The route and the candidates, or the reason why the request would be refused.
  [[nodiscard]] tl::expected<Explanation, Reason> Explain(const std::string& aHost,
                                                          const std::string& aMethod,
                                                          const std::string& aPath,
                                                          const std::optional<Digest>& aKeyDigest)
  {
    const auto decision = DecideRoute(context_.Versions().Current(),
                                      aHost,
                                      aMethod,
                                      aPath,
                                      aKeyDigest,
                                      gossip_.EvaluateFreshness());
    if (!decision) {
      return tl::make_unexpected(decision.error());
    }
    return ExplainDecision(context_, entry_.LoadTable(), *decision);
  }

private:
  void Handle(const Envelope& aEnvelope, const CallRequest& aPayload)
  {
    owner_.OnRequest(aEnvelope, aPayload, excessDelay_);
    offers_.OnTransferEnd({ { aPayload.id_, aPayload.attempt_ }, false });
  }
  void Handle(const Envelope& aEnvelope, const CallReply& aPayload)
  {
    entry_.OnReply(aEnvelope, aPayload);
    offers_.OnTransferEnd({ { aPayload.id_, aPayload.attempt_ }, true });
  }
  void Handle(const Envelope& /*aEnvelope*/, const CallCancel& aPayload)
  {
    owner_.OnCancel(aPayload);
    offers_.OnTransferEnd({ { aPayload.id_, aPayload.attempt_ }, false });
  }
  void Handle(const Envelope& aEnvelope, const CallOffer& aPayload)
  {
    offers_.OnCallOffer(aEnvelope, aPayload, excessDelay_);
  }
  void Handle(const Envelope& aEnvelope, const ReplyOffer& aPayload)
  {
    offers_.OnReplyOffer(aEnvelope, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const BodyGrant& aPayload)
  {
    context_.Bodies().OnGrant(aEnvelope.sender_, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const VersionPull& aPayload)
  {
    config_.OnPull(aEnvelope, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const VersionPush& aPayload)
  {
    config_.OnPush(aEnvelope, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const Heartbeat& aPayload)
  {
    gossip_.OnHeartbeat(aEnvelope, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const LeaseRequest& aPayload)
  {
    limits_.OnRequest(aEnvelope, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const LeaseGrant& aPayload)
  {
    limits_.OnGrant(aEnvelope, aPayload);
    entry_.OnTokens(aPayload.team_);
  }
  void Handle(const Envelope& aEnvelope, const TakeoverRequest& aPayload)
  {
    limits_.OnTakeoverRequest(aEnvelope, aPayload);
  }
  void Handle(const Envelope& aEnvelope, const TakeoverConfirmation& aPayload)
  {
    limits_.OnTakeoverConfirmation(aEnvelope, aPayload);
  }
  void Handle(const Envelope& /*aEnvelope*/, const LinkAck& /*aPayload*/) {}

  void RecordTraffic(const Payload& aPayload)
  {
    const auto report = linkTraffic_.OnMessage(aPayload, excessDelay_, context_.Now());
    context_.GetMetrics().Record(
      "delay_" + std::string(ToString(FindTrafficKind(aPayload))) + "_ms", excessDelay_);
    if (report) {
      context_.Write(MakeTrafficEvent(*report, offers_.State()));
    }
  }

  void OnTurnEvent()
  {
    if (turnStartedAt_ == TimePoint{}) {
      turnStartedAt_ = context_.Now();
      const auto level = saturation_.Level(turnStartedAt_);
      owner_.SetSaturation(level);
      entry_.SetSaturation(level);
    }
  }

  void OnSnapshot(const Snapshot& aSnapshot)
  {
    ++turn_.versions_;
    context_.GetMembership().OnConfiguredNodes(aSnapshot.AllNodes(), context_.Now());
    owner_.OnSnapshot(aSnapshot);
    limits_.OnSnapshot(aSnapshot);
  }

  void DeliverLocalMessages()
  {
    excessDelay_ = {};
    while (auto envelope = context_.PopLocalMessage()) {
      std::visit([&](const auto& aPayload) { Handle(*envelope, aPayload); }, envelope->payload_);
    }
    context_.SendReadyBodies();
  }

  [[nodiscard]] NodeState ComputeState() const
  {
    if (context_.GetMembership().IsLeaving()) {
      return NodeState::Draining;
    }
    if (!context_.Versions().Current()) {
      return NodeState::Starting;
    }
    return gossip_.EvaluateFreshness() == ConfigFreshness::Current ? NodeState::Serving
                                                                   : NodeState::OpenRoutesOnly;
  }

  NodeContext<PortSet> context_;
  CallTokens tokens_;
  TeamLimits<PortSet> limits_;
  EntryService<PortSet> entry_;
  OwnerService<PortSet> owner_;
  ConfigService<PortSet> config_;
  PlatformReader<PortSet> reader_;
  GossipService<PortSet> gossip_;
  UnorderedOffers unorderedOffers_;
  RequestIntake<PortSet> intake_; ///< empty without overload control
  OfferService<PortSet> offers_;
  NodeSaturation saturation_; ///< zero without overload control
  SaturationInputs measured_; ///< in the turn in progress
  LoopTurn turn_;             ///< in progress
  TimePoint turnStartedAt_{}; ///< first event of the turn in progress; zero before it
  TurnMonitor turnMonitor_;
  LinkDelay linkDelay_;
  LinkTraffic linkTraffic_;
  Duration excessDelay_{}; ///< of the message in progress, beyond the lowest delay of its link
};

} // namespace geraniumpin
