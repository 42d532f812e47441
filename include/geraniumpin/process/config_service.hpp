#pragma once

#include "geraniumpin/process/dissemination.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/watcher_rank.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Applies versions that peers or the platform deliver and forwards them to peers.
template<NodePortSet PortSet>
class ConfigService
{
public:
  /// Time after which an unanswered pull is sent again.
  static constexpr std::chrono::milliseconds kPullTimeout{ 500 };
  /// Time by which a node that watches the platform delays a pull, so that its own read can finish.
  static constexpr std::chrono::milliseconds kWatcherPullDelay{ 300 };
  /// Watchers of a failure domain that push a version to peers; the others only read it.
  static constexpr std::size_t kPushingWatchers = 2;
  /// Times between the announcements of a version, the first one after it was applied. By then,
  /// pushes and the watchers of other failure domains have delivered it wherever nothing failed.
  static constexpr std::array<std::chrono::milliseconds, 3> kAnnounceDelays{
    std::chrono::milliseconds(250),
    std::chrono::milliseconds(250),
    std::chrono::milliseconds(500)
  };

  /// \param aOnSnapshot Called after each change of the running snapshot.
  ConfigService(NodeContext<PortSet>& aContext, std::function<void(const Snapshot&)> aOnSnapshot)
    : context_(aContext)
    , onSnapshot_(std::move(aOnSnapshot))
  {
  }

  /// \brief Pulls from a peer that announced a higher version than the running one.
  ///
  /// A node that watches the platform pulls after kWatcherPullDelay.
  void OnAnnouncedVersion(const Envelope& aEnvelope)
  {
    if (context_.Versions().FindRefusal(aEnvelope.senderVersion_)) {
      ReportConflict(aEnvelope);
      return;
    }
    const auto now = context_.Now();
    const bool carriesPush = std::holds_alternative<VersionPush>(aEnvelope.payload_);
    if (carriesPush || now < nextPullAt_) {
      return;
    }
    if (!context_.Versions().Current() || !context_.ComputeWatcherRank().IsWatcher()) {
      Pull(aEnvelope.sender_);
    } else if (!delayedPull_) {
      delayedPull_ =
        DelayedPull{ aEnvelope.sender_, aEnvelope.senderVersion_, now + kWatcherPullDelay };
    }
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (announceAt_ && now >= *announceAt_) {
      Announce(++announcements_);
      announceAt_ = announcements_ < kAnnounceDelays.size()
                      ? std::optional(now + kAnnounceDelays.at(announcements_))
                      : std::nullopt;
    }
    if (!delayedPull_ || now < delayedPull_->at_) {
      return;
    }
    const auto pull = *std::exchange(delayedPull_, std::nullopt);
    if (!context_.Versions().FindRefusal(pull.version_)) {
      Pull(pull.peer_);
    }
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    auto next = announceAt_;
    if (delayedPull_) {
      next = next ? std::min(*next, delayedPull_->at_) : delayedPull_->at_;
    }
    return next;
  }

  /// \brief Requests the version of a peer.
  void Pull(const NodeAddress& aPeer)
  {
    nextPullAt_ = context_.Now() + kPullTimeout;
    const auto& current = context_.Versions().Current();
    context_.Send(aPeer,
                  VersionPull{ .runningVersion_ = context_.Versions().CurrentId(),
                               .parts_ = current ? current->GetManifest().parts_ : PartDigests{} });
  }

  /// \brief Answers a pull with the delta, or with a heartbeat if the peer is up to date.
  void OnPull(const Envelope& aEnvelope, const VersionPull& aPull)
  {
    if (!Supersedes(context_.Versions().CurrentId(), aPull.runningVersion_)) {
      context_.Send(aEnvelope.sender_, Heartbeat{});
      return;
    }
    const auto delta = context_.Versions().MakeDelta(aPull.runningVersion_, aPull.parts_);
    Push(aEnvelope.sender_, delta, false);
  }

