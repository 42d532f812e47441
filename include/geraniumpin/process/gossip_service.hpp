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
template<NodePortSet PortSet>
class GossipService
{
public:
  /// Time between two chances to contact another failure domain.
  static constexpr std::chrono::milliseconds kCrossDomainPeriod{ 1000 };
  /// Nodes per failure domain that contact another one in each period, on average.
  static constexpr double kCrossDomainSenders = 4;
  /// Peers that a starting node must have heard before it trusts its version.
  static constexpr std::size_t kConfirmingPeers = 2;
  /// Time after which one peer is enough.
  static constexpr std::chrono::milliseconds kSinglePeerDelay{ 2000 };
  /// Time between two rounds of questions to peers while the node is not yet confirmed.
  static constexpr std::chrono::milliseconds kJoinPeriod{ 500 };
  /// Peers asked in one round.
  static constexpr std::size_t kJoinFanOut = 4;

  GossipService(NodeContext<PortSet>& aContext,
                ConfigService<PortSet>& aConfig,
                PlatformReader<PortSet>& aReader)
    : context_(aContext)
    , config_(aConfig)
    , reader_(aReader)
    , externalContact_(aContext.Now())
    , startedAt_(aContext.Now())
    , nextJoin_(aContext.Now())
    , nextCrossDomainAt_(aContext.Now())
  {
  }

  /// \brief Takes in the sender of any message.
  void OnEnvelope(const Envelope& aEnvelope)
  {
    const auto now = context_.Now();
    context_.GetMembership().OnContact(aEnvelope.sender_, aEnvelope.senderIncarnation_, now);
    if (IsExternal(aEnvelope.sender_)) {
      externalContact_ = externalContact_.AfterContact(now);
    }
    if (!confirmed_) {
      answeringPeers_.insert(aEnvelope.sender_);
      highestAnnounced_ = std::max(highestAnnounced_, aEnvelope.senderVersion_.number_);
      CheckConfirmation();
    }
  }

