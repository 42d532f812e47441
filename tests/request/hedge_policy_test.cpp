#define BOOST_TEST_MODULE hedge_policy
#include "geraniumpin/request/hedge_policy.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;

namespace {

/// A late lookup that may be hedged.
struct Inputs
{
  double ratio_ = 0.05;
  bool idempotent_ = true;
  bool hasBody_ = false;
  bool isRepeat_ = false;
  bool hasOtherAttempt_ = false;
  std::uint32_t instances_ = 1;
  bool isServiceRefusing_ = false;
  double serviceLoad_ = 0.4;
  double nodeSaturation_ = 0.1;
  bool allowsRetry_ = true;
  bool allowsHedge_ = true;

  [[nodiscard]] HedgeDecision Decide() const { return DecideHedge(Make()); }
  [[nodiscard]] HedgeInputs Make() const
  {
    return { .ratio_ = ratio_,
             .idempotent_ = idempotent_,
             .hasBody_ = hasBody_,
             .isRepeat_ = isRepeat_,
             .hasOtherAttempt_ = hasOtherAttempt_,
             .instances_ = instances_,
             .maxInstances_ = 2,
             .isServiceRefusing_ = isServiceRefusing_,
             .serviceLoad_ = serviceLoad_,
             .nodeSaturation_ = nodeSaturation_,
             .allowsRetry_ = allowsRetry_,
             .allowsHedge_ = allowsHedge_ };
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_late_lookup_is_hedged)
{
  BOOST_TEST((Inputs{}.Decide() == HedgeDecision::Hedge));
}

// Each case guards against one kind of request that must never get a second attempt.
BOOST_AUTO_TEST_CASE(requests_that_may_not_be_repeated_are_not_hedged)
{
  BOOST_TEST((Inputs{ .ratio_ = 0 }.Decide() == HedgeDecision::Disabled));
  BOOST_TEST((Inputs{ .idempotent_ = false }.Decide() == HedgeDecision::NotRepeatable));
  BOOST_TEST((Inputs{ .hasBody_ = true }.Decide() == HedgeDecision::NotRepeatable));
  BOOST_TEST((Inputs{ .isRepeat_ = true }.Decide() == HedgeDecision::NotRepeatable));
  BOOST_TEST((Inputs{ .hasOtherAttempt_ = true }.Decide() == HedgeDecision::InProgress));
  BOOST_TEST((Inputs{ .instances_ = 2 }.Decide() == HedgeDecision::NoInstanceLeft));
  BOOST_TEST(!MayBeHedged(Inputs{ .hasBody_ = true }.Make()));
  BOOST_TEST(MayBeHedged(Inputs{ .serviceLoad_ = 2 }.Make()));
}

// Load pattern "all slow": a second attempt would add load where there is no capacity.
BOOST_AUTO_TEST_CASE(nothing_is_hedged_while_the_service_or_the_node_is_busy)
{
  BOOST_TEST((Inputs{ .isServiceRefusing_ = true }.Decide() == HedgeDecision::ServiceBusy));
  BOOST_TEST((Inputs{ .serviceLoad_ = 0.71 }.Decide() == HedgeDecision::ServiceBusy));
  BOOST_TEST((Inputs{ .nodeSaturation_ = 0.6 }.Decide() == HedgeDecision::NodeSaturated));
  BOOST_TEST((Inputs{ .allowsRetry_ = false }.Decide() == HedgeDecision::NoBudget));
  BOOST_TEST((Inputs{ .allowsHedge_ = false }.Decide() == HedgeDecision::NoBudget));
}

// Property: whatever the order of requests and hedges, hedges stay within the share of the requests
// plus the burst.
BOOST_AUTO_TEST_CASE(the_budget_limits_hedges_to_a_share_of_the_requests)
{
  for (const double ratio : { 0.02, 0.05, 0.2 }) {
    HedgeBudget budget;
    int hedges = 0;
    constexpr int kRequests = 2000;
    for (int i = 0; i < kRequests; ++i) {
      budget = budget.AfterRequest(ratio);
      const bool isLate = i % 7 != 0 || (i / 100) % 2 == 0; // bursts of late requests
      if (isLate && budget.AllowsHedge()) {
        budget = budget.AfterHedge();
        ++hedges;
      }
    }
    BOOST_TEST(hedges <= ratio * kRequests + HedgeBudget::kMaxBurst);
    BOOST_TEST(hedges >= ratio * kRequests * 0.9 - 1);
  }
}
