#pragma once

#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/random.hpp"
#include "geraniumpin/version/vm_list.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief What this node believes about the others, learnt from probes, gossip and the VM list.
///
/// Each node probes one random member of its failure domain per period, so its cost does not grow
/// with the fleet. Beliefs spread on the probes and their replies.
class Membership
{
public:
  static constexpr std::chrono::milliseconds kProbePeriod{ 1000 };
  static constexpr std::chrono::milliseconds kProbeTimeout{ 600 };
  static constexpr std::uint32_t kProbesBeforeSuspicion = 2;
  static constexpr std::size_t kEventsPerMessage = 8;
  /// Time without a node in the configuration after which it has ended, if there is no list of VMs:
  /// platforms give a VM up, and its process, well before.
  static constexpr std::chrono::seconds kTerminationAbsence{ 60 };
  static constexpr std::uint32_t kTransmissionsPerEvent = 24; ///< about 2 log2 of 4,096 nodes

  Membership(NodeAddress aSelf, std::string aFailureDomain, std::uint64_t aIncarnation);

  /// \brief Takes in that a message of the node arrived.
  void OnContact(const NodeAddress& aNode, std::uint64_t aIncarnation, TimePoint aNow);

  /// \brief Takes in beliefs of another node.
  void OnEvents(const std::vector<MemberEvent>& aEvents);

  /// \brief Takes in the platform's list; lower revisions than one seen are ignored.
  void OnVmList(const VmList& aList);

  /// \brief Takes in the nodes of a new configuration.
  void OnConfiguredNodes(const std::vector<NodeAddress>& aNodes, TimePoint aNow);

  /// \brief Announces that this node leaves.
  void BeginLeaving();

  /// \brief Picks the member to probe in this period, if the period is over.
  template<Random R>
  [[nodiscard]] std::optional<NodeAddress> NextProbe(const std::vector<NodeAddress>& aNodes,
                                                     TimePoint aNow,
                                                     R& aRandom);

  /// \brief Suspects probed members that did not answer.
  /// \returns The members that were suspected just now.
  [[nodiscard]] std::vector<NodeAddress> CheckProbes(TimePoint aNow);

  /// \brief Takes the beliefs that the next message should carry.
  [[nodiscard]] std::vector<MemberEvent> NextGossipEvents();

  /// \brief When a message of the node arrived last; nothing if none ever did.
  [[nodiscard]] std::optional<TimePoint> LastContactAt(const NodeAddress& aNode) const;

  /// \brief The incarnation last heard of a node; 0 if none was.
  [[nodiscard]] std::uint64_t FindIncarnation(const NodeAddress& aNode) const;

  /// \brief Says whether nothing speaks against sending new work to the node.
  [[nodiscard]] bool AcceptsWork(const NodeAddress& aNode) const;

  /// \brief Says whether the VM has ended: the platform's list no longer has it, or, if the
  /// platform keeps none, the configuration has been without it for kTerminationAbsence.
  [[nodiscard]] bool IsTerminated(const NodeAddress& aNode, TimePoint aNow) const;

  [[nodiscard]] bool IsLeaving() const noexcept { return leaving_; }
  [[nodiscard]] const VmList& ListedVms() const noexcept { return list_; }
  [[nodiscard]] TimePoint NextDeadline() const noexcept;

private:
  struct Member
  {
    std::uint64_t incarnation_ = 0;
    std::uint64_t refutations_ = 0;
    MemberState state_ = MemberState::Alive;
    TimePoint lastContactAt_;
  };
  struct Probe
  {
    NodeAddress node_;
    TimePoint sentAt_;
  };
  struct Gossip
  {
    MemberEvent event_;
    std::uint32_t transmissions_ = kTransmissionsPerEvent;
  };

  void ApplyEvent(const MemberEvent& aEvent);
  void Refute(const MemberEvent& aEvent);
  void QueueGossip(const MemberEvent& aEvent);
  [[nodiscard]] MemberEvent MakeEvent(const NodeAddress& aNode) const;
  void StartProbe(const NodeAddress& aNode, TimePoint aNow);

  NodeAddress self_;
  std::string failureDomain_;
  std::uint64_t incarnation_;
  std::uint64_t refutations_ = 0;
  bool leaving_ = false;
  std::map<NodeAddress, Member> members_;
  std::map<NodeAddress, std::uint32_t> missedProbes_;
  std::optional<Probe> probe_;
  TimePoint nextProbe_;
  std::map<NodeAddress, Gossip> gossip_;
  VmList list_;
  std::set<NodeAddress> configuredNodes_;
  std::map<NodeAddress, TimePoint> absentSince_;
};

template<Random R>
std::optional<NodeAddress>
Membership::NextProbe(const std::vector<NodeAddress>& aNodes, TimePoint aNow, R& aRandom)
{
  if (aNow < nextProbe_ || aNodes.empty()) {
    return std::nullopt;
  }
  nextProbe_ = aNow + kProbePeriod;
  const auto& node = aNodes[DrawIndex(aRandom, aNodes.size())];
  if (node == self_) {
    return std::nullopt;
  }
  StartProbe(node, aNow);
  return node;
}

} // namespace geraniumpin
