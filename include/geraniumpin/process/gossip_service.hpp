#pragma once

#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/last_contact.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/platform_reader.hpp"
#include "geraniumpin/request/route_decision.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Exchanges heartbeats, repairs what pushes missed, and judges how much the node may trust
/// its version.
template<Environment Env>
class GossipService
{
public:
  /// Time between two chances to contact another failure domain.
  static constexpr std::chrono::milliseconds kBridgePeriod{ 1000 };
  /// Nodes per failure domain that contact another one in each period, on average.
  static constexpr double kBridges = 4;
  /// Peers that a starting node must have heard before it trusts its version.
  static constexpr std::size_t kConfirmations = 2;
  /// Time after which one peer is enough.
  static constexpr std::chrono::milliseconds kJoinWait{ 2000 };
  /// Time between two rounds of questions to peers while the node is not yet confirmed.
  static constexpr std::chrono::milliseconds kJoinRepeat{ 500 };
  /// Peers asked in one round.
  static constexpr std::size_t kJoinFanOut = 4;

  GossipService(NodeContext<Env>& aContext,
                ConfigService<Env>& aConfig,
                PlatformReader<Env>& aReader)
    : context_(aContext)
    , config_(aConfig)
    , reader_(aReader)
    , outside_(aContext.Now())
    , startedAt_(aContext.Now())
    , nextJoin_(aContext.Now())
    , nextBridge_(aContext.Now())
  {
  }

  /// \brief Takes in the sender of any message.
  void OnEnvelope(const Envelope& aEnvelope)
  {
    const auto now = context_.Now();
    context_.Members().OnHeard(aEnvelope.sender_, aEnvelope.senderIncarnation_, now);
    if (IsOutside(aEnvelope.sender_)) {
      outside_ = outside_.AfterContact(now);
    }
    if (!confirmed_) {
      answered_.insert(aEnvelope.sender_);
      highestHeard_ = std::max(highestHeard_, aEnvelope.announced_.number_);
      CheckConfirmation();
    }
  }

  void OnHeartbeat(const Envelope& aEnvelope, const Heartbeat& aHeartbeat)
  {
    context_.Members().OnEvents(aHeartbeat.events_);
    if (aHeartbeat.outsideAge_ > Duration{}) {
      outside_ = outside_.AfterReport(aHeartbeat.outsideAge_, context_.Now());
    }
    if (aHeartbeat.platformAge_ > Duration{}) {
      reader_.OnReportedAge(aHeartbeat.platformAge_);
    }
    if (aHeartbeat.wantsReply_) {
      context_.Send(aEnvelope.sender_, MakeHeartbeat(false));
    }
  }

  /// \brief Takes in that the platform answered.
  void OnPlatformRead()
  {
    if (!confirmed_) {
      CheckConfirmation();
    }
  }

  /// \brief Tells some members at once that this node leaves.
  void AnnounceLeaving()
  {
    for (const auto& node : DrawMembers(kJoinFanOut)) {
      context_.Send(node, MakeHeartbeat(false));
    }
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (!confirmed_ && now >= nextJoin_) {
      nextJoin_ = now + kJoinRepeat;
      Join();
      CheckConfirmation();
    }
    if (!context_.Versions().Current()) {
      return;
    }
    Probe(now);
    Bridge(now);
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next = confirmed_ ? TimePoint::max() : nextJoin_;
    if (context_.Versions().Current()) {
      next = std::min({ next, nextBridge_, context_.Members().NextDeadline() });
    }
    return next;
  }

  /// \brief Says whether keyed routes may be served.
  ///
  /// Not before enough peers have been heard after a start, nor when nothing has been heard from
  /// outside the failure domain for longer than the document allows.
  [[nodiscard]] KeyTrust Trust() const
  {
    const auto& snapshot = context_.Versions().Current();
    if (!confirmed_ || !snapshot) {
      return KeyTrust::Expired;
    }
    const auto age = std::min(outside_.Age(context_.Now()), reader_.PlatformAge());
    return age <= snapshot->CutOffKeyedService() ? KeyTrust::Current : KeyTrust::Expired;
  }

  [[nodiscard]] bool IsConfirmed() const noexcept { return confirmed_; }

private:
  [[nodiscard]] bool IsOutside(const NodeAddress& aNode) const
  {
    const auto& snapshot = context_.Versions().Current();
    if (!snapshot) {
      return false;
    }
    const auto& own = snapshot->NodesOf(context_.NodeSettings().FailureDomainName());
    const bool isMember = std::binary_search(own.begin(), own.end(), aNode);
    return !isMember || snapshot->FailureDomains().size() == 1;
  }

