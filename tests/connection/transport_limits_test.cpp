#define BOOST_TEST_MODULE transport_limits
#include "geraniumpin/connection/transport_limits.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;

namespace {

constexpr std::size_t kMaxBodyBytes = 67'108'864;

TransportLimits
LimitsOf(std::size_t aMegabytes)
{
  return MakeTransportLimits({ .memoryBytes_ = aMegabytes << 20U }, kMaxBodyBytes);
}

} // namespace

// The smallest machine must still send one body of the largest size.
BOOST_AUTO_TEST_CASE(a_machine_of_160_mb_admits_one_body_and_no_second)
{
  BOOST_TEST(LimitsOf(160).maxQueuedBytesPerPeer_ > kMaxBodyBytes);
  BOOST_TEST(LimitsOf(160).maxQueuedBytes_ < 2 * kMaxBodyBytes);
}

// Guards against one peer that does not read and takes the share of all others.
BOOST_AUTO_TEST_CASE(one_peer_gets_a_part_of_what_may_wait_on_a_large_machine)
{
  const auto limits = LimitsOf(512);
  BOOST_TEST(limits.maxQueuedBytesPerPeer_ < limits.maxQueuedBytes_);
  BOOST_TEST(limits.maxQueuedBytes_ < std::size_t{ 512 } << 20U);
}

// A wrong bound on a machine of unknown memory would drop messages that are delivered today.
BOOST_AUTO_TEST_CASE(unknown_memory_bounds_only_the_size_of_a_message)
{
  const auto limits = LimitsOf(0);
  BOOST_TEST(limits.maxQueuedBytes_ == TransportLimits{}.maxQueuedBytes_);
  BOOST_TEST(limits.maxMessageBytes_ > kMaxBodyBytes);
}
