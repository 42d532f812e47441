#define BOOST_TEST_MODULE operating_bounds
#include "../../platform/operating_bounds.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> kStated{ "seed_lag=3s",          "contact=4000ms",
                                        "drain_timeout=3000ms", "grace_period=10s",
                                        "config_apply=3s",      "strict_revoke=false",
                                        "budget_ratio=0.2",     "quota_over=0.25",
                                        "quota_slack=20" };

Settings
MakeSettings(std::vector<std::string> aBounds)
{
  const auto port = [](int aPort) {
    return *NodeAddress::Parse("10.0.0.1:" + std::to_string(aPort));
  };
  return SettingsBuilder("test")
    .PeerAddress(port(7000))
    .CallerAddress(port(8000))
    .AdminAddress(port(8100))
    .BackendServerAddress(port(9000))
    .PlatformAddress(port(8500))
    .FailureDomainName("zone-1")
    .PeerKey("0123456789abcdef")
    .DrainTimeout(milliseconds(5000))
    .PlatformBounds(std::move(aBounds))
    .Build()
    .value();
}

std::vector<std::string>
Replace(std::vector<std::string> aBounds, const std::string& aName, const std::string& aText)
{
  const auto prefix = aName + "=";
  for (auto& bound : aBounds) {
    bound = bound.starts_with(prefix) ? aText : bound;
  }
  return aBounds;
}

} // namespace

// Guards against constants that fit the first deployments only: the stop of every node took 5 s,
// whatever the time until it is killed.
BOOST_AUTO_TEST_CASE(settings_follow_the_stated_bounds)
{
  const auto bounded = ApplyPlatformBounds(MakeSettings(kStated));
  BOOST_TEST(bounded.ignored_.empty());
  const auto& settings = bounded.settings_;
  BOOST_TEST((settings.DrainTimeout() == milliseconds(8750)));
  BOOST_TEST((settings.ApplyBound() == milliseconds(2400)));
  BOOST_TEST((settings.ContactBound() == milliseconds(4000)));
  BOOST_TEST(settings.RetryRatio() == 0.08, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(settings.LimitTolerance() == 0.25);
  BOOST_TEST(settings.LimitSlack() == 12, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_stop_ends_in_the_last_sixth_of_the_grace_period_and_before_its_end)
{
  for (const auto grace : { milliseconds(1000), milliseconds(6000), milliseconds(60000) }) {
    const auto text = "grace_period=" + std::to_string(grace.count()) + "ms";
    const auto bounded = ApplyPlatformBounds(MakeSettings(Replace(kStated, "grace_period", text)));
    BOOST_TEST((bounded.settings_.DrainTimeout() > grace * 5 / 6));
    BOOST_TEST((bounded.settings_.DrainTimeout() < grace));
  }
}

BOOST_AUTO_TEST_CASE(a_bound_that_cannot_be_used_keeps_the_setting_and_is_reported)
{
  for (const std::string odd : { "",
                                 "grace_period",
                                 "grace_period=",
                                 "grace_period=10",
                                 "grace_period=10h",
                                 "grace_period=-5s",
                                 "grace_period=nans",
                                 "grace_period=1e99s",
                                 "grace_period=0s",
                                 "grace_period=true" }) {
    const auto bounded = ApplyPlatformBounds(MakeSettings(Replace(kStated, "grace_period", odd)));
    BOOST_REQUIRE_MESSAGE(bounded.ignored_.size() == 1U, odd);
    BOOST_TEST(bounded.ignored_.front().path_ == "/grace_period");
    BOOST_TEST((bounded.settings_.DrainTimeout() == milliseconds(5000)));
  }
  const auto odd =
    Replace(Replace(kStated, "quota_over", "quota_over=nan"), "budget_ratio", "budget_ratio=7");
  const auto bounded = ApplyPlatformBounds(MakeSettings(odd));
  BOOST_TEST(bounded.ignored_.size() == 2U);
  BOOST_TEST(bounded.settings_.LimitTolerance() == 0);
  BOOST_TEST(bounded.settings_.RetryRatio() == RetryBudget::kRetriesPerRequest);
}
