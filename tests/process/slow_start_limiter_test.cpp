#define BOOST_TEST_MODULE slow_start_limiter
#include "geraniumpin/process/slow_start_limiter.hpp"

#include <boost/test/included/unit_test.hpp>
#include <vector>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

constexpr double kRate = 32;
constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Offers a request every millisecond and returns when those that were allowed started.
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
  BOOST_TEST(starts.size() >= 4 * kRate); // and most of what it bears is used
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

BOOST_AUTO_TEST_CASE(a_warm_instance_is_not_held_back)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  BOOST_TEST(Flood(limiter, milliseconds(100)).size() == 100U);
  BOOST_TEST(limiter.Load(kStart) == 0);
}

BOOST_AUTO_TEST_CASE(requests_from_before_it_turned_cold_count)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  (void)Flood(limiter, milliseconds(100));
  limiter.SetColdUntil(kStart + milliseconds(5000));
  BOOST_TEST(!limiter.Allows(kStart + milliseconds(500)));
  BOOST_TEST(limiter.Load(kStart + milliseconds(500)) > 1);
  BOOST_TEST((*limiter.NextDeadline(kStart + milliseconds(500)) > kStart + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(the_gate_opens_when_its_time_is_over_or_the_platform_says_so)
{
  SlowStartLimiter limiter;
  limiter.SetRate(kRate);
  limiter.SetColdUntil(kStart + milliseconds(1000));
  BOOST_TEST(limiter.IsCold(kStart));
  BOOST_TEST(!limiter.IsCold(kStart + milliseconds(1000)));
  limiter.SetReportedCold(true);
  BOOST_TEST(limiter.IsCold(kStart + std::chrono::hours(1)));
  limiter.Open();
  BOOST_TEST(!limiter.IsCold(kStart));
}
