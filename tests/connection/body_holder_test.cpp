#define BOOST_TEST_MODULE body_holder
#include "geraniumpin/connection/body_holder.hpp"
#include "geraniumpin/connection/content_size.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
const NodeAddress kPeer = *NodeAddress::Parse("127.1.1.1:7000");
const NodeAddress kOther = *NodeAddress::Parse("127.1.1.2:7000");
constexpr LinkWindow kLink{ .bitsPerSecond_ = 10'000'000, .window_ = milliseconds(100) };
constexpr std::size_t kOfferMinBytes = 16384;

CallRequest
RequestOf(std::uint64_t aNumber, std::size_t aBytes, std::uint32_t aRank = 1)
{
  return { .id_ = { 1, aNumber },
           .attempt_ = 1,
           .rank_ = aRank,
           .body_ = MakeBody(std::string(aBytes, 'x')),
           .remaining_ = milliseconds(2000) };
}

TransferId
IdOf(std::uint64_t aNumber)
{
  return { { { 1, aNumber }, 1 }, false };
}

bool
IsHeld(BodyHolder& aHolder, const NodeAddress& aPeer, const Payload& aMessage)
{
  return aHolder.Hold(aPeer, aMessage, TimePoint::max(), kStart).has_value();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_body_is_offered_and_sent_with_the_time_that_remains_when_it_is_granted)
{
  BodyHolder holder(kLink);
  holder.OnPeer(kPeer, kOfferMinBytes);
  const auto offer = holder.Hold(kPeer, RequestOf(1, 60'000), TimePoint::max(), kStart);
  BOOST_TEST_REQUIRE(offer.has_value());
  BOOST_TEST(std::get<CallOffer>(*offer).bodyBytes_ == 60'000U);
  BOOST_TEST((std::get<CallOffer>(*offer).request_.body_ == nullptr));
  BOOST_TEST(!IsHeld(holder, kPeer, RequestOf(2, kOfferMinBytes - 1)));
  holder.OnGrant(kOther, { IdOf(1) }); // not the receiver
  BOOST_TEST(holder.TakeReady(kStart).empty());
  holder.OnGrant(kPeer, { IdOf(1) });
  const auto sent = holder.TakeReady(kStart + milliseconds(300));
  BOOST_TEST_REQUIRE(sent.size() == 1U);
  const auto& request = std::get<CallRequest>(sent.front().payload_);
  BOOST_TEST(ContentBytes(request) == 60'000U);
  BOOST_TEST((request.remaining_ == milliseconds(1700)));
  BOOST_TEST(!holder.Withdraw(IdOf(1)));
}

// Guards against a sender whose own link is narrow and whose bodies delay what it sends next.
BOOST_AUTO_TEST_CASE(granted_bodies_leave_by_rank_within_the_window_of_the_own_link)
{
  BodyHolder holder(kLink);
  holder.OnPeer(kPeer, kOfferMinBytes);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    BOOST_TEST(IsHeld(holder, kPeer, RequestOf(i, 125'000, i == 4 ? 0 : 1)));
    holder.OnGrant(kPeer, { IdOf(i) });
  }
  const auto first = holder.TakeReady(kStart);
  BOOST_TEST_REQUIRE(first.size() == 2U); // the second one begins within the window
  BOOST_TEST(std::get<CallRequest>(first.front().payload_).id_.sequence_ == 4U);
  BOOST_TEST((holder.NextDeadline() == kStart + milliseconds(100)));
  BOOST_TEST(holder.TakeReady(kStart + milliseconds(99)).empty());
  BOOST_TEST(holder.TakeReady(kStart + milliseconds(100)).size() == 1U);
}

// Guards against requests that wait for a grant of a node of an earlier release, which gives none.
BOOST_AUTO_TEST_CASE(a_peer_that_knows_no_offers_gets_bodies_at_once)
{
  BodyHolder holder(kLink);
  BOOST_TEST(!IsHeld(holder, kPeer, RequestOf(1, 60'000)));
  holder.OnPeer(kOther, kOfferMinBytes);
  BOOST_TEST(IsHeld(holder, kPeer, RequestOf(2, 60'000))); // taken for a node like the other one
  holder.OnPeer(kPeer, 0);
  BOOST_TEST(holder.TakeReady(kStart).size() == 1U);
  BOOST_TEST(!IsHeld(holder, kPeer, RequestOf(3, 60'000)));
}

BOOST_AUTO_TEST_CASE(replies_that_were_not_granted_leave_at_the_end_or_expire)
{
  BodyHolder holder(kLink);
  holder.OnPeer(kPeer, kOfferMinBytes);
  const auto body = MakeBody(std::string(30'000, 'x'));
  for (std::uint64_t i = 1; i <= 2; ++i) {
    const CallReply reply{ .id_ = { 1, i }, .attempt_ = 1, .answer_ = { .body_ = body } };
    BOOST_TEST(holder.Hold(kPeer, reply, kStart + milliseconds(100 * i), kStart).has_value());
  }
  BOOST_TEST(holder.TakeReady(kStart + milliseconds(100)).empty());
  BOOST_TEST(holder.HoldsReplies());
  BOOST_TEST(holder.TakeReplies().size() == 1U);
  BOOST_TEST(!holder.HoldsReplies());
}