  void OnPush(const Envelope& aEnvelope, const VersionPush& aPush)
  {
    const auto before = context_.Versions().CurrentId();
    const auto refusal = Apply(aPush.delta_, aEnvelope.sender_.Text());
    if (!refusal) {
      nextPullAt_ = {};
      ForwardFromPeer(aEnvelope.sender_, aPush.relay_, before);
    } else if (*refusal == VersionRefusal::BaseMissing) {
      Pull(aEnvelope.sender_);
    }
  }

  /// \brief Applies a version that was read from the platform and pushes it to peers.
  /// \returns True if it was applied.
  bool OnPlatformVersion(const Delta& aDelta)
  {
    const auto before = context_.Versions().CurrentId();
    if (Apply(aDelta, "platform")) {
      return false;
    }
    if (context_.ComputeWatcherRank().rank_ < kPushingWatchers) {
      PushTo(Roots(), before);
    }
    return true;
  }

private:
  /// \returns The reason of a refusal, or nothing if the version was applied.
  std::optional<VersionRefusal> Apply(const Delta& aDelta, std::string_view aSource)
  {
    const auto startedAt = context_.Now();
    const auto applied = context_.Versions().Apply(aDelta, context_.Ports().codec_);
    if (!applied) {
      LogRefusal(aDelta, aSource, applied.error());
      return applied.error().refusal_;
    }
    const auto elapsed = context_.Now() - startedAt;
    context_.GetMetrics().Count("versions_applied");
    context_.GetMetrics().Record("apply_ms", elapsed);
    context_.Write(LogEvent("version_applied")
                     .With("version", aDelta.to_.number_.revision_)
                     .With("era", aDelta.to_.number_.era_)
                     .With("document", aDelta.to_.number_.document_)
                     .With("digest", aDelta.to_.digest_.Hex())
                     .With("source", aSource)
                     .With("changed_parts", aDelta.changed_.size())
                     .With("us", Microseconds(elapsed)));
    onSnapshot_(**applied);
    // Not later than an announcement that is due, so that a burst of versions does not postpone it.
    const auto announceAt = context_.Now() + kAnnounceDelays.front();
    announceAt_ = std::min(announceAt_.value_or(announceAt), announceAt);
    announcements_ = 0;
    return std::nullopt;
  }

  void LogRefusal(const Delta& aDelta, std::string_view aSource, const RefusedVersion& aRefused)
  {
    context_.GetMetrics().Count("version_refused_" + std::string(ToString(aRefused.refusal_)));
    if (aRefused.refusal_ == VersionRefusal::NotNewer) {
      return;
    }
    LogEvent event("version_refused", Severity::Warning);
    event.With("version", aDelta.to_.number_.revision_)
      .With("era", aDelta.to_.number_.era_)
      .With("document", aDelta.to_.number_.document_)
      .With("digest", aDelta.to_.digest_.Hex())
      .With("source", aSource)
      .With("reason", ToString(aRefused.refusal_))
      .With("faults", aRefused.faults_.size());
    if (!aRefused.faults_.empty()) {
      event.With("first_fault", ToString(aRefused.faults_.front()));
    }
    context_.Write(event);
  }

  void ReportConflict(const Envelope& aEnvelope)
  {
    const auto& announced = aEnvelope.senderVersion_;
    if (context_.Versions().FindRefusal(announced) != VersionRefusal::DigestConflict ||
        announced == reportedConflict_) {
      return;
    }
    reportedConflict_ = announced;
    context_.GetMetrics().Count("version_conflicts");
    context_.Write(LogEvent("version_conflict", Severity::Error)
                     .With("version", announced.number_.revision_)
                     .With("era", announced.number_.era_)
                     .With("digest", announced.digest_.Hex())
                     .With("running_digest", context_.Versions().CurrentId().digest_.Hex())
                     .With("source", aEnvelope.sender_.Text()));
  }

  void ForwardFromPeer(const NodeAddress& aSender, bool aRelay, const VersionId& aBefore)
  {
    const auto& snapshot = *context_.Versions().Current();
    const auto placement = snapshot.FindPlacement(aSender);
    const auto& domain = context_.NodeSettings().FailureDomainName();
    const bool fromOtherDomain = placement && placement->backendServer_.failureDomain_ != domain;
    if (fromOtherDomain) {
      PushTo(Roots(), aBefore);
    }
    if (aRelay) {
      PushTo(Children(), aBefore);
    } else {
      // The version was pulled. A push that arrives later is refused and so not forwarded; the
      // heartbeat lets children that lack the version pull it. After a late pull they all have it.
      for (const auto& child : Children()) {
        context_.Send(child, Heartbeat{});
      }
    }
  }

