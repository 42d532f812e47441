#define BOOST_TEST_MODULE failure_breaker
#include "geraniumpin/process/failure_breaker.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>
#include <vector>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

FailureBreaker
MakeOpen()
{
  FailureBreaker breaker;
  for (int i = 0; i < 4; ++i) {
    breaker = breaker.AfterResult(true, kStart);
  }
  return breaker;
}

} // namespace

BOOST_AUTO_TEST_CASE(single_failures_do_not_open_the_breaker)
{
  FailureBreaker breaker;
  for (int i = 0; i < 1000; ++i) {
    breaker = breaker.AfterResult(i % 5 == 0, kStart);
    BOOST_REQUIRE(breaker.AllowsFirstAttempt(kStart));
  }
  BOOST_TEST(MakeOpen().IsOpen());
}

BOOST_AUTO_TEST_CASE(an_open_breaker_allows_one_trial_in_each_interval)
{
  auto breaker = MakeOpen();
  int trials = 0;
  for (milliseconds at{}; at < milliseconds(10000); at += milliseconds(10)) {
    if (breaker.AllowsFirstAttempt(kStart + at)) {
      ++trials;
      breaker = breaker.AfterAdmission(kStart + at).AfterResult(true, kStart + at);
    }
  }
  BOOST_TEST(trials == 9);
}

BOOST_AUTO_TEST_CASE(an_instance_that_works_again_gets_all_requests_within_two_seconds)
{
  auto breaker = MakeOpen();
  milliseconds at{};
  for (; at < milliseconds(10000) && breaker.IsOpen(); at += milliseconds(10)) {
    if (breaker.AllowsFirstAttempt(kStart + at)) {
      breaker = breaker.AfterAdmission(kStart + at).AfterResult(false, kStart + at);
    }
  }
  BOOST_TEST((at < milliseconds(2000)));
}

// Load pattern "instance that fails its work, among many entry nodes": 296 entry nodes, 145
// instances of which 6 fail nearly everything for 8 s. Each entry node alone would have to fail at
// each of the 6.
BOOST_AUTO_TEST_CASE(few_requests_of_many_entry_nodes_fail_at_a_failing_instance)
{
  constexpr std::size_t kInstances = 145;
  constexpr std::size_t kFailing = 6;
  constexpr int kRequestsPerSecond = 1029;
  constexpr int kSeconds = 8;
  std::mt19937 random(1);
  const auto simulate = [&](bool aBreaks) {
    std::vector<FailureBreaker> breakers(kInstances);
    int failed = 0;
    for (int i = 0; i < kRequestsPerSecond * kSeconds; ++i) {
      const auto now = kStart + milliseconds(i * 1000 / kRequestsPerSecond);
      for (int attempt = 1; attempt <= 2; ++attempt) {
        const auto instance = random() % kInstances;
        auto& breaker = breakers[instance];
        if (aBreaks && attempt == 1 && !breaker.AllowsFirstAttempt(now)) {
          continue;
        }
        const bool fails = instance < kFailing && random() % 20 != 0;
        breaker = breaker.AfterAdmission(now).AfterResult(fails, now);
        failed += fails ? 1 : 0;
        break;
      }
    }
    return failed;
  };
  const int without = simulate(false);
  BOOST_TEST(without > 250);
  BOOST_TEST(simulate(true) < without / 3);
}
