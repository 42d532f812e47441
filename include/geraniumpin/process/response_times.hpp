#pragma once

#include "geraniumpin/process/clock.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace geraniumpin {

/// \brief Recent response times of one route, in a bounded histogram.
///
/// The weight of a sample halves in kHalfLife, so that the quantiles follow a change of the load
/// within seconds.
///
/// \code
/// times.Record(elapsed, now);
/// const auto late = times.Quantile(0.95, now);
/// \endcode
class ResponseTimes
{
public:
  /// Shorter than the time in which a slow instance is noticed by its load reports.
  static constexpr std::chrono::milliseconds kHalfLife{ 3000 };
  /// Interval at which the weights are reduced.
  static constexpr std::chrono::milliseconds kAgeingInterval{ 500 };
  /// Total weight below which no quantile is known: the 0.95 quantile then rests on one sample.
  static constexpr double kMinWeight = 20;
  /// Buckets between kShortest and kLongest; neighbours differ by 12 %.
  static constexpr unsigned kBuckets = 96;
  static constexpr double kShortestSeconds = 1e-3;
  static constexpr double kLongestSeconds = 60;

  ResponseTimes();

  /// \brief Records a response.
  /// \param aElapsed Time from the first attempt to the response.
  void Record(Duration aElapsed, TimePoint aNow);

  /// \brief Returns the response time that a share of the responses did not exceed.
  /// \param aShare Greater than 0, less than 1.
  /// \returns Nothing if there are too few recent responses.
  [[nodiscard]] std::optional<Duration> Quantile(double aShare, TimePoint aNow) const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
    boost::histogram::histogram<std::tuple<Axis>,
                                boost::histogram::storage_adaptor<std::vector<double>>>;

  [[nodiscard]] static double Decay(Duration aElapsed) noexcept;

  Histogram histogram_;
  TimePoint agedAt_{};
};

/// \brief Response times by route; the route that was not used for longest makes room for a new
/// one.
class ResponseTimeTable
{
public:
  /// Entries for the routes that one node serves within some seconds.
  static constexpr std::size_t kMaxRoutes = 64;

  void Record(const std::string& aRoute, Duration aElapsed, TimePoint aNow);

  /// \returns Nothing if the route is unknown or has too few recent responses.
  [[nodiscard]] std::optional<Duration> Quantile(const std::string& aRoute,
                                                 double aShare,
                                                 TimePoint aNow) const;

private:
  struct Entry
  {
    ResponseTimes times_;
    TimePoint usedAt_{};
  };

  std::map<std::string, Entry> routes_;
};

} // namespace geraniumpin
