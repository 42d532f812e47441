#include "geraniumpin/process/instance_load_table.hpp"

#include <algorithm>

namespace geraniumpin {

void
InstanceLoadTable::OnLoadReport(const NodeAddress& aNode, const LoadReport& aReport, TimePoint aNow)
{
  auto& entry = entries_[aNode];
  entry.loadReport_ = aReport;
  entry.lastContactAt_ = aNow;
  entry.sentSinceReport_ = 0;
  if (!aReport.acceptsWork_) {
    entry.excludedUntil_ = aNow + kExclusionTime;
  }
}

void
InstanceLoadTable::OnSent(const NodeAddress& aNode)
{
  ++entries_[aNode].sentSinceReport_;
}

void
InstanceLoadTable::OnServed(const NodeAddress& aNode, const std::string& aRoute, Duration aElapsed)
{
  const auto record = [&](auto& aTimes) {
    const auto known = aTimes.find(aRoute);
    if (known != aTimes.end()) {
      known->second = known->second.After(aElapsed);
    } else if (aTimes.size() < kMaxServiceTimes) {
      aTimes.emplace(aRoute, ServiceTime{}.After(aElapsed));
    }
  };
  auto& entry = entries_[aNode];
  record(entry.serviceTimes_);
  entry.serviceTime_ = entry.serviceTime_.After(aElapsed);
  record(routeTimes_);
}

Duration
InstanceLoadTable::ExpectedServiceTime(const NodeAddress& aNode, const std::string& aRoute) const
{
  const auto entry = entries_.find(aNode);
  if (entry == entries_.end()) {
    return {};
  }
  const auto serviceTime = entry->second.serviceTimes_.find(aRoute);
  return serviceTime == entry->second.serviceTimes_.end() ? Duration{} : serviceTime->second.Mean();
}

double
InstanceLoadTable::ServiceTimeShare(const NodeAddress& aNode, const Route& aRoute) const
{
  if (aRoute.targetLatency_.count() == 0) {
    return 0;
  }
  const std::chrono::duration<double> expected = ExpectedServiceTime(aNode, aRoute.name_);
  return expected / aRoute.targetLatency_;
}

void
InstanceLoadTable::ExcludeTemporarily(const NodeAddress& aNode, TimePoint aNow)
{
  entries_[aNode].excludedUntil_ = aNow + kExclusionTime;
}

LoadReport
InstanceLoadTable::EstimateLoad(const BackendServer& aServer,
                                std::uint32_t aSlots,
                                TimePoint aNow) const
{
  const auto found = entries_.find(aServer.node_);
  if (found == entries_.end()) {
    return {};
  }
  const auto& entry = found->second;
  const bool fresh = aNow - entry.lastContactAt_ < kMaxReportAge;
  const double sent = static_cast<double>(entry.sentSinceReport_) / std::max(1U, aSlots);
  const double load = (fresh ? entry.loadReport_.load_ : 0) + sent;
  return { .load_ = load,
           .acceptsWork_ = aNow >= entry.excludedUntil_,
           .saturation_ = fresh ? entry.loadReport_.saturation_ : 0 };
}

/// An instance without a known time counts as an average one.
Duration
InstanceLoadTable::ExpectedCompletion(const BackendServer& aServer,
                                      const Route& aRoute,
                                      double aLoad) const
{
  const auto average = routeTimes_.find(aRoute.name_);
  const auto ofAverage = average == routeTimes_.end() ? ServiceTime{} : average->second;
  const auto entry = entries_.find(aServer.node_);
  if (entry == entries_.end()) {
    return ComputeExpectedCompletion(
      { .load_ = aLoad, .ofRoute_ = ofAverage, .ofAll_ = ofAverage });
  }
  const auto known = entry->second.serviceTimes_.find(aRoute.name_);
  const auto& ofAll = entry->second.serviceTime_;
  return ComputeExpectedCompletion(
    { .load_ = aLoad,
      .ofRoute_ = known == entry->second.serviceTimes_.end() ? ofAverage : known->second,
      .ofAll_ = ofAll.IsKnown() ? ofAll : ofAverage });
}

std::vector<Candidate>
InstanceLoadTable::FindCandidates(const Snapshot& aSnapshot,
                                  const std::string& aService,
                                  const Route& aRoute,
                                  const Membership& aMembership,
                                  const std::string& aFailureDomain,
                                  const std::set<NodeAddress>& aTried,
                                  TimePoint aNow) const
{
  std::vector<Candidate> available;
  std::vector<Candidate> excluded;
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
    const auto estimate = EstimateLoad(backendServer, slots, aNow);
    const bool usable = estimate.acceptsWork_ && aMembership.AcceptsWork(backendServer.node_);
    (usable ? available : excluded)
      .push_back(
        { .backendServer_ = &backendServer,
          .loadReport_ = estimate,
          .local_ = backendServer.failureDomain_ == aFailureDomain,
          .serviceTimeShare_ = ServiceTimeShare(backendServer.node_, aRoute),
          .expectedCompletion_ = balancing_ == Balancing::Completion
                                   ? ExpectedCompletion(backendServer, aRoute, estimate.load_)
                                   : Duration{},
          .slots_ = slots,
          .isReportRecent_ = IsReportRecent(backendServer.node_, aNow) });
  }
  return available.empty() ? excluded : available;
}

const SpillOver&
InstanceLoadTable::UpdateSpillOver(const std::string& aService,
                                   const std::vector<Candidate>& aCandidates,
                                   bool aIsLarge,
                                   TimePoint aNow)
{
  auto& spillOver = spillOver_[aService];
  spillOver = spillOver.AfterRequest(aIsLarge).After(ComputeServiceLoad(aCandidates), aNow);
  return spillOver;
}

double
InstanceLoadTable::MeanLoad(const std::vector<Candidate>& aCandidates)
{
  double load = 0;
  double slots = 0;
  for (const auto& candidate : aCandidates) {
    const auto weight = static_cast<double>(std::max(1U, candidate.slots_));
    load += weight * std::min(candidate.loadReport_.load_, 1.0);
    slots += weight;
  }
  return slots > 0 ? load / slots : 0;
}

bool
InstanceLoadTable::IsReportRecent(const NodeAddress& aNode, TimePoint aNow) const
{
  const auto found = entries_.find(aNode);
  return found != entries_.end() && aNow - found->second.lastContactAt_ < kMaxReportAge;
}

std::vector<Candidate>
InstanceLoadTable::PreferLocalFailureDomain(const std::string& aService,
                                            const std::vector<Candidate>& aCandidates)
{
  auto& spilling = spilling_[aService];
  spilling = DecideSpillOver(aCandidates, spilling);
  return FilterLocal(aCandidates, spilling);
}

} // namespace geraniumpin
