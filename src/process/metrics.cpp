#include "geraniumpin/process/metrics.hpp"

#include <algorithm>
#include <array>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::array<double, 2> kQuantiles{ 0.5, 0.99 };

} // namespace
} // namespace impl

void
Metrics::Count(std::string_view aName, std::uint64_t aIncrement)
{
  const auto found = counters_.find(aName);
  if (found != counters_.end()) {
    found->second += aIncrement;
  } else {
    counters_.emplace(aName, aIncrement);
  }
}

void
Metrics::Record(std::string_view aName, Duration aDuration)
{
  auto found = durations_.find(aName);
  if (found == durations_.end()) {
    found = durations_
              .emplace(aName,
                       Accumulator(boost::accumulators::tag::extended_p_square::probabilities =
                                     impl::kQuantiles))
              .first;
  }
  const double milliseconds = std::chrono::duration<double, std::milli>(aDuration).count();
  found->second(milliseconds);
  auto& histogram = histograms_.try_emplace(std::string(aName)).first->second;
  const auto& bounds = DurationHistogram::kBounds;
  const auto bound = std::lower_bound(bounds.begin(), bounds.end(), milliseconds);
  ++histogram.counts_.at(static_cast<std::size_t>(bound - bounds.begin()));
  histogram.sum_ += milliseconds;
}

std::map<std::string, DurationSummary>
Metrics::Durations() const
{
  std::map<std::string, DurationSummary> summaries;
  for (const auto& [name, accumulator] : durations_) {
    const auto quantiles = boost::accumulators::extended_p_square(accumulator);
    summaries.emplace(name,
                      DurationSummary{ boost::accumulators::count(accumulator),
                                       boost::accumulators::mean(accumulator),
                                       quantiles[0],
                                       quantiles[1],
                                       boost::accumulators::max(accumulator) });
  }
  return summaries;
}

} // namespace geraniumpin
