#pragma once

#include "geraniumpin/connection/body_holder.hpp"
#include "geraniumpin/connection/link_monitor.hpp"
#include "geraniumpin/process/membership.hpp"
#include "geraniumpin/process/node_ports.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/settings.hpp"
#include "geraniumpin/process/watcher_rank.hpp"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief State that the services of a node share: its identity, versions, membership and ports.
template<NodePortSet PortSet>
class NodeContext
{
public:
  NodeContext(PortSet aPorts, Settings aSettings, std::uint64_t aIncarnation)
    : ports_(aPorts)
    , settings_(std::move(aSettings))
    , incarnation_(aIncarnation)
    , membership_(settings_.PeerAddress(), settings_.FailureDomainName(), aIncarnation)
    , bodies_(settings_.Window())
  {
  }

  [[nodiscard]] TimePoint Now() const { return ports_.clock_.Now(); }
  [[nodiscard]] const Settings& NodeSettings() const noexcept { return settings_; }
  [[nodiscard]] const NodeAddress& Self() const noexcept { return settings_.PeerAddress(); }
  [[nodiscard]] std::uint64_t Incarnation() const noexcept { return incarnation_; }
  [[nodiscard]] PortSet& Ports() noexcept { return ports_; }
  [[nodiscard]] VersionStore& Versions() noexcept { return versions_; }
  [[nodiscard]] const VersionStore& Versions() const noexcept { return versions_; }
  [[nodiscard]] Membership& GetMembership() noexcept { return membership_; }
  [[nodiscard]] const Membership& GetMembership() const noexcept { return membership_; }
  [[nodiscard]] LinkMonitor& Links() noexcept { return links_; }
  [[nodiscard]] const LinkMonitor& Links() const noexcept { return links_; }
  [[nodiscard]] BodyHolder& Bodies() noexcept { return bodies_; }
  [[nodiscard]] const BodyHolder& Bodies() const noexcept { return bodies_; }
  [[nodiscard]] Metrics& GetMetrics() noexcept { return metrics_; }
  [[nodiscard]] const Metrics& GetMetrics() const noexcept { return metrics_; }

  /// \brief Sends a message with the address and version of this node to a peer.
  ///
  /// A message to the node itself is queued for PopLocalMessage.
  void Send(const NodeAddress& aPeer, const Payload& aPayload)
  {
    const auto now = Now();
    Envelope envelope{ .sender_ = Self(),
                       .senderIncarnation_ = incarnation_,
                       .receiverIncarnation_ = membership_.FindIncarnation(aPeer),
                       .senderVersion_ = versions_.CurrentId(),
                       .sentAt_ = now.time_since_epoch(),
                       .link_ = aPeer == Self()
                                  ? std::nullopt
                                  : std::optional(links_.OnSend(aPeer, aPayload, now)),
                       .offerMinBytes_ = settings_.Window().OfferMinBytes(),
                       .payload_ = aPayload };
    if (aPeer == Self()) {
      localMessages_.push_back(std::move(envelope));
    } else {
      ports_.transport_.Send(aPeer, envelope);
    }
  }

  /// \brief Sends a CallRequest or CallReply; if the peer wants its body offered, sends an offer
  /// and holds the message.
  ///
  /// \param aExpiresAt As in BodyHolder::Hold.
  void SendOrOffer(const NodeAddress& aPeer, const Payload& aMessage, TimePoint aExpiresAt)
  {
    const auto offer =
      aPeer == Self() ? std::nullopt : bodies_.Hold(aPeer, aMessage, aExpiresAt, Now());
    Send(aPeer, offer ? *offer : aMessage);
  }

  /// \brief Sends the bodies that were granted and that the own link may take.
  void SendReadyBodies()
  {
    for (const auto& message : bodies_.TakeReady(Now())) {
      Send(message.peer_, message.payload_);
    }
  }

  /// \brief Replaces the connection to a peer.
  void ReplaceConnection(const NodeAddress& aPeer)
  {
    metrics_.Count("links_replaced");
    ports_.transport_.Reconnect(aPeer);
  }

  /// \brief Lists the nodes of the own failure domain that accept work, this one included.
  /// \returns An empty list before the first version.
  [[nodiscard]] std::vector<NodeAddress> AvailableNodes() const
  {
    std::vector<NodeAddress> available;
    if (!versions_.Current()) {
      return available;
    }
    for (const auto& node : versions_.Current()->FindNodes(settings_.FailureDomainName())) {
      if (node == Self() || membership_.AcceptsWork(node)) {
        available.push_back(node);
      }
    }
    return available;
  }

  /// \brief Computes the rank of this node among the watchers of its failure domain.
  ///
  /// Before the first version the other nodes are unknown and this node has the first rank.
  [[nodiscard]] WatcherRank ComputeWatcherRank() const
  {
    if (!versions_.Current()) {
      return {};
    }
    const auto available = AvailableNodes();
    const auto subject = MakeWatcherSubject(settings_.FailureDomainName());
    return { .rank_ = FindRank(subject, Self(), available),
             .nodeCount_ = available.size(),
             .totalNodes_ = versions_.Current()->NodeCount() };
  }

  /// \brief Removes and returns the oldest message that this node sent to itself.
  [[nodiscard]] std::optional<Envelope> PopLocalMessage()
  {
    if (localMessages_.empty()) {
      return std::nullopt;
    }
    std::optional<Envelope> envelope(std::move(localMessages_.front()));
    localMessages_.pop_front();
    return envelope;
  }

  void Write(const LogEvent& aEvent) { ports_.log_.Write(aEvent); }

private:
  PortSet ports_;
  Settings settings_;
  std::uint64_t incarnation_;
  VersionStore versions_;
  Membership membership_;
  LinkMonitor links_;
  BodyHolder bodies_;
  Metrics metrics_;
  std::deque<Envelope> localMessages_;
};

} // namespace geraniumpin
