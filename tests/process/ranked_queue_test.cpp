#define BOOST_TEST_MODULE ranked_queue
#include "geraniumpin/process/admission.hpp"

#include <boost/test/included/unit_test.hpp>
#include <map>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

QueuedWork<int>
MakeWork(int aTicket, const std::string& aTeam, std::uint32_t aRank)
{
  return { aTicket, aTeam, milliseconds(10), kStart + milliseconds(1000), aRank };
}

} // namespace

BOOST_AUTO_TEST_CASE(lower_ranks_are_served_first)
{
  RankedQueue<int> queue(8);
  BOOST_REQUIRE(queue.Push(MakeWork(1, "a", 2)));
  BOOST_REQUIRE(queue.Push(MakeWork(2, "a", 0)));
  BOOST_REQUIRE(queue.Push(MakeWork(3, "a", 1)));
  BOOST_TEST(queue.CountAhead(1) == 2U);
  BOOST_TEST(queue.Pop()->ticket_ == 2);
  BOOST_TEST(queue.Pop()->ticket_ == 3);
  BOOST_TEST(queue.Pop()->ticket_ == 1);
  BOOST_TEST(!queue.Pop());
}

BOOST_AUTO_TEST_CASE(a_team_with_many_requests_does_not_starve_another_of_its_rank)
{
  RankedQueue<int> queue(64);
  for (int i = 0; i < 40; ++i) {
    BOOST_REQUIRE(queue.Push(MakeWork(i, "hot", 1)));
  }
  for (int i = 100; i < 105; ++i) {
    BOOST_REQUIRE(queue.Push(MakeWork(i, "small", 1)));
  }
  int fromSmall = 0;
  for (int i = 0; i < 12; ++i) {
    fromSmall += queue.Pop()->team_ == "small" ? 1 : 0;
  }
  BOOST_TEST(fromSmall == 5);
}

BOOST_AUTO_TEST_CASE(a_request_leaves_the_queue_at_its_queue_deadline)
{
  Admission<int> admission(1);
  BOOST_REQUIRE(admission.Admit(MakeWork(1, "a", 0), kStart));
  auto work = MakeWork(2, "a", 0);
  work.queueDeadline_ = kStart + milliseconds(30);
  BOOST_REQUIRE((admission.Admit(work, kStart).value() == AdmissionResult::Queued));
  BOOST_TEST((*admission.NextDeadline(kStart) == kStart + milliseconds(30)));
  BOOST_TEST(admission.Advance(kStart + milliseconds(30)).expired_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_miss_its_queue_deadline_is_refused_at_once)
{
  Admission<int> admission(1);
  BOOST_REQUIRE(admission.Admit(MakeWork(1, "a", 0), kStart));
  (void)admission.OnEnd(WorkResult::Success, kStart, kStart + milliseconds(100));
  BOOST_REQUIRE(admission.Admit(MakeWork(2, "a", 0), kStart));
  auto work = MakeWork(3, "a", 0);
  work.queueDeadline_ = kStart + milliseconds(30);
  BOOST_TEST((admission.Admit(work, kStart).error() == Reason::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(a_cold_instance_with_free_slots_still_has_load)
{
  Admission<int, SlotController> admission(9);
  admission.SlowStart().SetRate(10);
  admission.SlowStart().SetReportedCold(true);
  for (int i = 0; i < 2; ++i) {
    BOOST_REQUIRE((admission.Admit(MakeWork(i, "a", 0), kStart).value() == AdmissionResult::Start));
    (void)admission.OnEnd(WorkResult::Success, kStart, kStart + milliseconds(1));
  }
  BOOST_TEST(admission.Load(kStart + milliseconds(2)) >= 0.2);
  BOOST_TEST((admission.Admit(MakeWork(9, "a", 0), kStart).value() == AdmissionResult::Queued));
}