  [[nodiscard]] Heartbeat MakeHeartbeat(bool aWantsReply)
  {
    return { .wantsReply_ = aWantsReply,
             .events_ = context_.Members().TakeGossip(),
             .platformAge_ = reader_.PlatformAge() + std::chrono::milliseconds(1),
             .outsideAge_ = outside_.Age(context_.Now()) + std::chrono::milliseconds(1) };
  }

  void Probe(TimePoint aNow)
  {
    for (const auto& node : context_.Members().CheckProbes(aNow)) {
      context_.Measures().Count("members_suspected");
      context_.Write(LogEvent("member_suspected", Severity::Warning).With("node", node.Text()));
    }
    const auto& nodes =
      context_.Versions().Current()->NodesOf(context_.NodeSettings().FailureDomainName());
    if (const auto node = context_.Members().NextProbe(nodes, aNow, context_.Outside().random_)) {
      context_.Send(*node, MakeHeartbeat(true));
    }
  }

  void Bridge(TimePoint aNow)
  {
    if (aNow < nextBridge_) {
      return;
    }
    nextBridge_ = aNow + kBridgePeriod;
    const auto& snapshot = *context_.Versions().Current();
    const auto& domain = context_.NodeSettings().FailureDomainName();
    const auto members = std::max<std::size_t>(1, snapshot.NodesOf(domain).size());
    auto& random = context_.Outside().random_;
    if (DrawFraction(random) * static_cast<double>(members) > kBridges) {
      return;
    }
    const auto& domains = snapshot.FailureDomains();
    const auto& other = domains[DrawIndex(random, domains.size())].name_;
    const auto& nodes = snapshot.NodesOf(other);
    if (other != domain && !nodes.empty()) {
      context_.Send(nodes[DrawIndex(random, nodes.size())], MakeHeartbeat(true));
    }
  }

  /// The nodes that a starting node can know: its seeds, the platform's list and the document.
  [[nodiscard]] std::vector<NodeAddress> KnownPeers() const
  {
    std::set<NodeAddress> peers(context_.NodeSettings().Seeds().begin(),
                                context_.NodeSettings().Seeds().end());
    for (const auto& vm : context_.Members().Listed().vms_) {
      peers.insert(vm.node_);
    }
    if (const auto& snapshot = context_.Versions().Current()) {
      const auto& own = snapshot->NodesOf(context_.NodeSettings().FailureDomainName());
      peers.insert(own.begin(), own.end());
    }
    peers.erase(context_.Self());
    return { peers.begin(), peers.end() };
  }

  [[nodiscard]] std::vector<NodeAddress> DrawMembers(std::size_t aCount)
  {
    auto peers = KnownPeers();
    std::shuffle(peers.begin(), peers.end(), context_.Outside().random_);
    peers.resize(std::min(peers.size(), aCount));
    return peers;
  }

  void Join()
  {
    const auto peers = DrawMembers(kJoinFanOut);
    for (std::size_t i = 0; i < peers.size(); ++i) {
      if (i == 0) {
        config_.Pull(peers[i]);
      } else {
        context_.Send(peers[i], MakeHeartbeat(true));
      }
    }
  }

  void CheckConfirmation()
  {
    const auto current = context_.Versions().CurrentId().number_;
    if (current == 0 || current < highestHeard_) {
      return;
    }
    const bool waited = context_.Now() - startedAt_ >= kJoinWait;
    const auto wanted = std::min(kConfirmations, KnownPeers().size());
    const bool enough = answered_.size() >= std::max<std::size_t>(1, wanted);
    const bool oneAfterWait = waited && !answered_.empty();
    const bool alone = waited && IsListedAlone();
    const bool platformVouches =
      reader_.HasRead() && context_.NodeSettings().IsPlatformLinearizable();
    if (enough || oneAfterWait || alone || platformVouches) {
      confirmed_ = true;
      context_.Write(LogEvent("node_confirmed")
                       .With("version", current)
                       .With("answers", answered_.size())
                       .With("platform_vouches", platformVouches)
                       .With("alone", alone));
    }
  }

  [[nodiscard]] bool IsListedAlone() const
  {
    const auto& list = context_.Members().Listed();
    return list.revision_ > 0 && list.vms_.size() == 1 &&
           list.vms_.front().node_ == context_.Self();
  }

  NodeContext<Env>& context_;
  ConfigService<Env>& config_;
  PlatformReader<Env>& reader_;
  Freshness outside_;
  TimePoint startedAt_;
  TimePoint nextJoin_;
  TimePoint nextBridge_;
  bool confirmed_ = false;
  std::set<NodeAddress> answered_;
  std::uint64_t highestHeard_ = 0;
};

} // namespace geraniumpin
