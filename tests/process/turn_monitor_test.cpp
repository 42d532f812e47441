#define BOOST_TEST_MODULE turn_monitor
#include "geraniumpin/process/turn_monitor.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

} // namespace

BOOST_AUTO_TEST_CASE(a_fast_turn_is_not_reported)
{
  TurnMonitor monitor;
  for (int i = 0; i < 5000; ++i) {
    const LoopTurn turn{ .duration_ = milliseconds(49), .endedAt_ = kStart + milliseconds(i) };
    BOOST_TEST(!monitor.OnTurn(turn).has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_slow_turn_is_reported_with_what_it_did)
{
  TurnMonitor monitor;
  const LoopTurn slow{ .duration_ = milliseconds(4100), .endedAt_ = kStart, .messages_ = 2400 };
  const auto reported = monitor.OnTurn(slow);
  BOOST_TEST(reported.has_value());
  BOOST_TEST((*reported == slow));
}

BOOST_AUTO_TEST_CASE(one_report_a_second_names_the_longest_turn)
{
  TurnMonitor monitor;
  int reports = 0;
  for (int i = 0; i < 100; ++i) {
    const LoopTurn turn{ .duration_ = milliseconds(i == 30 ? 400 : 60),
                         .endedAt_ = kStart + milliseconds(60 * i) };
    const auto reported = monitor.OnTurn(turn);
    if (reported) {
      ++reports;
      const bool coversLongest = i > 30 && i <= 47;
      BOOST_TEST((reported->duration_ == milliseconds(coversLongest ? 400 : 60)));
    }
  }
  BOOST_TEST(reports == 6);
}
