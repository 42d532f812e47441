#pragma once

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

/// \brief What the parts of a node share: its identity, its version, its outside.
template<Environment Env>
class NodeContext
{
public:
  NodeContext(Env aEnvironment, Settings aSettings, std::uint64_t aIncarnation)
    : environment_(aEnvironment)
    , settings_(std::move(aSettings))
    , incarnation_(aIncarnation)
    , membership_(settings_.PeerAddress(), settings_.FailureDomainName(), aIncarnation)
  {
  }

  [[nodiscard]] TimePoint Now() const { return environment_.clock_.Now(); }
  [[nodiscard]] const Settings& NodeSettings() const noexcept { return settings_; }
  [[nodiscard]] const NodeAddress& Self() const noexcept { return settings_.PeerAddress(); }
  [[nodiscard]] std::uint64_t Incarnation() const noexcept { return incarnation_; }
  [[nodiscard]] Env& Outside() noexcept { return environment_; }
  [[nodiscard]] VersionStore& Versions() noexcept { return versions_; }
  [[nodiscard]] const VersionStore& Versions() const noexcept { return versions_; }
  [[nodiscard]] Membership& Members() noexcept { return membership_; }
  [[nodiscard]] const Membership& Members() const noexcept { return membership_; }
  [[nodiscard]] Metrics& Measures() noexcept { return metrics_; }
  [[nodiscard]] const Metrics& Measures() const noexcept { return metrics_; }

  /// \brief Sends a message to a peer under the name and version of this node.
  void Send(const NodeAddress& aPeer, const Payload& aPayload)
  {
    Envelope envelope{ .sender_ = Self(),
                       .senderIncarnation_ = incarnation_,
                       .receiverIncarnation_ = membership_.IncarnationOf(aPeer),
                       .announced_ = versions_.CurrentId(),
                       .sentAt_ = Now().time_since_epoch(),
                       .payload_ = aPayload };
    if (aPeer == Self()) {
      local_.push_back(std::move(envelope));
    } else {
      environment_.transport_.Send(aPeer, envelope);
    }
  }

  /// \brief Lists the nodes of the own failure domain that take work, this one included.
  /// \returns Nothing before the first version.
  [[nodiscard]] std::vector<NodeAddress> WorkingNodes() const
  {
    std::vector<NodeAddress> working;
    if (!versions_.Current()) {
      return working;
    }
    for (const auto& node : versions_.Current()->NodesOf(settings_.FailureDomainName())) {
      if (node == Self() || membership_.TakesWork(node)) {
        working.push_back(node);
      }
    }
    return working;
  }

  /// \brief The place of this node among the readers of its failure domain; the first before it
  /// knows a version, since it then knows of no other.
  [[nodiscard]] ReaderPlace PlaceAsReader() const
  {
    if (!versions_.Current()) {
      return {};
    }
    const auto working = WorkingNodes();
    const auto subject = ReaderSubject(settings_.FailureDomainName());
    return { .rank_ = RankOf(subject, Self(), working), .members_ = working.size() };
  }

  /// \brief Takes the next message that this node sent to itself.
  [[nodiscard]] std::optional<Envelope> TakeLocal()
  {
    if (local_.empty()) {
      return std::nullopt;
    }
    std::optional<Envelope> envelope(std::move(local_.front()));
    local_.pop_front();
    return envelope;
  }

  void Write(const LogEvent& aEvent) { environment_.log_.Write(aEvent); }

private:
  Env environment_;
  Settings settings_;
  std::uint64_t incarnation_;
  VersionStore versions_;
  Membership membership_;
  Metrics metrics_;
  std::deque<Envelope> local_;
};

} // namespace geraniumpin
