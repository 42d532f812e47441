#include "geraniumpin/process/concurrency_controller.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

namespace impl {
namespace {

// Weight of a latency above the baseline; one below replaces the baseline at once.
constexpr double kBaselineDrift = 0.01;

double
LatencySeconds(const WorkSample& aSample) noexcept
{
  return std::chrono::duration<double>(aSample.endedAt_ - aSample.startedAt_).count();
}

double
UpdateBaseline(double aBaseline, double aLatency) noexcept
{
  if (aBaseline <= 0 || aLatency < aBaseline) {
    return aLatency;
  }
  return aBaseline + kBaselineDrift * (aLatency - aBaseline);
}

// A server error may have any cause, and its latency is not a service time.
bool
ReflectsLoad(WorkResult aResult) noexcept
{
  return aResult != WorkResult::Ignored && aResult != WorkResult::Failed;
}

double
ClampLimit(double aLimit, double aCeiling) noexcept
{
  return std::clamp(aLimit, 1.0, std::max(1.0, aCeiling));
}

} // namespace
} // namespace impl

AimdController
AimdController::After(const WorkSample& aSample) const noexcept
{
  auto next = *this;
  if (!impl::ReflectsLoad(aSample.result_)) {
    return next;
  }
  const bool staleSignal = aSample.startedAt_ < decreasedAt_;
  if (aSample.result_ == WorkResult::Shed) {
    if (!staleSignal) {
      next.Decrease(kShedFactor, aSample.endedAt_);
    }
    return next;
  }
  const double latency = impl::LatencySeconds(aSample);
  next.baselineSeconds_ = impl::UpdateBaseline(baselineSeconds_, latency);
  next.recentSeconds_ =
    recentSeconds_ <= 0 ? latency : recentSeconds_ + kSmoothing * (latency - recentSeconds_);
  const bool slow = next.recentSeconds_ > kSlowRatio * next.baselineSeconds_;
  if (slow && !staleSignal) {
    next.Decrease(kSlowFactor, aSample.endedAt_);
  } else if (!slow && aSample.inFlight_ + 1 >= limit_) {
    next.Grow(aSample.endedAt_);
  }
  return next;
}

void
AimdController::Grow(TimePoint aNow) noexcept
{
  const std::chrono::duration<double> elapsed = aNow - grownAt_;
  const std::chrono::duration<double> period = kGrowthPeriod;
  const double byTime = std::min(1.0, elapsed.count() / period.count());
  limit_ = impl::ClampLimit(limit_ + std::min(byTime, 1 / limit_), ceiling_);
  grownAt_ = aNow;
}

AimdController
AimdController::WithCeiling(std::uint32_t aMax) const noexcept
{
  auto next = *this;
  next.ceiling_ = aMax;
  next.limit_ = impl::ClampLimit(limit_, next.ceiling_);
  return next;
}

void
AimdController::Decrease(double aFactor, TimePoint aNow) noexcept
{
  limit_ = impl::ClampLimit(limit_ * aFactor, ceiling_);
  decreasedAt_ = aNow;
}

SlotController
SlotController::After(const WorkSample& aSample) const noexcept
{
  auto next = *this;
  if (!impl::ReflectsLoad(aSample.result_)) {
    return next;
  }
  if (aSample.result_ == WorkResult::Shed) {
    const bool staleSignal = aSample.startedAt_ < changedAt_;
    if (!staleSignal) {
      const double lowered = std::max(limit_ * kShedFactor, ceiling_ * kMinSlotShare);
      next.limit_ = impl::ClampLimit(lowered, ceiling_);
      next.changedAt_ = aSample.endedAt_;
    }
    return next;
  }
  if (limit_ < ceiling_ && aSample.endedAt_ - changedAt_ >= kGrowthPeriod) {
    next.limit_ = impl::ClampLimit(limit_ + 1, ceiling_);
    next.changedAt_ = aSample.endedAt_;
  }
  return next;
}

SlotController
SlotController::WithCeiling(std::uint32_t aMax) const noexcept
{
  auto next = *this;
  const bool atCeiling = limit_ >= ceiling_;
  next.ceiling_ = aMax;
  next.limit_ = impl::ClampLimit(atCeiling ? next.ceiling_ : limit_, next.ceiling_);
  return next;
}

GradientController
GradientController::After(const WorkSample& aSample) const noexcept
{
  auto next = *this;
  if (!impl::ReflectsLoad(aSample.result_)) {
    return next;
  }
  if (aSample.result_ == WorkResult::Shed) {
    next.limit_ = impl::ClampLimit(limit_ * (1 - kSmoothing), ceiling_);
    return next;
  }
  const double latency = std::max(1e-6, impl::LatencySeconds(aSample));
  next.longTermSeconds_ = impl::UpdateBaseline(longTermSeconds_, latency);
  const double gradient = std::clamp(kTolerance * next.longTermSeconds_ / latency, 0.5, 1.0);
  const double headroom = aSample.inFlight_ + 1 >= limit_ ? std::sqrt(limit_) : 0;
  const double target = limit_ * gradient + headroom;
  next.limit_ = impl::ClampLimit(limit_ * (1 - kSmoothing) + target * kSmoothing, ceiling_);
  return next;
}

GradientController
GradientController::WithCeiling(std::uint32_t aMax) const noexcept
{
  auto next = *this;
  next.ceiling_ = aMax;
  next.limit_ = impl::ClampLimit(limit_, next.ceiling_);
  return next;
}

} // namespace geraniumpin
