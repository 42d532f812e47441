#include "geraniumpin/process/instance_hints.hpp"

namespace geraniumpin {

void
InstanceHints::OnHint(const NodeAddress& aNode, const LoadHint& aHint, TimePoint aNow)
{
  auto& entry = entries_[aNode];
  entry.hint_ = aHint;
  entry.heardAt_ = aNow;
  if (!aHint.takesWork_) {
    entry.avoidUntil_ = aNow + kAvoidance;
  }
}

void
InstanceHints::Avoid(const NodeAddress& aNode, TimePoint aNow)
{
  entries_[aNode].avoidUntil_ = aNow + kAvoidance;
}

LoadHint
InstanceHints::HintOf(const NodeAddress& aNode, TimePoint aNow) const
{
  const auto found = entries_.find(aNode);
  if (found == entries_.end()) {
    return {};
  }
  const auto& entry = found->second;
  const bool fresh = aNow - entry.heardAt_ < kHintAge;
  return { .load_ = fresh ? entry.hint_.load_ : 0, .takesWork_ = aNow >= entry.avoidUntil_ };
}

std::vector<Candidate>
InstanceHints::Candidates(const Snapshot& aSnapshot,
                          const std::string& aService,
                          const Membership& aMembers,
                          const std::string& aFailureDomain,
                          const std::set<NodeAddress>& aTried,
                          TimePoint aNow) const
{
  std::vector<Candidate> preferred;
  std::vector<Candidate> avoided;
  const auto* service = aSnapshot.FindService(aService);
  if (service == nullptr) {
    return {};
  }
  for (const auto& backendServer : service->backendServers_) {
    const auto* failureDomain = aSnapshot.FindFailureDomain(backendServer.failureDomain_);
    if (!failureDomain->inService_ || backendServer.state_ != InstanceState::Ready ||
        aTried.contains(backendServer.node_)) {
      continue;
    }
    const auto hint = HintOf(backendServer.node_, aNow);
    const bool usable = hint.takesWork_ && aMembers.TakesWork(backendServer.node_);
    (usable ? preferred : avoided)
      .push_back({ .backendServer_ = &backendServer,
                   .hint_ = hint,
                   .local_ = backendServer.failureDomain_ == aFailureDomain });
  }
  return preferred.empty() ? avoided : preferred;
}

std::vector<Candidate>
InstanceHints::Narrow(const std::string& aService, const std::vector<Candidate>& aCandidates)
{
  auto& spilling = spilling_[aService];
  spilling = DecideSpillOver(aCandidates, spilling);
  return PreferLocal(aCandidates, spilling);
}

} // namespace geraniumpin
