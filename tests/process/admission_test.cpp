#define BOOST_TEST_MODULE admission
#include "geraniumpin/process/admission.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

QueuedWork<int>
MakeWork(int aTicket, const std::string& aTeam, milliseconds aCost = milliseconds(5))
{
  return { aTicket, aTeam, aCost, kStart + milliseconds(10000) };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_team_with_many_requests_does_not_delay_another_one)
{
  FairQueue<int> queue(100);
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(queue.Push(MakeWork(i, "large")));
  }
  BOOST_TEST(queue.Push(MakeWork(100, "small")));
  BOOST_TEST(queue.Push(MakeWork(101, "small")));
  std::vector<int> order;
  order.reserve(6);
  for (int i = 0; i < 6; ++i) {
    order.push_back(queue.Pop()->ticket_);
  }
  BOOST_TEST(
    (std::count_if(order.begin(), order.end(), [](int aTicket) { return aTicket >= 100; }) == 2));
}

BOOST_AUTO_TEST_CASE(round_robin_shares_service_time_and_not_the_number_of_requests)
{
  FairQueue<int> queue(1000);
  for (int i = 0; i < 500; ++i) {
    BOOST_TEST(queue.Push(MakeWork(i, "uploads", milliseconds(50))));
    BOOST_TEST(queue.Push(MakeWork(1000 + i, "lookups", milliseconds(5))));
  }
  int lookups = 0;
  for (int i = 0; i < 110; ++i) {
    lookups += queue.Pop()->ticket_ >= 1000 ? 1 : 0;
  }
  BOOST_TEST(lookups >= 95);
  BOOST_TEST(lookups <= 105);
}