  void OnHeartbeat(const Envelope& aEnvelope, const Heartbeat& aHeartbeat)
  {
    context_.GetMembership().OnEvents(aHeartbeat.events_);
    if (aHeartbeat.externalAge_ > Duration{}) {
      externalContact_ = externalContact_.AfterReportedAge(aHeartbeat.externalAge_, context_.Now());
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
    for (const auto& node : DrawPeers(kJoinFanOut)) {
      context_.Send(node, MakeHeartbeat(false));
    }
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (!confirmed_ && now >= nextJoin_) {
      nextJoin_ = now + kJoinPeriod;
      Join();
      CheckConfirmation();
    }
    if (!context_.Versions().Current()) {
      return;
    }
    Probe(now);
    ContactOtherDomain(now);
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next = confirmed_ ? TimePoint::max() : nextJoin_;
    if (context_.Versions().Current()) {
      next = std::min({ next, nextCrossDomainAt_, context_.GetMembership().NextDeadline() });
    }
    return next;
  }

  /// \brief Says whether keyed routes may be served.
  ///
  /// Not before enough peers have been heard after a start, nor when nothing has been heard from
  /// outside the failure domain for longer than the document allows.
  [[nodiscard]] ConfigFreshness EvaluateFreshness() const
  {
    const auto& snapshot = context_.Versions().Current();
    if (!confirmed_ || !snapshot) {
      return ConfigFreshness::Expired;
    }
    const auto age = std::min(externalContact_.Age(context_.Now()), reader_.PlatformAge());
    return age <= snapshot->CutOffKeyedService() ? ConfigFreshness::Current
                                                 : ConfigFreshness::Expired;
  }

  [[nodiscard]] bool IsConfirmed() const noexcept { return confirmed_; }

private:
  [[nodiscard]] bool IsExternal(const NodeAddress& aNode) const
  {
    const auto& snapshot = context_.Versions().Current();
    if (!snapshot) {
      return false;
    }
    const auto& own = snapshot->FindNodes(context_.NodeSettings().FailureDomainName());
    const bool isMember = std::binary_search(own.begin(), own.end(), aNode);
    return !isMember || snapshot->FailureDomains().size() == 1;
  }

  [[nodiscard]] Heartbeat MakeHeartbeat(bool aWantsReply)
  {
    return { .wantsReply_ = aWantsReply,
             .events_ = context_.GetMembership().NextGossipEvents(),
             .platformAge_ = reader_.PlatformAge() + std::chrono::milliseconds(1),
             .externalAge_ = externalContact_.Age(context_.Now()) + std::chrono::milliseconds(1) };
  }

  void Probe(TimePoint aNow)
  {
    for (const auto& node : context_.GetMembership().CheckProbes(aNow)) {
      context_.GetMetrics().Count("members_suspected");
      context_.Write(LogEvent("member_suspected", Severity::Warning).With("node", node.Text()));
    }
    const auto& nodes =
      context_.Versions().Current()->FindNodes(context_.NodeSettings().FailureDomainName());
    if (const auto node =
          context_.GetMembership().NextProbe(nodes, aNow, context_.Ports().random_)) {
      context_.Send(*node, MakeHeartbeat(true));
    }
  }

  void ContactOtherDomain(TimePoint aNow)
  {
    if (aNow < nextCrossDomainAt_) {
      return;
    }
    nextCrossDomainAt_ = aNow + kCrossDomainPeriod;
    const auto& snapshot = *context_.Versions().Current();
    const auto& domain = context_.NodeSettings().FailureDomainName();
    const auto members = std::max<std::size_t>(1, snapshot.FindNodes(domain).size());
    auto& random = context_.Ports().random_;
    if (DrawFraction(random) * static_cast<double>(members) > kCrossDomainSenders) {
      return;
    }
    const auto& domains = snapshot.FailureDomains();
    const auto& other = domains[DrawIndex(random, domains.size())].name_;
    const auto& nodes = snapshot.FindNodes(other);
    if (other != domain && !nodes.empty()) {
      context_.Send(nodes[DrawIndex(random, nodes.size())], MakeHeartbeat(true));
    }
  }

  /// The nodes that a starting node can know: its seeds, the platform's list and the document.
  [[nodiscard]] std::vector<NodeAddress> KnownPeers() const
  {
    std::set<NodeAddress> peers(context_.NodeSettings().Seeds().begin(),
                                context_.NodeSettings().Seeds().end());
    for (const auto& vm : context_.GetMembership().ListedVms().vms_) {
      peers.insert(vm.node_);
    }
    if (const auto& snapshot = context_.Versions().Current()) {
      const auto& own = snapshot->FindNodes(context_.NodeSettings().FailureDomainName());
      peers.insert(own.begin(), own.end());
    }
    peers.erase(context_.Self());
    return { peers.begin(), peers.end() };
  }

  [[nodiscard]] std::vector<NodeAddress> DrawPeers(std::size_t aCount)
  {
    auto peers = KnownPeers();
    std::shuffle(peers.begin(), peers.end(), context_.Ports().random_);
    peers.resize(std::min(peers.size(), aCount));
    return peers;
  }

  void Join()
  {
    const auto peers = DrawPeers(kJoinFanOut);
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
    if (current == 0 || current < highestAnnounced_) {
      return;
    }
    const bool waited = context_.Now() - startedAt_ >= kSinglePeerDelay;
    const auto wanted = std::min(kConfirmingPeers, KnownPeers().size());
    const bool enough = answeringPeers_.size() >= std::max<std::size_t>(1, wanted);
    const bool oneAfterWait = waited && !answeringPeers_.empty();
    const bool alone = waited && IsListedAlone();
    const bool confirmedByPlatform =
      reader_.HasRead() && context_.NodeSettings().IsPlatformLinearizable();
    if (enough || oneAfterWait || alone || confirmedByPlatform) {
      confirmed_ = true;
      context_.Write(LogEvent("node_confirmed")
                       .With("version", current)
                       .With("answers", answeringPeers_.size())
                       .With("platform_vouches", confirmedByPlatform)
                       .With("alone", alone));
    }
  }

  [[nodiscard]] bool IsListedAlone() const
  {
    const auto& list = context_.GetMembership().ListedVms();
    return list.revision_ > 0 && list.vms_.size() == 1 &&
           list.vms_.front().node_ == context_.Self();
  }

  NodeContext<PortSet>& context_;
  ConfigService<PortSet>& config_;
  PlatformReader<PortSet>& reader_;
  LastContact externalContact_;
  TimePoint startedAt_;
  TimePoint nextJoin_;
  TimePoint nextCrossDomainAt_;
  bool confirmed_ = false;
  std::set<NodeAddress> answeringPeers_;
  std::uint64_t highestAnnounced_ = 0;
};

} // namespace geraniumpin
