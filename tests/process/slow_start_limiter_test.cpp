#define BOOST_TEST_MODULE cold_gate
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
Flood(ColdGate& aGate, std::chrono::milliseconds aTime)
{
  std::vector<TimePoint> starts;
  for (auto now = kStart; now < kStart + aTime; now += milliseconds(1)) {
    if (aGate.Allows(now)) {
      aGate.Count(now);
      starts.push_back(now);
    }
  }
  return starts;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_cold_instance_never_gets_more_than_its_rate_in_any_second)
{
  ColdGate gate;
  gate.SetRate(kRate);
  gate.SetReported(true);
  const auto starts = Flood(gate, milliseconds(5000));
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
  ColdGate gate;
  gate.SetRate(kRate);
  gate.SetReported(true);
  const auto starts = Flood(gate, milliseconds(3000));
  for (std::size_t i = 1; i < starts.size(); ++i) {
    BOOST_TEST((starts[i] - starts[i - 1] <= milliseconds(300)));
  }
}

BOOST_AUTO_TEST_CASE(a_warm_instance_is_not_held_back)
{
  ColdGate gate;
  gate.SetRate(kRate);
  BOOST_TEST(Flood(gate, milliseconds(100)).size() == 100U);
  BOOST_TEST(gate.Load(kStart) == 0);
}

BOOST_AUTO_TEST_CASE(requests_from_before_it_turned_cold_count)
{
  ColdGate gate;
  gate.SetRate(kRate);
  (void)Flood(gate, milliseconds(100));
  gate.CloseUntil(kStart + milliseconds(5000));
  BOOST_TEST(!gate.Allows(kStart + milliseconds(500)));
  BOOST_TEST(gate.Load(kStart + milliseconds(500)) > 1);
  BOOST_TEST((*gate.NextDeadline(kStart + milliseconds(500)) > kStart + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(the_gate_opens_when_its_time_is_over_or_the_platform_says_so)
{
  ColdGate gate;
  gate.SetRate(kRate);
  gate.CloseUntil(kStart + milliseconds(1000));
  BOOST_TEST(gate.IsCold(kStart));
  BOOST_TEST(!gate.IsCold(kStart + milliseconds(1000)));
  gate.SetReported(true);
  BOOST_TEST(gate.IsCold(kStart + std::chrono::hours(1)));
  gate.Open();
  BOOST_TEST(!gate.IsCold(kStart));
}
