#include "geraniumpin/process/membership.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

// Returns true if an event overrides the recorded state of the same incarnation.
bool
Overrides(const MemberEvent& aNew, std::uint64_t aBeat, MemberState aState) noexcept
{
  if (aState == MemberState::Gone) {
    return aNew.refutations_ > aBeat; // the VM is listed again
  }
  if (aNew.state_ == MemberState::Gone) {
    return aNew.refutations_ >= aBeat;
  }
  if (aState == MemberState::Leaving) {
    return false;
  }
  if (aNew.state_ == MemberState::Leaving) {
    return true;
  }
  return aNew.refutations_ > aBeat || (aNew.refutations_ == aBeat && aNew.state_ > aState);
}

} // namespace
} // namespace impl

Membership::Membership(NodeAddress aSelf, std::string aFailureDomain, std::uint64_t aIncarnation)
  : self_(std::move(aSelf))
  , failureDomain_(std::move(aFailureDomain))
  , incarnation_(aIncarnation)
{
}

void
Membership::OnContact(const NodeAddress& aNode, std::uint64_t aIncarnation, TimePoint aNow)
{
  auto& member = members_[aNode];
  if (aIncarnation > member.incarnation_) {
    member = Member{ .incarnation_ = aIncarnation, .lastContactAt_ = aNow };
    gossip_.erase(aNode);
  }
  if (aIncarnation < member.incarnation_) {
    return;
  }
  member.lastContactAt_ = aNow;
  if (member.state_ == MemberState::Suspect) {
    member.state_ = MemberState::Alive;
  }
  missedProbes_.erase(aNode);
  if (probe_ && probe_->node_ == aNode) {
    probe_.reset();
  }
}

void
Membership::OnEvents(const std::vector<MemberEvent>& aEvents)
{
  for (const auto& event : aEvents) {
    if (event.node_ == self_) {
      Refute(event);
    } else {
      ApplyEvent(event);
    }
  }
}

void
Membership::Refute(const MemberEvent& aEvent)
{
  if (aEvent.state_ != MemberState::Suspect || aEvent.incarnation_ != incarnation_ ||
      aEvent.refutations_ < refutations_) {
    return;
  }
  refutations_ = aEvent.refutations_ + 1;
  QueueGossip({ .node_ = self_,
                .incarnation_ = incarnation_,
                .refutations_ = refutations_,
                .state_ = leaving_ ? MemberState::Leaving : MemberState::Alive });
}

void
Membership::ApplyEvent(const MemberEvent& aEvent)
{
  auto& member = members_[aEvent.node_];
  const bool newer = aEvent.incarnation_ > member.incarnation_;
  const bool same = aEvent.incarnation_ == member.incarnation_;
  if (!newer && !(same && impl::Overrides(aEvent, member.refutations_, member.state_))) {
    return;
  }
  member.incarnation_ = aEvent.incarnation_;
  member.refutations_ = aEvent.refutations_;
  member.state_ = aEvent.state_;
  QueueGossip(aEvent);
}

void
Membership::QueueGossip(const MemberEvent& aEvent)
{
  gossip_.insert_or_assign(aEvent.node_, Gossip{ .event_ = aEvent });
}

MemberEvent
Membership::MakeEvent(const NodeAddress& aNode) const
{
  const auto found = members_.find(aNode);
  const auto member = found == members_.end() ? Member{} : found->second;
  return { .node_ = aNode,
           .incarnation_ = member.incarnation_,
           .refutations_ = member.refutations_,
           .state_ = member.state_ };
}

