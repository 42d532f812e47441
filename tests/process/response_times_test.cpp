#define BOOST_TEST_MODULE response_times
#include "geraniumpin/process/response_times.hpp"

#include <boost/test/included/unit_test.hpp>
#include <string>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

constexpr double kLate = 0.95;
const TimePoint kStart{ std::chrono::hours(1) };

/// Records responses at 100 a second.
TimePoint
RecordFor(ResponseTimes& aTimes, Duration aTime, milliseconds aElapsed, TimePoint aNow)
{
  const auto end = aNow + aTime;
  for (; aNow < end; aNow += milliseconds(10)) {
    aTimes.Record(aElapsed, aNow);
  }
  return end;
}

} // namespace

// Guards against hedges that rest on a handful of responses after a start.
BOOST_AUTO_TEST_CASE(no_quantile_is_known_from_few_responses)
{
  ResponseTimes times;
  for (int i = 0; i < 19; ++i) {
    times.Record(milliseconds(100), kStart);
  }
  BOOST_TEST(!times.Quantile(kLate, kStart).has_value());
  times.Record(milliseconds(100), kStart);
  BOOST_TEST(times.Quantile(kLate, kStart).has_value());
}

// Load pattern "one slow instance": one response in twelve takes 1 s. The quantile must stay within
// a bucket of 12 % of the exact value.
BOOST_AUTO_TEST_CASE(the_quantile_separates_fast_responses_from_slow_ones)
{
  ResponseTimes times;
  for (int i = 0; i < 240; ++i) {
    times.Record(i % 12 == 0 ? milliseconds(1000) : milliseconds(200), kStart);
  }
  const auto median = times.Quantile(0.5, kStart);
  const auto late = times.Quantile(kLate, kStart);
  BOOST_REQUIRE((median && late));
  BOOST_TEST((*median >= milliseconds(200) && *median <= milliseconds(224)));
  BOOST_TEST((*late >= milliseconds(1000) && *late <= milliseconds(1120)));
}

// Load pattern "all slow": the delay must follow, or every request would be late by it.
BOOST_AUTO_TEST_CASE(the_quantile_follows_a_change_of_all_responses_within_seconds)
{
  ResponseTimes times;
  auto now = RecordFor(times, std::chrono::seconds(10), milliseconds(100), kStart);
  now = RecordFor(times, milliseconds(500), milliseconds(600), now);
  BOOST_TEST((times.Quantile(kLate, now).value() >= milliseconds(500)));
  now = RecordFor(times, std::chrono::seconds(20), milliseconds(100), now);
  BOOST_TEST((times.Quantile(kLate, now).value() <= milliseconds(120)));
}

// Guards against a delay from before a pause of the traffic.
BOOST_AUTO_TEST_CASE(old_responses_are_forgotten)
{
  ResponseTimes times;
  const auto now = RecordFor(times, std::chrono::seconds(1), milliseconds(100), kStart);
  BOOST_TEST(times.Quantile(kLate, now).has_value());
  BOOST_TEST(!times.Quantile(kLate, now + std::chrono::seconds(30)).has_value());
}

BOOST_AUTO_TEST_CASE(times_beyond_the_buckets_count_in_the_outer_ones)
{
  ResponseTimes times;
  for (int i = 0; i < 50; ++i) {
    times.Record(Duration{}, kStart);
  }
  BOOST_TEST((times.Quantile(kLate, kStart).value() <= milliseconds(1)));
  for (int i = 0; i < 50; ++i) {
    times.Record(std::chrono::hours(1), kStart);
  }
  BOOST_TEST((times.Quantile(kLate, kStart).value() >= std::chrono::seconds(59)));
}

// Guards against memory that grows with the routes of the configuration.
BOOST_AUTO_TEST_CASE(the_route_that_was_not_used_for_longest_makes_room)
{
  ResponseTimeTable table;
  auto now = kStart;
  for (std::size_t route = 0; route <= ResponseTimeTable::kMaxRoutes; ++route) {
    now += milliseconds(1);
    for (int i = 0; i < 30; ++i) {
      table.Record("route-" + std::to_string(route), milliseconds(100), now);
    }
  }
  BOOST_TEST(!table.Quantile("route-0", kLate, now).has_value());
  BOOST_TEST(table.Quantile("route-1", kLate, now).has_value());
  BOOST_TEST(!table.Quantile("unknown", kLate, now).has_value());
}
