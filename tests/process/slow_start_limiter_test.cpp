#define BOOST_TEST_MODULE slow_start_limiter
#include "geraniumpin/process/slow_start_limiter.hpp"

#include <boost/test/included/unit_test.hpp>
#include <vector>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

constexpr double kRate = 32;
constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Attempts a start every millisecond and returns the times of those that were allowed.
std::vector<TimePoint>
Flood(SlowStartLimiter& aLimiter, std::chrono::milliseconds aTime)
{
  std::vector<TimePoint> starts;
  for (auto now = kStart; now < kStart + aTime; now += milliseconds(1)) {
    if (aLimiter.Allows(now)) {
      aLimiter.RecordStart(now);
      starts.push_back(now);
    }
  }
  return starts;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_cold_instance_never_gets_more_than_its_rate_in_any_second)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  limiter.SetReportedCold(true);
  const auto starts = Flood(limiter, milliseconds(5000));
  for (std::size_t first = 0; first < starts.size(); ++first) {
    std::size_t inSecond = 0;
    for (auto i = first; i < starts.size() && starts[i] < starts[first] + milliseconds(1000); ++i) {
      ++inSecond;
    }
    BOOST_TEST(inSecond <= kRate);
  }
  BOOST_TEST(starts.size() >= 4 * kRate); // most of the rate is used
}

BOOST_AUTO_TEST_CASE(the_requests_of_a_second_are_spread_over_it)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  limiter.SetReportedCold(true);
  const auto starts = Flood(limiter, milliseconds(3000));
  for (std::size_t i = 1; i < starts.size(); ++i) {
    BOOST_TEST((starts[i] - starts[i - 1] <= milliseconds(300)));
  }
}

BOOST_AUTO_TEST_CASE(a_warm_instance_is_not_limited)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  BOOST_TEST(Flood(limiter, milliseconds(100)).size() == 100U);
  BOOST_TEST(limiter.Load(kStart) == 0);
}

BOOST_AUTO_TEST_CASE(requests_started_before_the_instance_turned_cold_count)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  (void)Flood(limiter, milliseconds(100));
  limiter.SetColdUntil(kStart + milliseconds(5000));
  BOOST_TEST(!limiter.Allows(kStart + milliseconds(500)));
  BOOST_TEST(limiter.Load(kStart + milliseconds(500)) > 1);
  BOOST_TEST((*limiter.NextDeadline(kStart + milliseconds(500)) > kStart + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(the_limit_ends_with_the_cold_time_or_when_set_warm)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  limiter.SetColdUntil(kStart + milliseconds(1000));
  BOOST_TEST(limiter.IsCold(kStart));
  BOOST_TEST(!limiter.IsCold(kStart + milliseconds(1000)));
  limiter.SetReportedCold(true);
  BOOST_TEST(limiter.IsCold(kStart + std::chrono::hours(1)));
  limiter.SetWarm();
  BOOST_TEST(!limiter.IsCold(kStart));
}
