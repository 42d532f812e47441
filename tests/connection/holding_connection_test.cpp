#define BOOST_TEST_MODULE holding_connection
#include "geraniumpin/connection/holding_connection.hpp"

#include <boost/test/included/unit_test.hpp>
#include <vector>

using namespace geraniumpin;

// Guards against an honest upload that is closed in place of one that has stopped.
BOOST_AUTO_TEST_CASE(the_connection_with_the_least_progress_for_its_bytes_is_closed)
{
  const std::vector<HoldingConnection> connections{
    { .heldBytes_ = 8000, .recentBytes_ = 4000, .mayClose_ = true },
    { .heldBytes_ = 8000, .recentBytes_ = 10, .mayClose_ = true },
    { .heldBytes_ = 100, .recentBytes_ = 10, .mayClose_ = true },
  };
  BOOST_TEST(FindConnectionToClose(connections).value() == 1U);
}

BOOST_AUTO_TEST_CASE(among_stopped_connections_the_one_that_holds_most_is_closed)
{
  const std::vector<HoldingConnection> connections{
    { .heldBytes_ = 100, .recentBytes_ = 0, .mayClose_ = true },
    { .heldBytes_ = 8000, .recentBytes_ = 0, .mayClose_ = true },
  };
  BOOST_TEST(FindConnectionToClose(connections).value() == 1U);
}

// Guards against a complete request that is closed: its work is lost, and it may have run.
BOOST_AUTO_TEST_CASE(a_running_request_is_never_closed)
{
  const std::vector<HoldingConnection> connections{
    { .heldBytes_ = 8000, .recentBytes_ = 0, .mayClose_ = false },
    { .heldBytes_ = 0, .recentBytes_ = 0, .mayClose_ = true },
  };
  BOOST_TEST(!FindConnectionToClose(connections).has_value());
}

// Guards against a client that sent much, then stopped, and counts as one that makes progress.
BOOST_AUTO_TEST_CASE(a_client_that_stopped_has_stalled_after_a_whole_interval)
{
  constexpr std::size_t kMinBytes = 1024;
  ProgressMeter meter;
  meter.Begin(0);
  meter.EndInterval(8000000, kMinBytes);
  BOOST_TEST(!meter.HasStalled(8000000, kMinBytes));
  meter.EndInterval(8000000, kMinBytes);
  BOOST_TEST(meter.HasStalled(8000000, kMinBytes));
  BOOST_TEST(!meter.HasStalled(8001024, kMinBytes));
}

// Guards against a body that ends by time although its client sends as fast as it must.
BOOST_AUTO_TEST_CASE(progress_at_the_minimum_is_never_slow)
{
  ProgressMeter meter;
  meter.Begin(0);
  for (std::size_t second = 1; second <= 60; ++second) {
    meter.EndInterval(second * 1024, 1024);
    BOOST_TEST((meter.SlowFor() == std::chrono::milliseconds(0)));
  }
  meter.EndInterval(60 * 1024 + 1023, 1024);
  BOOST_TEST((meter.SlowFor() == ProgressMeter::kInterval));
}
