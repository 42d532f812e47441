#include "geraniumpin/process/response_times.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

ResponseTimes::ResponseTimes()
  : histogram_(std::make_tuple(Axis(kBuckets, kShortestSeconds, kLongestSeconds)),
               boost::histogram::storage_adaptor<std::vector<double>>())
{
}

double
ResponseTimes::Decay(Duration aElapsed) noexcept
{
  const std::chrono::duration<double> halfLife = kHalfLife;
  return std::exp2(-(std::chrono::duration<double>(aElapsed) / halfLife));
}

void
ResponseTimes::Record(Duration aElapsed, TimePoint aNow)
{
  if (aNow - agedAt_ >= kAgeingInterval) {
    histogram_ *= Decay(aNow - agedAt_);
    agedAt_ = aNow;
  }
  histogram_(std::chrono::duration<double>(aElapsed).count());
}

std::optional<Duration>
ResponseTimes::Quantile(double aShare, TimePoint aNow) const
{
  double total = 0;
  for (const double weight : histogram_) {
    total += weight;
  }
  if (total * Decay(aNow - agedAt_) < kMinWeight) {
    return std::nullopt;
  }
  const auto& axis = histogram_.axis();
  double sum = histogram_.at(-1); // faster than the first bucket
  for (int bucket = 0; bucket < axis.size(); ++bucket) {
    if (sum >= aShare * total) {
      return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(axis.bin(bucket).lower()));
    }
    sum += histogram_.at(bucket);
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kLongestSeconds));
}

void
ResponseTimeTable::Record(const std::string& aRoute, Duration aElapsed, TimePoint aNow)
{
  if (routes_.size() >= kMaxRoutes && !routes_.contains(aRoute)) {
    routes_.erase(
      std::min_element(routes_.begin(), routes_.end(), [](const auto& aA, const auto& aB) {
        return aA.second.usedAt_ < aB.second.usedAt_;
      }));
  }
  auto& entry = routes_[aRoute];
  entry.usedAt_ = aNow;
  entry.times_.Record(aElapsed, aNow);
}

std::optional<Duration>
ResponseTimeTable::Quantile(const std::string& aRoute, double aShare, TimePoint aNow) const
{
  const auto found = routes_.find(aRoute);
  return found == routes_.end() ? std::nullopt : found->second.times_.Quantile(aShare, aNow);
}

} // namespace geraniumpin