BOOST_AUTO_TEST_CASE(a_queue_is_bounded_per_team)
{
  FairQueue<int> queue(2);
  BOOST_TEST(queue.Push(MakeWork(1, "a")));
  BOOST_TEST(queue.Push(MakeWork(2, "a")));
  BOOST_TEST(!queue.Push(MakeWork(3, "a")));
  BOOST_TEST(queue.Push(MakeWork(4, "b")));
  BOOST_TEST(queue.Remove(1));
  BOOST_TEST(!queue.Remove(1));
  BOOST_TEST(queue.Size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_instance_of_unknown_capacity_starts_with_a_limit_of_one)
{
  Admission<int> admission(9);
  BOOST_TEST((admission.Admit(MakeWork(1, "a"), kStart).value() == AdmissionResult::Start));
  BOOST_TEST((admission.Admit(MakeWork(2, "a"), kStart).value() == AdmissionResult::Queued));
  const auto actions = admission.OnEnd(WorkResult::Success, kStart, kStart + milliseconds(5));
  BOOST_TEST(actions.start_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_miss_its_deadline_is_refused_before_it_starts)
{
  Admission<int> admission(9);
  BOOST_REQUIRE(admission.Admit(MakeWork(1, "a"), kStart));
  (void)admission.OnEnd(WorkResult::Success, kStart, kStart + milliseconds(100));
  while (admission.Admit(MakeWork(2, "a", milliseconds(100)), kStart).value() ==
         AdmissionResult::Start) {
  }
  const QueuedWork<int> hurried{ 3, "a", milliseconds(100), kStart + milliseconds(50) };
  BOOST_TEST((admission.Admit(hurried, kStart).error() == Reason::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(waiting_requests_end_at_their_deadline)
{
  Admission<int> admission(1);
  BOOST_REQUIRE(admission.Admit(MakeWork(1, "a"), kStart));
  BOOST_REQUIRE(admission.Admit(MakeWork(2, "a"), kStart));
  const auto actions = admission.Advance(kStart + milliseconds(10000));
  BOOST_TEST(actions.expired_.size() == 1U);
  BOOST_TEST(actions.start_.empty());
}

BOOST_AUTO_TEST_CASE(the_limit_grows_with_success_and_falls_when_the_server_refuses)
{
  auto controller = AimdController{}.WithCeiling(9);
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i) {
    const auto before = controller.Limit();
    now += milliseconds(5);
    const auto running = static_cast<std::uint32_t>(before);
    controller = controller.After({ WorkResult::Success, now - milliseconds(5), now, running });
    // The first success may raise the limit by one, each later one by 5 ms / 200 ms.
    BOOST_TEST((i == 0 || controller.Limit() <= before + 5.0 / 200 + 1e-9));
  }
  BOOST_TEST(controller.Limit() == 9.0);
  controller = controller.After({ WorkResult::Shed, now, now + milliseconds(1), 9 });
  const auto lowered = controller.Limit();
  BOOST_TEST(lowered < 6.0);
  // Refusals of requests that started before the decrease do not lower the limit again.
  controller = controller.After({ WorkResult::Shed, now, now + milliseconds(2), 9 });
  BOOST_TEST(controller.Limit() == lowered);
}

BOOST_AUTO_TEST_CASE(a_server_that_refuses_at_once_does_not_appear_idle)
{
  Admission<int> admission(9);
  BOOST_REQUIRE(admission.Admit(MakeWork(1, "a"), kStart));
  (void)admission.OnEnd(WorkResult::Shed, kStart, kStart);
  BOOST_TEST(admission.Load(kStart) >= 1);
  // One success after a refusal does not bring the load down to that of an idle server, several do.
  for (int i = 2; i <= 12; ++i) {
    BOOST_REQUIRE(admission.Admit(MakeWork(i, "a"), kStart));
    (void)admission.OnEnd(WorkResult::Success, kStart, kStart + milliseconds(5));
    BOOST_TEST((i > 2 || admission.Load(kStart) > 0.5));
  }
  BOOST_TEST(admission.Load(kStart) < 0.1);
}

// Load pattern "instance that refuses": an instance that drains unannounced refuses all requests.
// It must not appear less loaded than a full one.
BOOST_AUTO_TEST_CASE(a_server_that_refuses_nearly_all_requests_has_a_higher_load_than_a_full_one)
{
  Admission<int> refusing(9);
  for (int i = 1; i <= 20; ++i) {
    BOOST_REQUIRE(refusing.Admit(MakeWork(i, "a"), kStart));
    (void)refusing.OnEnd(WorkResult::Shed, kStart, kStart);
  }
  Admission<int> full(1);
  BOOST_REQUIRE(full.Admit(MakeWork(1, "a"), kStart));
  BOOST_REQUIRE(full.Admit(MakeWork(2, "a"), kStart));
  BOOST_TEST(refusing.Load(kStart) > full.Load(kStart) + kLargeBodyRemotePenalty);
}

// Load pattern "instance that fails part of its work": its health check succeeds and its errors are
// fast, so it must not appear less loaded than one that works.
BOOST_AUTO_TEST_CASE(
  a_server_that_fails_half_of_its_requests_has_a_higher_load_than_a_half_full_one)
{
  Admission<int, SlotController> failing(8);
  failing.Restart(SlotController{}, 8);
  Admission<int, SlotController> halfFull(8);
  halfFull.Restart(SlotController{}, 8);
  for (int i = 1; i <= 4; ++i) {
    BOOST_REQUIRE(halfFull.Admit(MakeWork(i, "a"), kStart));
  }
  for (int i = 1; i <= 20; ++i) {
    BOOST_REQUIRE(failing.Admit(MakeWork(i, "a"), kStart));
    const auto result = i % 2 == 0 ? WorkResult::Success : WorkResult::Failed;
    (void)failing.OnEnd(result, kStart, kStart + milliseconds(5));
    BOOST_TEST((i < 2 || failing.Load(kStart) > halfFull.Load(kStart)));
  }
  BOOST_TEST(failing.Limit() == 8.0); // the number of requests is not the cause
}
