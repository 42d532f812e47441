#include "geraniumpin/process/instance_load_table.hpp"

#include <algorithm>

namespace geraniumpin {

void
InstanceHints::OnHint(const NodeAddress& aNode, const LoadHint& aHint, TimePoint aNow)
{
  auto& entry = entries_[aNode];
  entry.hint_ = aHint;
  entry.heardAt_ = aNow;
  entry.sentSince_ = 0;
  if (!aHint.takesWork_) {
    entry.avoidUntil_ = aNow + kAvoidance;
  }
}

void
InstanceHints::OnSent(const NodeAddress& aNode)
{
  ++entries_[aNode].sentSince_;
}

void
InstanceHints::OnServed(const NodeAddress& aNode, const std::string& aRoute, Duration aTook)
{
  auto& costs = entries_[aNode].costs_;
  const auto known = costs.find(aRoute);
  if (known != costs.end()) {
    known->second += (aTook - known->second) / kCostSmoothing;
  } else if (costs.size() < kMostCosts) {
    costs.emplace(aRoute, aTook);
  }
}

Duration
InstanceHints::ExpectedTime(const NodeAddress& aNode, const std::string& aRoute) const
{
  const auto entry = entries_.find(aNode);
  if (entry == entries_.end()) {
    return {};
  }
  const auto cost = entry->second.costs_.find(aRoute);
  return cost == entry->second.costs_.end() ? Duration{} : cost->second;
}

double
InstanceHints::CostShare(const NodeAddress& aNode, const Route& aRoute) const
{
  if (aRoute.targetLatency_.count() == 0) {
    return 0;
  }
  const std::chrono::duration<double> expected = ExpectedTime(aNode, aRoute.name_);
  return expected / aRoute.targetLatency_;
}

void
InstanceHints::Avoid(const NodeAddress& aNode, TimePoint aNow)
{
  entries_[aNode].avoidUntil_ = aNow + kAvoidance;
}

LoadHint
InstanceHints::HintOf(const BackendServer& aServer, std::uint32_t aSlots, TimePoint aNow) const
{
  const auto found = entries_.find(aServer.node_);
  if (found == entries_.end()) {
    return {};
  }
  const auto& entry = found->second;
  const bool fresh = aNow - entry.heardAt_ < kHintAge;
  const double sent = static_cast<double>(entry.sentSince_) / std::max(1U, aSlots);
  const double load = (fresh ? entry.hint_.load_ : 0) + sent;
  return { .load_ = load, .takesWork_ = aNow >= entry.avoidUntil_ };
}

std::vector<Candidate>
InstanceHints::Candidates(const Snapshot& aSnapshot,
                          const std::string& aService,
                          const Route& aRoute,
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
    const auto slots = backendServer.slots_ > 0 ? backendServer.slots_ : service->slots_;
    const auto hint = HintOf(backendServer, slots, aNow);
    const bool usable = hint.takesWork_ && aMembers.TakesWork(backendServer.node_);
    (usable ? preferred : avoided)
      .push_back({ .backendServer_ = &backendServer,
                   .hint_ = hint,
                   .local_ = backendServer.failureDomain_ == aFailureDomain,
                   .cost_ = CostShare(backendServer.node_, aRoute) });
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
