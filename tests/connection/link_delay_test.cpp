#define BOOST_TEST_MODULE link_delay
#include "geraniumpin/connection/link_delay.hpp"

#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(9) };
const NodeAddress kSender = NodeAt(1, 1);

} // namespace

BOOST_AUTO_TEST_CASE(a_delayed_message_is_distinguished_from_clocks_that_differ)
{
  LinkDelay delay;
  const auto measure = [&](milliseconds aSent, milliseconds aArrived) {
    return delay.OnMessage(kSender, 1, aSent + milliseconds(1), kStart + aArrived);
  };
  BOOST_TEST((measure(milliseconds(0), milliseconds(40)) == Duration{})); // a slow first message
  BOOST_TEST((measure(milliseconds(100), milliseconds(101)) == Duration{}));
  BOOST_TEST((measure(milliseconds(200), milliseconds(901)) >= milliseconds(699)));
  BOOST_TEST((measure(milliseconds(890), milliseconds(902)) <= milliseconds(12)));
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_anew)
{
  LinkDelay delay;
  (void)delay.OnMessage(kSender, 1, milliseconds(1), kStart);
  const auto later = kStart + milliseconds(5000);
  BOOST_TEST((delay.OnMessage(kSender, 2, milliseconds(1), later) == Duration{}));
  // Without a reading of the sender's clock no delay can be estimated.
  BOOST_TEST((delay.OnMessage(kSender, 2, {}, later) == Duration{}));
}

BOOST_AUTO_TEST_CASE(clocks_that_drift_apart_are_not_reported_as_delay)
{
  LinkDelay delay;
  for (int second = 0; second < 3600; ++second) {
    const Duration sentAt = std::chrono::microseconds(1 + second * 999'900LL);
    const auto now = kStart + std::chrono::seconds(second);
    BOOST_TEST((delay.OnMessage(kSender, 1, sentAt, now) < milliseconds(1)));
  }
}