  /// A pull that is sent unless this node reads the version from the platform first.
  struct DelayedPull
  {
    NodeAddress peer_;
    VersionId version_;
    TimePoint at_;
  };

  [[nodiscard]] std::vector<NodeAddress> Children() const
  {
    return TreeChildren(kPushTree,
                        context_.Versions().CurrentId().number_.revision_,
                        context_.Self(),
                        DisseminationNodes());
  }

  /// The nodes to which versions are pushed: those that do not watch the platform.
  [[nodiscard]] std::vector<NodeAddress> DisseminationNodes() const
  {
    auto ranked = RankNodes(MakeWatcherSubject(context_.NodeSettings().FailureDomainName()),
                            context_.AvailableNodes());
    const auto watchers = WatcherRank{ .nodeCount_ = ranked.size(),
                                       .totalNodes_ = context_.Versions().Current()->NodeCount() }
                            .WatcherCount();
    ranked.erase(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(watchers));
    return ranked;
  }

  [[nodiscard]] std::vector<NodeAddress> Roots() const
  {
    return TreeRoots(kPushTree,
                     context_.Versions().CurrentId().number_.revision_,
                     context_.Self(),
                     DisseminationNodes());
  }

  void PushTo(const std::vector<NodeAddress>& aPeers, const VersionId& aBefore)
  {
    if (aPeers.empty()) {
      return;
    }
    const auto delta = context_.Versions().MakeDelta(aBefore);
    for (const auto& peer : aPeers) {
      Push(peer, delta, true);
    }
  }

  void Push(const NodeAddress& aPeer, const Delta& aDelta, bool aRelay)
  {
    context_.GetMetrics().Count("version_pushes");
    context_.Send(aPeer, VersionPush{ aDelta, aRelay });
  }

  /// Sends heartbeats along another tree; a node that lacks the version pulls it. For the fault
  /// that a node of the tree of pushes has failed, which all nodes below it would notice only by
  /// chance, through the heartbeats of membership.
  void Announce(TreeNumber aTree)
  {
    const auto nodes = DisseminationNodes();
    const auto version = context_.Versions().CurrentId().number_.revision_;
    const auto rank = context_.ComputeWatcherRank().rank_;
    const bool isPusher = rank < kPushingWatchers;
    const auto peers = isPusher ? TreeRoots(aTree, version, context_.Self(), nodes)
                                : TreeChildren(aTree, version, context_.Self(), nodes);
    for (const auto& peer : peers) {
      context_.Send(peer, Heartbeat{});
    }
    if (isPusher) {
      AnnounceToOtherDomains(
        static_cast<TreeNumber>(kPushingWatchers * aTree + rank)); // all to different nodes
    }
  }

  /// Sends heartbeats to the roots of a tree of each other failure domain, which may have no
  /// watcher that reads the platform.
  void AnnounceToOtherDomains(TreeNumber aTree)
  {
    const auto& snapshot = *context_.Versions().Current();
    for (const auto& domain : snapshot.FailureDomains()) {
      const auto& nodes = snapshot.FindNodes(domain.name_);
      if (domain.name_ == context_.NodeSettings().FailureDomainName() || nodes.empty()) {
        continue;
      }
      for (const auto& root :
           TreeRoots(aTree, snapshot.Id().number_.revision_, context_.Self(), nodes)) {
        context_.Send(root, Heartbeat{});
      }
    }
  }

  NodeContext<PortSet>& context_;
  std::function<void(const Snapshot&)> onSnapshot_;
  TimePoint nextPullAt_;
  std::optional<DelayedPull> delayedPull_;
  std::optional<TimePoint> announceAt_; ///< next announcement of the running version
  TreeNumber announcements_ = 0;        ///< of the running version
  VersionId reportedConflict_;
};

} // namespace geraniumpin
