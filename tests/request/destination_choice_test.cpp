#define BOOST_TEST_MODULE destination_choice
#include "geraniumpin/request/destination_choice.hpp"
#include "geraniumpin/request/queue_timeout.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

Route
SplitRoute(std::uint32_t aLarge, std::uint32_t aSmall)
{
  return { .name_ = "split", .destinations_ = { { "large", aLarge }, { "small", aSmall } } };
}

} // namespace

BOOST_AUTO_TEST_CASE(the_shares_hold_over_two_hundred_requests_of_many_nodes)
{
  // 12 nodes with 17 requests each; each node has its own start position.
  for (const std::uint32_t small : { 5U, 10U, 50U }) {
    const auto route = SplitRoute(100 - small, small);
    int toSmall = 0;
    int total = 0;
    for (int node = 0; node < 12; ++node) {
      DestinationChoice choice;
      for (int i = 0; i < 17; ++i) {
        toSmall += choice.Next(route, node / 12.0) == "small" ? 1 : 0;
        ++total;
      }
    }
    BOOST_TEST(std::abs(static_cast<double>(toSmall) / total - small / 100.0) < 0.1);
  }
}

BOOST_AUTO_TEST_CASE(new_weights_apply_at_once)
{
  DestinationChoice choice;
  for (int i = 0; i < 50; ++i) {
    (void)choice.Next(SplitRoute(100, 0), 0);
  }
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(choice.Next(SplitRoute(0, 100), 0) == "small");
  }
}

BOOST_AUTO_TEST_CASE(the_queue_timeout_is_a_share_of_the_target_less_the_elapsed_time)
{
  const Route keyed{ .timeout_ = milliseconds(1000), .targetLatency_ = milliseconds(200) };
  BOOST_TEST((ComputeQueueTimeout(keyed, true, {}, milliseconds(500)) == milliseconds(60)));
  BOOST_TEST(
    (ComputeQueueTimeout(keyed, true, milliseconds(20), milliseconds(500)) == milliseconds(40)));
  BOOST_TEST(
    (ComputeQueueTimeout(keyed, true, milliseconds(90), milliseconds(500)) == kMinQueueTimeout));
  BOOST_TEST((ComputeQueueTimeout(keyed, true, {}, milliseconds(2)) == milliseconds(2)));
  const Route open{ .access_ = Access::Open, .timeout_ = milliseconds(200) };
  BOOST_TEST((ComputeQueueTimeout(open, true, {}, milliseconds(100)) == milliseconds(50)));
  BOOST_TEST((ComputeCallQueueTimeout(milliseconds(100)) == milliseconds(50)));
}

// Load pattern "demand beyond capacity without teams": all routes are open there, and each request
// waited for half of its deadline, 750 ms with a target of 500 ms, so that all answers were late.
BOOST_AUTO_TEST_CASE(without_teams_requests_of_open_routes_wait_by_their_target)
{
  const Route open{ .access_ = Access::Open,
                    .timeout_ = milliseconds(1500),
                    .targetLatency_ = milliseconds(500) };
  BOOST_TEST((ComputeQueueTimeout(open, false, {}, milliseconds(1500)) == milliseconds(150)));
  BOOST_TEST((ComputeQueueTimeout(open, true, {}, milliseconds(1500)) == milliseconds(750)));
}
