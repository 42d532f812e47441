#include "geraniumpin/process/hedging.hpp"

namespace geraniumpin {

void
Hedging::OnRequest(const std::string& aService)
{
  if (ratio_ > 0) {
    auto& budget = budgets_[aService];
    budget = budget.AfterRequest(ratio_);
  }
}

void
Hedging::OnResponse(const std::string& aRoute, Duration aElapsed, TimePoint aNow)
{
  if (ratio_ > 0) {
    times_.Record(aRoute, aElapsed, aNow);
  }
}

void
Hedging::Schedule(const CallId& aId, const std::string& aRoute, TimePoint aNow)
{
  if (ratio_ <= 0) {
    return;
  }
  if (const auto delay = times_.Quantile(aRoute, kHedgeQuantile, aNow)) {
    due_.emplace(aNow + *delay, aId);
    dueAt_.insert_or_assign(aId, aNow + *delay);
  }
}

void
Hedging::Cancel(const CallId& aId)
{
  if (const auto found = dueAt_.find(aId); found != dueAt_.end()) {
    due_.erase({ found->second, aId });
    dueAt_.erase(found);
  }
}

std::vector<CallId>
Hedging::TakeDue(TimePoint aNow)
{
  std::vector<CallId> due;
  while (!due_.empty() && due_.begin()->first <= aNow) {
    due.push_back(due_.begin()->second);
    dueAt_.erase(due.back());
    due_.erase(due_.begin());
  }
  return due;
}

std::optional<TimePoint>
Hedging::NextDeadline() const
{
  return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
}

bool
Hedging::AllowsHedge(const std::string& aService) const
{
  const auto found = budgets_.find(aService);
  return found != budgets_.end() && found->second.AllowsHedge();
}

void
Hedging::OnHedge(const std::string& aService)
{
  auto& budget = budgets_[aService];
  budget = budget.AfterHedge();
}

} // namespace geraniumpin
