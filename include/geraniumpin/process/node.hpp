#pragma once

#include "geraniumpin/connection/link_delay.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/entry_service.hpp"
#include "geraniumpin/process/gossip_service.hpp"
#include "geraniumpin/process/node_status.hpp"
#include "geraniumpin/process/owner_service.hpp"
#include "geraniumpin/process/platform_reader.hpp"
#include "geraniumpin/process/team_limits.hpp"

#include <algorithm>
#include <variant>

namespace geraniumpin {

/// \brief One node: everything that a process of the mesh decides.
///
/// The node is driven by events on one thread and reaches the outside only through its environment.
/// After each event the driver sleeps until NextDeadline at the latest and then calls OnTimer.
///
/// \code
/// Node node(environment, settings, incarnation);
/// node.OnTimer();
/// node.OnCall(call);
/// \endcode
template<Environment Env>
class Node
{
public:
  Node(Env aEnvironment, Settings aSettings, std::uint64_t aIncarnation)
    : context_(aEnvironment, std::move(aSettings), aIncarnation)
    , limits_(context_)
    , entry_(context_, limits_, tokens_)
    , owner_(context_, tokens_)
    , config_(context_, [this](const Snapshot& aSnapshot) { OnSnapshot(aSnapshot); })
    , reader_(context_, config_)
    , gossip_(context_, config_, reader_)
  {
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// \brief Takes in a request of a caller.
  void OnCall(const Call& aCall)
  {
    entry_.OnCall(aCall, gossip_.Trust());
    DeliverLocal();
  }

  /// \brief Takes in that a caller closed its connection.
  void OnCallerGone(const CallId& aId)
  {
    entry_.OnCallerGone(aId);
    DeliverLocal();
  }

  /// \brief Takes in a message of a peer.
  void OnEnvelope(const Envelope& aEnvelope)
  {
    delay_ = {};
    if (aEnvelope.sender_ != context_.Self()) {
      delay_ = linkDelay_.OnMessage(
        aEnvelope.sender_, aEnvelope.senderIncarnation_, aEnvelope.sentAt_, context_.Now());
      gossip_.OnEnvelope(aEnvelope);
      config_.OnAnnounced(aEnvelope);
    }
    std::visit([&](const auto& aPayload) { On(aEnvelope, aPayload); }, aEnvelope.payload_);
    DeliverLocal();
  }

  /// \brief Takes in how the backend server ended an attempt.
  void OnBackendEnd(const BackendEnd& aEnd)
  {
    owner_.OnBackendEnd(aEnd);
    DeliverLocal();
  }

  /// \brief Takes in an answer of the platform.
  void OnItemsRead(const ItemsRead& aRead)
  {
    reader_.OnItemsRead(aRead);
    gossip_.OnPlatformRead();
    DeliverLocal();
  }

  /// \brief Does what has become due.
  void OnTimer()
  {
    gossip_.OnTimer();
    config_.OnTimer();
    reader_.OnTimer();
    limits_.OnTimer();
    entry_.OnTimer();
    owner_.OnTimer();
    DeliverLocal();
  }

  /// \brief The time at which OnTimer must be called at the latest.
  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next = std::min(gossip_.NextDeadline(), reader_.NextDeadline());
    for (const auto& time : { config_.NextDeadline(),
                              limits_.NextDeadline(),
                              entry_.NextDeadline(),
                              owner_.NextDeadline() }) {
      next = time ? std::min(next, *time) : next;
    }
    return next;
  }

  /// \brief Refuses new requests of callers as not run, for the last part of a planned stop.
  void EndIntake() { entry_.EndIntake(); }

  /// \brief Begins a planned stop: as owner the node refuses new work as not run; as entry it
  /// serves callers through other nodes until EndIntake. Running work is finished.
  void BeginDrain()
  {
    context_.Members().BeginLeaving();
    gossip_.AnnounceLeaving();
    context_.Write(LogEvent("drain_begin")
                     .With("entry_calls", entry_.InFlight())
                     .With("owned_attempts", owner_.InFlight()));
  }

  /// \brief Says whether a planned stop has nothing left to finish.
  [[nodiscard]] bool IsIdle() const noexcept
  {
    return entry_.InFlight() == 0 && owner_.InFlight() == 0;
  }

  /// \brief Says whether the node serves requests: it knows a configuration and does not leave.
  [[nodiscard]] bool IsReady() const { return StateOf() == NodeState::Serving; }

  [[nodiscard]] NodeStatus Status() const
  {
    const auto id = context_.Versions().CurrentId();
    const auto& snapshot = context_.Versions().Current();
    return { .node_ = context_.Self(),
             .failureDomain_ = context_.NodeSettings().FailureDomainName(),
             .incarnation_ = context_.Incarnation(),
             .version_ = { snapshot ? snapshot->DocumentNumber() : 0, id.digest_ },
             .revision_ = id.number_,
             .state_ = StateOf(),
             .watcher_ = reader_.IsWatcher(),
             .homeTeams_ = limits_.HomeTeams(),
             .homeAuthorized_ = limits_.IsAuthorized(),
             .entryCalls_ = entry_.InFlight(),
             .ownedAttempts_ = owner_.InFlight(),
             .queued_ = owner_.Queued(),
             .concurrencyLimit_ = owner_.Limit() };
  }

