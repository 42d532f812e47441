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

/// \brief State of the other nodes, as known from probes, gossip and the list of VMs.
///
/// Each node probes one random member of its failure domain per period, so the cost per node does
/// not grow with the number of nodes. Events are piggybacked on the probes and their replies.
class Membership
{
public:
  static constexpr std::chrono::milliseconds kProbePeriod{ 1000 };
  static constexpr std::chrono::milliseconds kProbeTimeout{ 600 };
  static constexpr std::uint32_t kProbesBeforeSuspicion = 2;
  static constexpr std::size_t kEventsPerMessage = 8;
  /// Time without a node in the configuration after which its VM counts as terminated if there is
  /// no list of VMs; platforms abandon a VM and its process well before.
  static constexpr std::chrono::seconds kTerminationAbsence{ 60 };
  static constexpr std::uint32_t kTransmissionsPerEvent = 24; ///< about 2 log2 of 4,096 nodes

  Membership(NodeAddress aSelf, std::string aFailureDomain, std::uint64_t aIncarnation);

  /// \brief Records that a message of the node arrived.
  void OnContact(const NodeAddress& aNode, std::uint64_t aIncarnation, TimePoint aNow);

  /// \brief Applies membership events that another node sent.
  void OnEvents(const std::vector<MemberEvent>& aEvents);

  /// \brief Applies the platform's list of VMs; a revision below the last one is ignored.
  ///
  /// A VM that is listed again accepts work again: a list of an older copy can lack it for a while.
  void OnVmList(const VmList& aList);

  /// \brief Records the nodes of a new configuration.
  void OnConfiguredNodes(const std::vector<NodeAddress>& aNodes, TimePoint aNow);

  /// \brief Marks this node as leaving and queues the event for gossip.
  void BeginLeaving();

  /// \brief Draws the member to probe.
  /// \returns Nothing before the next period, or if this node itself was drawn.
  template<Random R>
  [[nodiscard]] std::optional<NodeAddress> NextProbe(const std::vector<NodeAddress>& aNodes,
                                                     TimePoint aNow,
                                                     R& aRandom);

  /// \brief Marks the probed member as suspect if it missed kProbesBeforeSuspicion probes.
  /// \returns The members that this call marked.
  [[nodiscard]] std::vector<NodeAddress> CheckProbes(TimePoint aNow);

  /// \brief Returns the events for the next message and counts the transmission of each.
  [[nodiscard]] std::vector<MemberEvent> NextGossipEvents();

  /// \brief Time at which the last message of the node arrived; nothing if none did.
  [[nodiscard]] std::optional<TimePoint> LastContactAt(const NodeAddress& aNode) const;

  /// \brief Finds the highest known incarnation of a node; 0 if none is known.
  [[nodiscard]] std::uint64_t FindIncarnation(const NodeAddress& aNode) const;

  /// \brief Returns true unless the known state of the node is Suspect, Leaving or Gone.
  [[nodiscard]] bool AcceptsWork(const NodeAddress& aNode) const;

  /// \brief Returns true if the VM has terminated: the platform no longer lists it or, if there is
  /// no list, it has been absent from the configuration for kTerminationAbsence.
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
  if (aNow < nextProbe_) {
    return std::nullopt;
  }
  nextProbe_ = aNow + kProbePeriod;
  if (aNodes.empty()) {
    return std::nullopt;
  }
  const auto& node = aNodes[DrawIndex(aRandom, aNodes.size())];
  if (node == self_) {
    return std::nullopt;
  }
  StartProbe(node, aNow);
  return node;
}

} // namespace geraniumpin
