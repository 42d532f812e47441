#define BOOST_TEST_MODULE owner_failure_detector
#include "geraniumpin/process/owner_failure_detector.hpp"

#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
const NodeAddress kOwner = NodeAt(1, 1);

OwnerFailureDetector::Inputs
MakeInputs(milliseconds aAfterStart, bool aHadContact = false)
{
  return { kStart + aAfterStart, aHadContact, milliseconds(150) };
}

} // namespace

// Load pattern "small machines": service times of 150 ms are normal there and must not cause
// probes.
BOOST_AUTO_TEST_CASE(no_probe_is_due_within_the_expected_service_time)
{
  const auto limits = ComputeOwnerTimeouts(milliseconds(150), milliseconds(500));
  BOOST_TEST(limits.probeDelay_ > milliseconds(150));
  // Detection leaves about a third of the target for another attempt.
  for (const int target : { 400, 500, 800 }) {
    for (const int expected : { 0, 50, 150, 2000 }) {
      const auto found = ComputeOwnerTimeouts(milliseconds(expected), milliseconds(target));
      BOOST_TEST(found.probeDelay_ + found.replyTimeout_ <= milliseconds(target * 71 / 100));
    }
  }
  const OwnerTimeouts shortest{ milliseconds(100), milliseconds(100) };
  BOOST_TEST((ComputeOwnerTimeouts(milliseconds(300), milliseconds(100)) == shortest));
  BOOST_TEST((ComputeOwnerTimeouts({}, {}) == shortest));
}

BOOST_AUTO_TEST_CASE(an_owner_is_probed_once_and_unresponsive_without_a_reply)
{
  OwnerFailureDetector detector;
  const auto inputs = MakeInputs(milliseconds(0));
  BOOST_TEST(
    (detector.Evaluate(kOwner, inputs, kStart + milliseconds(200)) == OwnerStatus::ProbeDue));
  BOOST_TEST(
    (detector.Evaluate(kOwner, inputs, kStart + milliseconds(349)) == OwnerStatus::Pending));
  BOOST_TEST(
    (detector.Evaluate(kOwner, inputs, kStart + milliseconds(350)) == OwnerStatus::Unresponsive));
}

BOOST_AUTO_TEST_CASE(a_probe_sent_before_a_request_does_not_count_for_it)
{
  OwnerFailureDetector detector;
  const auto probedAt = kStart + milliseconds(200);
  BOOST_TEST(
    (detector.Evaluate(kOwner, MakeInputs(milliseconds(0)), probedAt) == OwnerStatus::ProbeDue));
  BOOST_TEST(
    (detector.Evaluate(kOwner, MakeInputs(milliseconds(300)), kStart + milliseconds(500)) ==
     OwnerStatus::ProbeDue));
  const auto withContact = MakeInputs(milliseconds(300), true);
  BOOST_TEST(
    (detector.Evaluate(kOwner, withContact, kStart + milliseconds(700)) == OwnerStatus::Pending));
  BOOST_TEST(
    (detector.Evaluate(kOwner, MakeInputs(milliseconds(300)), kStart + milliseconds(900)) ==
     OwnerStatus::ProbeDue));
}

BOOST_AUTO_TEST_CASE(ended_requests_are_not_checked)
{
  OwnerFailureDetector detector;
  const CallId first{ 1, 1 };
  const CallId second{ 1, 2 };
  detector.ScheduleCheck(first, kStart + milliseconds(10));
  detector.ScheduleCheck(second, kStart + milliseconds(20));
  detector.ScheduleCheck(second, kStart + milliseconds(30)); // a later attempt
  BOOST_TEST((detector.NextDeadline() == kStart + milliseconds(10)));
  detector.CancelCheck(first);
  BOOST_TEST(detector.TakeDue(kStart + milliseconds(29)).empty());
  BOOST_TEST((detector.TakeDue(kStart + milliseconds(30)) == std::vector<CallId>{ second }));
  BOOST_TEST(!detector.NextDeadline());
}
