#include "geraniumpin/process/pace_monitor.hpp"

#include <algorithm>

namespace geraniumpin {

void
PaceMonitor::Record(const std::string& aRoute, Duration aElapsed, TimePoint aNow)
{
  if (usual_.size() >= kMaxRoutes && !usual_.contains(aRoute)) {
    return;
  }
  auto& usual = usual_[aRoute];
  if (usual.time_ > Duration{}) {
    const double ratio = std::chrono::duration<double>(aElapsed) / usual.time_;
    const double previous = aNow - recordedAt_ > kForgetTime ? 1 : pace_;
    pace_ = previous + kSmoothing * (std::min(ratio, kMaxFactor) - previous);
    recordedAt_ = aNow;
  }
  usual.samples_ = std::min(usual.samples_ + 1, kUsualSamples);
  usual.time_ += (aElapsed - usual.time_) / usual.samples_;
}

double
PaceMonitor::Factor(TimePoint aNow) const noexcept
{
  const bool isRecent = aNow - recordedAt_ <= kForgetTime;
  return isRecent && pace_ >= kMinFactor ? pace_ : 1;
}

} // namespace geraniumpin
