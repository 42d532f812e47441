#define BOOST_TEST_MODULE link_traffic
#include "geraniumpin/process/link_traffic.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

CallRequest
RequestOf(std::size_t aBytes)
{
  return { .body_ = MakeBody(std::string(aBytes, 'x')) };
}

} // namespace

// Guards against late versions whose cause does not show: one report has the bytes and the delay of
// each kind of message.
BOOST_AUTO_TEST_CASE(a_report_states_bytes_and_longest_delay_by_kind)
{
  LinkTraffic traffic;
  BOOST_TEST(!traffic.OnMessage(RequestOf(60'000), milliseconds(900), kStart).has_value());
  BOOST_TEST(!traffic.OnMessage(RequestOf(40'000), milliseconds(300), kStart).has_value());
  BOOST_TEST(!traffic.OnMessage(RequestOf(300), milliseconds(800), kStart).has_value());
  BOOST_TEST(!traffic.OnMessage(VersionPull{}, milliseconds(700), kStart).has_value());
  const auto report = traffic.OnMessage(Heartbeat{}, {}, kStart + LinkTraffic::kPeriod);
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST(
    (report->Of(TrafficKind::Content) == ReceivedTraffic{ 2, 100'000, milliseconds(900) }));
  BOOST_TEST((report->Of(TrafficKind::Request) == ReceivedTraffic{ 1, 300, milliseconds(800) }));
  BOOST_TEST((report->Of(TrafficKind::Version) == ReceivedTraffic{ 1, 0, milliseconds(700) }));
  BOOST_TEST((report->Of(TrafficKind::Membership) == ReceivedTraffic{}));
}

BOOST_AUTO_TEST_CASE(the_next_period_begins_with_the_message_that_ended_the_last_one)
{
  LinkTraffic traffic;
  (void)traffic.OnMessage(Heartbeat{}, {}, kStart);
  (void)traffic.OnMessage(Heartbeat{}, {}, kStart + LinkTraffic::kPeriod);
  const auto report = traffic.OnMessage(Heartbeat{}, {}, kStart + 2 * LinkTraffic::kPeriod);
  BOOST_TEST_REQUIRE(report.has_value());
  BOOST_TEST(report->Of(TrafficKind::Membership).messages_ == 1U);
}