  [[nodiscard]] const Metrics& Measures() const noexcept { return context_.Measures(); }

  /// \brief Says how a request would be routed, without sending it.
  [[nodiscard]] tl::expected<Explanation, Reason> Explain(const std::string& aHost,
                                                          const std::string& aMethod,
                                                          const std::string& aPath,
                                                          const std::optional<Digest>& aKeyDigest)
  {
    const auto decision = DecideRoute(
      context_.Versions().Current(), aHost, aMethod, aPath, aKeyDigest, gossip_.Trust());
    if (!decision) {
      return tl::make_unexpected(decision.error());
    }
    const auto& service = decision->route_.destinations_.front().service_;
    const auto candidates = entry_.Hints().Candidates(*decision->snapshot_,
                                                      service,
                                                      decision->route_,
                                                      context_.Members(),
                                                      context_.NodeSettings().FailureDomainName(),
                                                      {},
                                                      context_.Now());
    const auto narrowed = entry_.Hints().Narrow(service, candidates);
    std::vector<ExplainedCandidate> explained;
    explained.reserve(narrowed.size());
    for (const auto& candidate : narrowed) {
      explained.push_back(
        { candidate.backendServer_->name_, candidate.local_, candidate.hint_.load_ });
    }
    const auto* chosen = ChooseInstance(narrowed, 0, context_.Outside().random_);
    return Explanation{ .version_ = decision->snapshot_->Id().number_,
                        .route_ = decision->route_.name_,
                        .team_ = decision->team_,
                        .service_ = service,
                        .candidates_ = explained,
                        .chosen_ = chosen == nullptr ? "" : chosen->name_ };
  }

private:
  void On(const Envelope& aEnvelope, const CallRequest& aPayload)
  {
    owner_.OnRequest(aEnvelope, aPayload, delay_);
  }
  void On(const Envelope& aEnvelope, const CallReply& aPayload)
  {
    entry_.OnReply(aEnvelope, aPayload);
  }
  void On(const Envelope& /*aEnvelope*/, const CallCancel& aPayload) { owner_.OnCancel(aPayload); }
  void On(const Envelope& aEnvelope, const VersionPull& aPayload)
  {
    config_.OnPull(aEnvelope, aPayload);
  }
  void On(const Envelope& aEnvelope, const VersionPush& aPayload)
  {
    config_.OnPush(aEnvelope, aPayload);
  }
  void On(const Envelope& aEnvelope, const Heartbeat& aPayload)
  {
    gossip_.OnHeartbeat(aEnvelope, aPayload);
  }
  void On(const Envelope& aEnvelope, const LeaseRequest& aPayload)
  {
    limits_.OnRequest(aEnvelope, aPayload);
  }
  void On(const Envelope& aEnvelope, const LeaseGrant& aPayload)
  {
    limits_.OnGrant(aEnvelope, aPayload);
    entry_.OnTokens(aPayload.team_);
  }
  void On(const Envelope& aEnvelope, const HomeClaim& aPayload)
  {
    limits_.OnClaim(aEnvelope, aPayload);
  }
  void On(const Envelope& aEnvelope, const HomeConfirm& aPayload)
  {
    limits_.OnConfirm(aEnvelope, aPayload);
  }

  void OnSnapshot(const Snapshot& aSnapshot)
  {
    context_.Members().OnListed(aSnapshot.AllNodes(), context_.Now());
    owner_.OnSnapshot(aSnapshot);
    limits_.OnSnapshot(aSnapshot);
  }

  void DeliverLocal()
  {
    delay_ = {};
    while (auto envelope = context_.TakeLocal()) {
      std::visit([&](const auto& aPayload) { On(*envelope, aPayload); }, envelope->payload_);
    }
  }

  [[nodiscard]] NodeState StateOf() const
  {
    if (context_.Members().IsLeaving()) {
      return NodeState::Draining;
    }
    if (!context_.Versions().Current()) {
      return NodeState::Starting;
    }
    return gossip_.Trust() == KeyTrust::Current ? NodeState::Serving : NodeState::OpenRoutesOnly;
  }

  NodeContext<Env> context_;
  CallTokens tokens_;
  TeamLimits<Env> limits_;
  EntryService<Env> entry_;
  OwnerService<Env> owner_;
  ConfigService<Env> config_;
  PlatformReader<Env> reader_;
  GossipService<Env> gossip_;
  LinkDelay linkDelay_;
  Duration delay_{}; ///< of the message that is being taken in, beyond the usual
};

} // namespace geraniumpin
