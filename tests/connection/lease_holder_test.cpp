#define BOOST_TEST_MODULE lease_holder
#include "../support/documents.hpp"
#include "geraniumpin/connection/lease_holder.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

LeaseGrant
MakeGrant(std::uint64_t aSequence, std::uint32_t aTokens)
{
  return { .team_ = "t",
           .sequence_ = aSequence,
           .tokens_ = aTokens,
           .term_ = milliseconds(2000),
           .retryAfter_ = milliseconds(50) };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_token_is_consumed_once_and_not_after_the_lease_ended)
{
  LeaseHolder holder("t", 0);
  holder.SetLessors({ NodeAt(1, 1) });
  const auto addressed = holder.NextRequest(kStart, 2);
  BOOST_REQUIRE(addressed);
  BOOST_TEST(addressed->request_.requestedTokens_ == 2U);
  const auto answeredAt = kStart + milliseconds(100);
  holder.OnGrant(NodeAt(1, 1), MakeGrant(addressed->request_.sequence_, 2), answeredAt);
  holder.OnGrant(NodeAt(1, 1), MakeGrant(addressed->request_.sequence_, 2), answeredAt);
  BOOST_TEST(holder.TryTake(answeredAt).has_value());
  // The term is counted from the sending of the request, not from the arrival of the grant.
  BOOST_TEST(!holder.TryTake(kStart + milliseconds(2000)).has_value());
  BOOST_TEST(holder.TryTake(kStart + milliseconds(1999)).has_value());
  BOOST_TEST(!holder.TryTake(kStart + milliseconds(1999)).has_value());
}

BOOST_AUTO_TEST_CASE(the_next_lessor_is_asked_when_one_is_exhausted_or_unresponsive)
{
  LeaseHolder holder("t", 0);
  holder.SetLessors({ NodeAt(1, 1), NodeAt(2, 1), NodeAt(3, 1) });
  const auto first = holder.NextRequest(kStart, 1);
  BOOST_TEST((first->lessor_ == NodeAt(1, 1)));
  BOOST_TEST(!holder.NextRequest(kStart, 1).has_value());
  holder.OnGrant(NodeAt(1, 1), MakeGrant(first->request_.sequence_, 0), kStart);
  BOOST_TEST((holder.NextRequest(kStart, 1)->lessor_ == NodeAt(2, 1)));
  const auto late = kStart + LeaseHolder::kAnswerTimeout;
  BOOST_TEST((holder.NextRequest(late, 1)->lessor_ == NodeAt(1, 1))); // no longer exhausted
  BOOST_TEST(!holder.IsExhausted(late));
}

// A lessor that answered late had its refusals ignored and was asked again at once, which made it
// later still.
BOOST_AUTO_TEST_CASE(a_late_refusal_counts_as_one)
{
  LeaseHolder holder("t", 0);
  holder.SetLessors({ NodeAt(1, 1) });
  const auto addressed = holder.NextRequest(kStart, 1);
  const auto late = kStart + LeaseHolder::kAnswerTimeout;
  BOOST_TEST(!holder.NextRequest(late, 1).has_value());
  holder.OnGrant(NodeAt(1, 1), MakeGrant(addressed->request_.sequence_, 0), late);
  BOOST_TEST(holder.IsExhausted(late));
  BOOST_TEST(!holder.NextRequest(late, 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_lease_is_returned_once)
{
  LeaseHolder holder("t", 0);
  holder.SetLessors({ NodeAt(1, 1) });
  const auto addressed = holder.NextRequest(kStart, 3);
  const auto late = kStart + LeaseHolder::kAnswerTimeout;
  BOOST_TEST(holder.CloseIdleLeases(late).empty());
  holder.OnGrant(NodeAt(1, 1), MakeGrant(addressed->request_.sequence_, 3), late);
  holder.OnGrant(NodeAt(1, 1), MakeGrant(addressed->request_.sequence_, 3), late);
  BOOST_TEST(!holder.TryTake(late).has_value());
  const auto closing = holder.CloseIdleLeases(late + LeaseHolder::kIdleReturnDelay);
  BOOST_REQUIRE(closing.size() == 1U);
  BOOST_REQUIRE(closing.front().request_.closures_.size() == 1U);
  BOOST_TEST(closing.front().request_.closures_.front().unused_ == 3U);
}

BOOST_AUTO_TEST_CASE(unused_tokens_of_an_idle_holder_are_returned)
{
  LeaseHolder holder("t", 0);
  holder.SetLessors({ NodeAt(1, 1) });
  const auto addressed = holder.NextRequest(kStart, 2);
  holder.OnGrant(NodeAt(1, 1), MakeGrant(addressed->request_.sequence_, 2), kStart);
  const auto token = holder.TryTake(kStart);
  holder.Refund(*token, kStart);
  BOOST_TEST(holder.CountUnused(kStart) == 2U);
  const auto closing = holder.CloseIdleLeases(kStart + LeaseHolder::kIdleReturnDelay);
  BOOST_REQUIRE(closing.size() == 1U);
  BOOST_TEST(closing.front().request_.closures_.front().unused_ == 2U);
  BOOST_TEST(!holder.TryTake(kStart + LeaseHolder::kIdleReturnDelay).has_value());
  holder.Refund(*token, kStart + LeaseHolder::kIdleReturnDelay); // its lease is closed
  BOOST_TEST(holder.CountUnused(kStart + LeaseHolder::kIdleReturnDelay) == 0U);
}

BOOST_AUTO_TEST_CASE(a_deadline_that_was_served_does_not_come_again)
{
  LeaseHolder holder("t", 0);
  holder.SetLessors({ NodeAt(1, 1) });
  BOOST_REQUIRE(holder.NextRequest(kStart, 1));
  const auto due = holder.NextDeadline();
  BOOST_REQUIRE(due);
  (void)holder.CloseIdleLeases(*due);
  BOOST_TEST((!holder.NextDeadline() || *holder.NextDeadline() > *due));
}
