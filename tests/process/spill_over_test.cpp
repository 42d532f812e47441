#define BOOST_TEST_MODULE spill_over
#include "geraniumpin/process/spill_over.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cmath>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

/// Loads of a service in two failure domains with equal slots, as a function of the share that the
/// first one sends to the second.
struct TwoDomains
{
  double localDemand_ = 0; ///< as a share of the slots
  double remoteDemand_ = 0;

  [[nodiscard]] ServiceLoad At(double aShare) const
  {
    return { .localLoad_ = localDemand_ * (1 - aShare),
             .localSlots_ = 100,
             .remoteLoad_ = remoteDemand_ + localDemand_ * aShare,
             .remoteSlots_ = 100,
             .failureDomains_ = 2 };
  }
};

SpillOver
RunFor(SpillOver aSpillOver,
       const TwoDomains& aDomains,
       milliseconds aTime,
       TimePoint aFrom = kStart)
{
  for (milliseconds at{ 0 }; at < aTime; at += milliseconds(10)) {
    aSpillOver = aSpillOver.After(aDomains.At(aSpillOver.Share()), aFrom + at);
  }
  return aSpillOver;
}

} // namespace

BOOST_AUTO_TEST_CASE(nothing_leaves_while_there_is_local_capacity)
{
  const auto spillOver =
    RunFor({}, { .localDemand_ = 0.85, .remoteDemand_ = 0.1 }, milliseconds(5000));
  BOOST_TEST(spillOver.Share() == 0);
  BOOST_TEST(spillOver.ShareOf(false) == 0);
}

// Load pattern "burst in one failure domain": half as much again as the domain can serve. Deciding
// for the service as a whole sent half of the requests away, also those that had room.
BOOST_AUTO_TEST_CASE(only_the_excess_leaves)
{
  const auto spillOver =
    RunFor({}, { .localDemand_ = 1.5, .remoteDemand_ = 0.1 }, milliseconds(5000));
  BOOST_TEST(spillOver.Share() == 0.4, boost::test_tools::tolerance(0.02)); // 1 - 0.9 / 1.5
}

// Load pattern "overload everywhere": requests that leave would only displace those of the others.
BOOST_AUTO_TEST_CASE(nothing_leaves_for_domains_without_capacity)
{
  const auto spillOver =
    RunFor({}, { .localDemand_ = 1.5, .remoteDemand_ = 1.5 }, milliseconds(5000));
  BOOST_TEST(spillOver.Share() < 0.02);
}

BOOST_AUTO_TEST_CASE(the_share_stays_within_the_capacity_of_the_other_domains)
{
  const TwoDomains domains{ .localDemand_ = 2, .remoteDemand_ = 0.7 };
  const auto spillOver = RunFor({}, domains, milliseconds(5000));
  BOOST_TEST(domains.At(spillOver.Share()).remoteLoad_ <= SpillOver::kTargetLoad + 0.02);
  BOOST_TEST(spillOver.Share() == 0.1, boost::test_tools::tolerance(0.1));
}

// Property: for any demand the share settles, so that nodes with the same reports do not move their
// requests back and forth.
BOOST_AUTO_TEST_CASE(the_share_does_not_oscillate)
{
  for (double local = 0.5; local <= 2; local += 0.25) {
    for (double remote = 0; remote <= 1.5; remote += 0.25) {
      const TwoDomains domains{ .localDemand_ = local, .remoteDemand_ = remote };
      const auto settled = RunFor({}, domains, milliseconds(5000));
      const auto later = RunFor(settled, domains, milliseconds(1000), kStart + milliseconds(5000));
      BOOST_TEST(std::abs(later.Share() - settled.Share()) < 0.01, local << " and " << remote);
    }
  }
}

// Load pattern "callers move back": the share must end soon after the excess.
BOOST_AUTO_TEST_CASE(the_share_ends_with_the_excess)
{
  const auto spilling =
    RunFor({}, { .localDemand_ = 1.5, .remoteDemand_ = 0.1 }, milliseconds(5000));
  const auto later = RunFor(spilling,
                            { .localDemand_ = 0.5, .remoteDemand_ = 0.1 },
                            milliseconds(2000),
                            kStart + milliseconds(5000));
  BOOST_TEST(later.Share() == 0);
}

BOOST_AUTO_TEST_CASE(without_reports_only_probes_leave)
{
  SpillOver spillOver;
  const ServiceLoad load{ .localLoad_ = 2, .localSlots_ = 100, .failureDomains_ = 2 };
  for (int step = 0; step < 100; ++step) {
    spillOver = spillOver.After(load, kStart + step * SpillOver::kInterval);
  }
  BOOST_TEST(spillOver.Share() > 0);
  BOOST_TEST(spillOver.Share() <= SpillOver::kProbeShare);
}

// Guards against uploads that cross to another failure domain while lookups stay.
BOOST_AUTO_TEST_CASE(small_requests_leave_first)
{
  auto spillOver = RunFor({}, { .localDemand_ = 1.5, .remoteDemand_ = 0.1 }, milliseconds(5000));
  for (int i = 0; i < 1000; ++i) {
    spillOver = spillOver.AfterRequest(i % 10 == 0);
  }
  BOOST_TEST(spillOver.ShareOf(true) == 0);
  BOOST_TEST(spillOver.ShareOf(false) > spillOver.Share());
  for (int i = 0; i < 1000; ++i) {
    spillOver = spillOver.AfterRequest(i % 10 != 0); // mostly large
  }
  BOOST_TEST(spillOver.ShareOf(false) == 1);
  BOOST_TEST(spillOver.ShareOf(true) > 0);
}
