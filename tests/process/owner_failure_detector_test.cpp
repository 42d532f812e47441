#define BOOST_TEST_MODULE silence_watch
#include "geraniumpin/process/owner_failure_detector.hpp"

#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
const NodeAddress kOwner = NodeAt(1, 1);

SilenceWatch::Facts
SentAt(milliseconds aAfterStart, bool aHeard = false)
{
  return { kStart + aAfterStart, aHeard, milliseconds(150) };
}

} // namespace

// Load pattern "small machines": work of 150 ms is the rule there, not a sign of trouble.
BOOST_AUTO_TEST_CASE(usual_work_is_not_asked_about)
{
  const auto limits = SilenceLimitsOf(milliseconds(150), milliseconds(500));
  BOOST_TEST(limits.untilAsked_ > milliseconds(150));
  // Detection leaves a third of the target for another attempt.
  for (const int target : { 400, 500, 800 }) {
    for (const int expected : { 0, 50, 150, 2000 }) {
      const auto found = SilenceLimitsOf(milliseconds(expected), milliseconds(target));
      BOOST_TEST(found.untilAsked_ + found.untilSilent_ <= milliseconds(target * 71 / 100));
    }
  }
  const SilenceLimits shortest{ milliseconds(100), milliseconds(100) };
  BOOST_TEST((SilenceLimitsOf(milliseconds(300), milliseconds(100)) == shortest));
  BOOST_TEST((SilenceLimitsOf({}, {}) == shortest));
}

BOOST_AUTO_TEST_CASE(an_owner_is_asked_once_and_counts_as_silent_without_a_reply)
{
  SilenceWatch watch;
  const auto facts = SentAt(milliseconds(0));
  BOOST_TEST((watch.Judge(kOwner, facts, kStart + milliseconds(200)) == SilenceStep::Ask));
  BOOST_TEST((watch.Judge(kOwner, facts, kStart + milliseconds(349)) == SilenceStep::Wait));
  BOOST_TEST((watch.Judge(kOwner, facts, kStart + milliseconds(350)) == SilenceStep::Silent));
}

BOOST_AUTO_TEST_CASE(an_earlier_question_says_nothing_about_a_later_request)
{
  SilenceWatch watch;
  const auto asked = kStart + milliseconds(200);
  BOOST_TEST((watch.Judge(kOwner, SentAt(milliseconds(0)), asked) == SilenceStep::Ask));
  BOOST_TEST((watch.Judge(kOwner, SentAt(milliseconds(300)), kStart + milliseconds(500)) ==
              SilenceStep::Ask));
  const auto heard = SentAt(milliseconds(300), true);
  BOOST_TEST((watch.Judge(kOwner, heard, kStart + milliseconds(700)) == SilenceStep::Wait));
  BOOST_TEST((watch.Judge(kOwner, SentAt(milliseconds(300)), kStart + milliseconds(900)) ==
              SilenceStep::Ask));
}

BOOST_AUTO_TEST_CASE(ended_requests_are_not_looked_at)
{
  SilenceWatch watch;
  const CallId first{ 1, 1 };
  const CallId second{ 1, 2 };
  watch.Begin(first, kStart + milliseconds(10));
  watch.Begin(second, kStart + milliseconds(20));
  watch.Begin(second, kStart + milliseconds(30)); // a later attempt
  BOOST_TEST((watch.NextDeadline() == kStart + milliseconds(10)));
  watch.End(first);
  BOOST_TEST(watch.TakeDue(kStart + milliseconds(29)).empty());
  BOOST_TEST((watch.TakeDue(kStart + milliseconds(30)) == std::vector<CallId>{ second }));
  BOOST_TEST(!watch.NextDeadline());
}
