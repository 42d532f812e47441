#define BOOST_TEST_MODULE link_admission
#include "geraniumpin/process/link_admission.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kLink = 10'000'000; // 1.25 MB/s

} // namespace

// Load pattern "uploads beyond the link": 60 KB take 48 ms at 10 Mbit/s; what comes on top is the
// wait behind other messages.
BOOST_AUTO_TEST_CASE(a_large_body_is_refused_if_others_delayed_it)
{
  BOOST_TEST(!ExceedsLink(60000, milliseconds(48), kLink));
  BOOST_TEST(!ExceedsLink(60000, milliseconds(190), kLink));
  BOOST_TEST(ExceedsLink(60000, milliseconds(210), kLink));
}

// Guards against a body that is refused for its own size.
BOOST_AUTO_TEST_CASE(its_own_transfer_does_not_count)
{
  BOOST_TEST(!ExceedsLink(1'250'000, milliseconds(1100), kLink));
  BOOST_TEST(ExceedsLink(1'250'000, milliseconds(1160), kLink));
}

BOOST_AUTO_TEST_CASE(small_requests_and_unknown_links_are_not_refused)
{
  BOOST_TEST(!ExceedsLink(kMinLinkAdmissionBytes - 1, milliseconds(5000), kLink));
  BOOST_TEST(!ExceedsLink(60000, milliseconds(5000), 0));
}
