#pragma once

#include "geraniumpin/process/clock.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief Summary of a distribution of durations, in milliseconds.
struct DurationSummary
{
  const std::uint64_t count_ = 0;
  const double mean_ = 0;
  const double median_ = 0;
  const double p99_ = 0;
  const double max_ = 0;

  auto operator<=>(const DurationSummary&) const = default;
};

/// \brief Histogram of durations; all histograms have the same buckets.
struct DurationHistogram
{
  /// Inclusive upper bounds in milliseconds; one unbounded bucket follows.
  static constexpr std::array<double, 12> kBounds{ 0.5, 1,   2.5, 5,   10,   25,
                                                   50,  100, 250, 500, 1000, 2500 };

  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  double sum_ = 0; ///< of all durations, in milliseconds

  auto operator<=>(const DurationHistogram&) const = default;
};

/// \brief Counters and duration distributions of one process.
///
/// \code
/// metrics.Count("calls_answered");
/// metrics.Record("call_ms", duration);
/// \endcode
class Metrics
{
public:
  void Count(std::string_view aName, std::uint64_t aIncrement = 1);
  void Record(std::string_view aName, Duration aDuration);

  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>& Counters() const noexcept
  {
    return counters_;
  }
  [[nodiscard]] std::map<std::string, DurationSummary> Durations() const;
  [[nodiscard]] const std::map<std::string, DurationHistogram, std::less<>>& Histograms()
    const noexcept
  {
    return histograms_;
  }

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square>>;

  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, Accumulator, std::less<>> durations_;
  std::map<std::string, DurationHistogram, std::less<>> histograms_;
};

} // namespace geraniumpin
