#define BOOST_TEST_MODULE expected_completion
#include "geraniumpin/process/pace_monitor.hpp"
#include "geraniumpin/request/expected_completion.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

ServiceTime
After(std::initializer_list<int> aSamples)
{
  ServiceTime time;
  for (const int sample : aSamples) {
    time = time.After(milliseconds(sample));
  }
  return time;
}

Duration
Expect(double aLoad, int aServiceMs)
{
  const auto time = After({ aServiceMs, aServiceMs, aServiceMs });
  return ComputeExpectedCompletion({ .load_ = aLoad, .ofRoute_ = time, .ofAll_ = time });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_service_time_is_known_from_the_first_sample)
{
  BOOST_TEST(!ServiceTime{}.IsKnown());
  BOOST_TEST((After({ 100 }).Mean() == milliseconds(100)));
  BOOST_TEST((After({ 100, 200, 300 }).Mean() == milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(a_service_time_follows_a_change_within_some_requests)
{
  auto time = After({ 100, 100, 100, 100, 100, 100, 100, 100 });
  for (int i = 0; i < 16; ++i) {
    time = time.After(milliseconds(300));
  }
  BOOST_TEST((time.Mean() > milliseconds(270)));
}

// Load pattern "uneven speeds": by counts, an idle slow instance was preferred to a fast one with
// the last slots in use, although its response comes three times as late.
BOOST_AUTO_TEST_CASE(a_busy_fast_instance_goes_before_an_idle_slow_one)
{
  BOOST_TEST((Expect(0.9, 127) < Expect(0.0, 380)));
  BOOST_TEST((Expect(1.2, 127) < Expect(0.0, 380)));
  BOOST_TEST((Expect(4.0, 127) > Expect(0.0, 380))); // three service times of queue
}

BOOST_AUTO_TEST_CASE(of_two_equal_instances_the_less_loaded_one_is_expected_earlier)
{
  for (double load = 0; load < 3; load += 0.1) {
    BOOST_TEST((Expect(load, 200) < Expect(load + 0.1, 200)));
  }
}

BOOST_AUTO_TEST_CASE(a_varying_instance_is_expected_later_than_a_steady_one)
{
  const auto steady = After({ 200, 200, 200, 200 });
  const auto varying = After({ 50, 350, 50, 350 });
  const auto expect = [](const ServiceTime& aTime) {
    return ComputeExpectedCompletion({ .load_ = 0, .ofRoute_ = aTime, .ofAll_ = aTime });
  };
  BOOST_TEST((steady.Mean() == varying.Mean()));
  BOOST_TEST((expect(steady) < expect(varying)));
}

// Load pattern "slow period": an instance that takes 2.5 times as long for 0.6 s.
BOOST_AUTO_TEST_CASE(a_slow_period_shows_within_ten_requests_and_ends_with_it)
{
  PaceMonitor pace;
  auto now = kStart;
  const auto run = [&](int aCount, int aMs) {
    for (int i = 0; i < aCount; ++i) {
      now += milliseconds(10);
      pace.Record("lookup", milliseconds(aMs), now);
    }
  };
  run(200, 100);
  BOOST_TEST(pace.Factor(now) == 1);
  run(10, 250);
  BOOST_TEST(pace.Factor(now) > 2);
  run(15, 100);
  BOOST_TEST(pace.Factor(now) == 1);
}

// Without requests nothing shows that the period has ended, so the instance must get some again.
BOOST_AUTO_TEST_CASE(a_slow_period_is_forgotten_without_requests)
{
  PaceMonitor pace;
  for (int i = 0; i < 200; ++i) {
    pace.Record("lookup", milliseconds(i < 180 ? 100 : 250), kStart);
  }
  BOOST_TEST(pace.Factor(kStart) > 2);
  BOOST_TEST(pace.Factor(kStart + milliseconds(501)) == 1);
}

BOOST_AUTO_TEST_CASE(a_change_of_the_mix_is_no_slow_period)
{
  PaceMonitor pace;
  for (int i = 0; i < 100; ++i) {
    pace.Record("short", milliseconds(20), kStart);
  }
  for (int i = 0; i < 100; ++i) {
    pace.Record("long", milliseconds(500), kStart);
  }
  BOOST_TEST(pace.Factor(kStart) == 1);
}