void
Membership::OnVmList(const VmList& aList)
{
  if (aList.revision_ < list_.revision_) {
    return;
  }
  std::map<NodeAddress, bool> leaving;
  for (const auto& vm : aList.vms_) {
    leaving.emplace(vm.node_, vm.leaving_);
  }
  for (const auto& previous : list_.vms_) {
    if (!leaving.contains(previous.node_)) {
      auto event = MakeEvent(previous.node_);
      event.state_ = MemberState::Gone;
      ApplyEvent(event);
    }
  }
  for (const auto& [node, isLeaving] : leaving) {
    if (auto event = MakeEvent(node); event.state_ == MemberState::Gone) {
      ++event.refutations_;
      event.state_ = MemberState::Alive;
      ApplyEvent(event);
    }
    if (isLeaving && node != self_) {
      auto event = MakeEvent(node);
      event.state_ = MemberState::Leaving;
      ApplyEvent(event);
    }
  }
  list_ = aList;
}

void
Membership::OnConfiguredNodes(const std::vector<NodeAddress>& aNodes, TimePoint aNow)
{
  const std::set<NodeAddress> configured(aNodes.begin(), aNodes.end());
  for (const auto& node : configuredNodes_) {
    if (!configured.contains(node)) {
      absentSince_.emplace(node, aNow);
    }
  }
  std::erase_if(absentSince_,
                [&](const auto& aEntry) { return configured.contains(aEntry.first); });
  configuredNodes_ = configured;
}

void
Membership::BeginLeaving()
{
  leaving_ = true;
  QueueGossip({ .node_ = self_,
                .incarnation_ = incarnation_,
                .refutations_ = refutations_,
                .state_ = MemberState::Leaving });
}

void
Membership::StartProbe(const NodeAddress& aNode, TimePoint aNow)
{
  probe_ = Probe{ aNode, aNow };
}

std::vector<NodeAddress>
Membership::CheckProbes(TimePoint aNow)
{
  if (!probe_ || aNow - probe_->sentAt_ < kProbeTimeout) {
    return {};
  }
  const auto node = probe_->node_;
  probe_.reset();
  if (++missedProbes_[node] < kProbesBeforeSuspicion) {
    nextProbe_ = aNow + kProbePeriod;
    StartProbe(node, aNow);
    return {};
  }
  auto event = MakeEvent(node);
  event.state_ = MemberState::Suspect;
  ApplyEvent(event);
  return { node };
}

std::vector<MemberEvent>
Membership::NextGossipEvents()
{
  std::vector<MemberEvent> events;
  for (auto entry = gossip_.begin(); entry != gossip_.end();) {
    if (events.size() == kEventsPerMessage) {
      break;
    }
    events.push_back(entry->second.event_);
    entry = --entry->second.transmissions_ == 0 ? gossip_.erase(entry) : std::next(entry);
  }
  return events;
}

std::optional<TimePoint>
Membership::LastContactAt(const NodeAddress& aNode) const
{
  const auto found = members_.find(aNode);
  const bool hasContact = found != members_.end() && found->second.lastContactAt_ != TimePoint{};
  return hasContact ? std::optional(found->second.lastContactAt_) : std::nullopt;
}

std::uint64_t
Membership::FindIncarnation(const NodeAddress& aNode) const
{
  const auto found = members_.find(aNode);
  return found == members_.end() ? 0 : found->second.incarnation_;
}

bool
Membership::AcceptsWork(const NodeAddress& aNode) const
{
  if (aNode == self_) {
    return !leaving_;
  }
  const auto found = members_.find(aNode);
  return found == members_.end() || found->second.state_ == MemberState::Alive;
}

bool
Membership::IsTerminated(const NodeAddress& aNode, TimePoint aNow) const
{
  if (list_.revision_ == 0) {
    const auto absent = absentSince_.find(aNode);
    return absent != absentSince_.end() && aNow - absent->second >= kTerminationAbsence;
  }
  return std::none_of(
    list_.vms_.begin(), list_.vms_.end(), [&](const ListedVm& aVm) { return aVm.node_ == aNode; });
}

TimePoint
Membership::NextDeadline() const noexcept
{
  return probe_ ? std::min(nextProbe_, probe_->sentAt_ + kProbeTimeout) : nextProbe_;
}

} // namespace geraniumpin
