#define BOOST_TEST_MODULE stop_schedule
#include "geraniumpin/process/stop_schedule.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kBegin{ std::chrono::hours(1) };

} // namespace

BOOST_AUTO_TEST_CASE(the_accept_phase_outlasts_two_readiness_checks)
{
  const auto schedule = StopSchedule::Make(kBegin, milliseconds(6000));
  BOOST_TEST((schedule.acceptUntil_ - kBegin > milliseconds(2000)));
  BOOST_TEST((schedule.endAt_ == kBegin + milliseconds(6000)));
}

// With a short timeout, a node accepted requests until the end of its stop and dropped them.
BOOST_AUTO_TEST_CASE(each_accepted_request_has_half_of_the_timeout)
{
  for (const auto timeout : { milliseconds(0), milliseconds(300), milliseconds(4000) }) {
    const auto schedule = StopSchedule::Make(kBegin, timeout);
    BOOST_TEST((schedule.endAt_ - schedule.acceptUntil_ >= timeout / 2));
  }
}
