#include "geraniumpin/request/hedge_policy.hpp"

#include <algorithm>

namespace geraniumpin {

HedgeBudget
HedgeBudget::AfterRequest(double aRatio) const noexcept
{
  auto next = *this;
  next.tokens_ = std::min(kMaxBurst, tokens_ + aRatio);
  return next;
}

HedgeBudget
HedgeBudget::AfterHedge() const noexcept
{
  auto next = *this;
  next.tokens_ = std::max(0.0, tokens_ - 1);
  return next;
}

bool
MayBeHedged(const HedgeInputs& aInputs) noexcept
{
  const auto decision = DecideHedge(aInputs);
  return decision != HedgeDecision::Disabled && decision != HedgeDecision::NotRepeatable;
}

HedgeDecision
DecideHedge(const HedgeInputs& aInputs) noexcept
{
  if (aInputs.ratio_ <= 0) {
    return HedgeDecision::Disabled;
  }
  if (!aInputs.idempotent_ || aInputs.hasBody_ || aInputs.isRepeat_) {
    return HedgeDecision::NotRepeatable;
  }
  if (aInputs.hasOtherAttempt_) {
    return HedgeDecision::InProgress;
  }
  if (aInputs.instances_ >= aInputs.maxInstances_) {
    return HedgeDecision::NoInstanceLeft;
  }
  if (aInputs.isServiceRefusing_ || aInputs.serviceLoad_ > kMaxHedgeLoad) {
    return HedgeDecision::ServiceBusy;
  }
  if (aInputs.nodeSaturation_ > kMaxHedgeSaturation) {
    return HedgeDecision::NodeSaturated;
  }
  return aInputs.allowsRetry_ && aInputs.allowsHedge_ ? HedgeDecision::Hedge
                                                      : HedgeDecision::NoBudget;
}

std::string_view
ToString(HedgeDecision aDecision) noexcept
{
  switch (aDecision) {
    case HedgeDecision::Hedge:
      return "hedge";
    case HedgeDecision::Disabled:
      return "disabled";
    case HedgeDecision::NotRepeatable:
      return "not_repeatable";
    case HedgeDecision::InProgress:
      return "in_progress";
    case HedgeDecision::NoInstanceLeft:
      return "no_instance_left";
    case HedgeDecision::ServiceBusy:
      return "service_busy";
    case HedgeDecision::NodeSaturated:
      return "node_saturated";
    case HedgeDecision::NoBudget:
      break;
  }
  return "no_budget";
}

} // namespace geraniumpin
