#pragma once

#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/last_contact.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/platform_reader.hpp"
#include "geraniumpin/request/route_decision.hpp"
#include "geraniumpin/version/highest_version.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Exchanges heartbeats, through which nodes pull versions that no push delivered, and
/// evaluates whether the configuration is recent enough to authenticate keys.
template<NodePortSet PortSet>
class GossipService
{
public:
  /// Time between two random decisions whether this node contacts another failure domain.
  static constexpr std::chrono::milliseconds kCrossDomainPeriod{ 1000 };
  /// Expected number of nodes per failure domain that are drawn in each period.
  static constexpr double kCrossDomainSenders = 4;
  /// Peers that must have answered before a starting node considers its version confirmed.
  static constexpr std::size_t kConfirmingPeers = 2;
  /// Time since the start after which the answer of a single peer suffices.
  static constexpr std::chrono::milliseconds kSinglePeerDelay{ 2000 };
  /// Time between two rounds of requests to peers until the version is confirmed.
  static constexpr std::chrono::milliseconds kJoinPeriod{ 500 };
  /// Peers contacted in one round.
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

  /// \brief Records that a message of the sender arrived.
  void OnEnvelope(const Envelope& aEnvelope)
  {
    const auto now = context_.Now();
    context_.GetMembership().OnContact(aEnvelope.sender_, aEnvelope.senderIncarnation_, now);
    if (IsExternal(aEnvelope.sender_)) {
      externalContact_ = externalContact_.AfterContact(now);
    }
    if (!confirmed_) {
      answeringPeers_.insert(aEnvelope.sender_);
      highestAnnounced_ = highestAnnounced_.With(aEnvelope.senderVersion_);
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
      reader_.OnReportedAge(aHeartbeat.platformAge_, !IsOfEarlierRelease(aEnvelope.senderVersion_));
    }
    if (aHeartbeat.wantsReply_) {
      context_.Send(aEnvelope.sender_, MakeHeartbeat(false));
    }
  }

  /// \brief Checks whether a read of the platform confirms the version.
  void OnPlatformRead()
  {
    if (!confirmed_) {
      CheckConfirmation();
    }
  }

  /// \brief Sends heartbeats that announce the planned stop of this node to kJoinFanOut peers.
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

  /// \brief Returns Current if keyed routes may be served.
  ///
  /// The configuration counts as expired until it is confirmed after a start, and when the latest
  /// contact with another failure domain or the platform is older than the document allows.
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
             .platformAge_ = reader_.FollowedAge() + std::chrono::milliseconds(1),
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

  /// The peers that a starting node can contact: its seeds, the VMs that the platform lists and the
  /// nodes of its own failure domain in the document.
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
    const auto current = context_.Versions().CurrentId();
    if (!IsConfiguration(current) || highestAnnounced_.IsAbove(current)) {
      return;
    }
    const bool delayPassed = context_.Now() - startedAt_ >= kSinglePeerDelay;
    const auto required = std::min(kConfirmingPeers, KnownPeers().size());
    const bool enoughPeers = answeringPeers_.size() >= std::max<std::size_t>(1, required);
    const bool onePeerAfterDelay = delayPassed && !answeringPeers_.empty();
    const bool alone = delayPassed && IsListedAlone();
    const bool confirmedByPlatform =
      reader_.HasRead() && context_.NodeSettings().IsPlatformLinearizable();
    if (enoughPeers || onePeerAfterDelay || alone || confirmedByPlatform) {
      confirmed_ = true;
      context_.Write(LogEvent("node_confirmed")
                       .With("version", current.number_.revision_)
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
  HighestVersion highestAnnounced_;
};

} // namespace geraniumpin
