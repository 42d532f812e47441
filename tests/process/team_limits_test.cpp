#define BOOST_TEST_MODULE team_limits
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

/// \brief Checks that charges never exceed burst + rate * t in any window.
///
/// A bucket of the whole team that starts full and is drawn by each charge falls below zero exactly
/// if some window holds too many.
class WindowCheck
{
public:
  WindowCheck(double aRate, double aBurst)
    : rate_(aRate)
    , burst_(aBurst)
    , level_(aBurst)
  {
  }
  void Charge(TimePoint aAt)
  {
    const std::chrono::duration<double> elapsed = aAt - last_;
    level_ = std::min(burst_, level_ + rate_ * std::max(0.0, elapsed.count())) - 1;
    last_ = std::max(last_, aAt);
    lowest_ = std::min(lowest_, level_);
  }
  [[nodiscard]] double Lowest() const { return lowest_; }

private:
  double rate_;
  double burst_;
  double level_;
  double lowest_ = 0;
  TimePoint last_{};
};

constexpr double kRoundingSlack = 1e-6;

/// \brief When the backend servers started requests, in order.
std::vector<TimePoint>
StartsOf(const FakeLinks& aLinks)
{
  std::vector<TimePoint> starts;
  starts.reserve(aLinks.runs_.size());
  for (const auto& [id, at] : aLinks.runs_) {
    starts.push_back(at);
  }
  std::sort(starts.begin(), starts.end());
  return starts;
}

WindowCheck
CheckWindows(const std::vector<TimePoint>& aStarts, double aRate, double aBurst)
{
  WindowCheck check(aRate, aBurst);
  for (const auto at : aStarts) {
    check.Charge(at);
  }
  return check;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_bucket_lends_no_more_than_its_burst_and_refills_at_its_rate)
{
  LimitHome home;
  FakeClock clock;
  BOOST_TEST(home.SetShare("t", { 10, 20 }, clock.Now()));
  BOOST_TEST(home.OnRequest(NodeAt(1, 1), 1, { "t", 1, 5, {} }, clock.Now()).tokens_ == 0U);
  home.Authorize(clock.Now());
  BOOST_TEST(home.OnRequest(NodeAt(1, 1), 1, { "t", 2, 5, {} }, clock.Now()).tokens_ == 0U);
  clock.Set(clock.Now() + std::chrono::seconds(10));
  std::uint32_t lent = 0;
  for (std::uint64_t sequence = 3; sequence < 60; ++sequence) {
    lent += home.OnRequest(NodeAt(1, 1), 1, { "t", sequence, 100, {} }, clock.Now()).tokens_;
  }
  BOOST_TEST(lent == 20U);
}

// Load pattern "small team": six of its callers come together, each at another node.
BOOST_AUTO_TEST_CASE(the_slack_of_a_small_team_is_divided_like_its_burst)
{
  VersionStore store;
  const auto document = MakeDocument({ .domains_ = 3, .rate_ = 6, .burst_ = 6 });
  BOOST_REQUIRE(store.Apply(FullDelta(Encode(document)), JsonPartCodec{}));
  const auto* team = store.Current()->FindTeam("small");
  BOOST_REQUIRE(team != nullptr);
  FakeClock clock;
  const auto lentAtOnce = [&](double aSlack) {
    LimitHome home;
    (void)home.SetShare("small", ShareOf(*store.Current(), *team, aSlack), clock.Now());
    home.Authorize(clock.Now());
    clock.Set(clock.Now() + std::chrono::seconds(10));
    std::uint32_t lent = 0;
    for (int node = 1; node <= 6; ++node) {
      lent += home.OnRequest(NodeAt(1, node), 1, { "small", 1, 1, {} }, clock.Now()).tokens_;
    }
    return lent;
  };
  BOOST_TEST(lentAtOnce(0) == 2U);
  BOOST_TEST(lentAtOnce(12) == 6U);
  // Over the three failure domains no more than the slack is added.
  const auto share = ShareOf(*store.Current(), *team, 12);
  BOOST_TEST(share.burst_ * 3 <= 6 + 12 + kRoundingSlack);
  BOOST_TEST(share.ratePerSecond_ * 3 <= 6 + kRoundingSlack);
}

BOOST_AUTO_TEST_CASE(tokens_on_loan_count_against_the_burst_until_they_are_closed_or_ended)
{
  LimitHome home;
  FakeClock clock;
  BOOST_TEST(home.SetShare("t", { 10, 20 }, clock.Now()));
  home.Authorize(clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(10));
  const auto lend = [&](std::uint64_t aSequence, std::vector<LeaseClosure> aClosures) {
    return home
      .OnRequest(NodeAt(1, 1), 1, { "t", aSequence, 100, std::move(aClosures) }, clock.Now())
      .tokens_;
  };
  BOOST_TEST(lend(1, {}) == 10U);
  clock.Set(clock.Now() + milliseconds(1900)); // long enough to refill 19 tokens
  std::uint32_t more = 0;
  for (std::uint64_t sequence = 2; sequence < 50; ++sequence) {
    more += lend(sequence, {});
  }
  BOOST_TEST(more == 10U);
  // Closing the first lease with 4 unspent tokens gives back 4, and nothing twice.
  auto givenBack = lend(50, { { 1, 4 }, { 1, 4 } });
  givenBack += lend(51, { { 1, 4 } });
  givenBack += lend(52, {});
  BOOST_TEST(givenBack == 4U);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_same_lease_and_a_late_one_gets_none)
{
  LimitHome home;
  FakeClock clock;
  BOOST_TEST(home.SetShare("t", { 10, 20 }, clock.Now()));
  home.Authorize(clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(10));
  const auto first = home.OnRequest(NodeAt(1, 1), 1, { "t", 7, 2, {} }, clock.Now());
  const auto again = home.OnRequest(NodeAt(1, 1), 1, { "t", 7, 2, {} }, clock.Now());
  BOOST_TEST((first == again || first.tokens_ == again.tokens_));
  BOOST_TEST(home.OnRequest(NodeAt(1, 1), 1, { "t", 6, 2, {} }, clock.Now()).tokens_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_home_waits_until_every_node_of_its_domain_confirmed_or_is_gone)
{
  HomeAuthority authority;
  FakeClock clock;
  authority.Begin(5, { NodeAt(1, 2), NodeAt(1, 3) }, clock.Now());
  authority.OnVersion(NodeAt(1, 2), 5, clock.Now());
  authority.OnVersion(NodeAt(1, 3), 4, clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(60));
  BOOST_TEST(!authority.TakeCompletion(5, clock.Now()));
  authority.OnGone(NodeAt(1, 3), clock.Now());
  BOOST_TEST(!authority.TakeCompletion(5, clock.Now())); // its last leases may still run
  clock.Set(clock.Now() + kLeaseTerm + kLeaseMargin);
  BOOST_TEST(authority.TakeCompletion(5, clock.Now()));
  BOOST_TEST(!authority.TakeCompletion(5, clock.Now()));
}

BOOST_AUTO_TEST_CASE(a_home_that_was_told_of_a_higher_version_waits_until_it_runs_it)
{
  HomeAuthority authority;
  FakeClock clock;
  authority.Begin(5, { NodeAt(1, 2) }, clock.Now());
  authority.OnVersion(NodeAt(1, 2), 8, clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(60));
  BOOST_TEST(!authority.TakeCompletion(5, clock.Now()));
  BOOST_TEST(authority.TakeCompletion(8, clock.Now()));
}

namespace {

constexpr DocumentShape kOneDomain{ .domains_ = 1,
                                    .nodesPerDomain_ = 4,
                                    .rate_ = 20,
                                    .burst_ = 20,
                                    .slots_ = 1000 };

/// \brief Overloads all nodes while the home of a team is hidden from the others and from a new
/// version that moves its duty; returns the check of rate and burst.
WindowCheck
OverloadWithHiddenHome(FakeLinks& aLinks, const std::function<void(nlohmann::json&)>& aMove)
{
  const auto nodes = StartAll(aLinks, kOneDomain);
  const auto hidden = FirstNode("home/large", nodes);
  aLinks.isCut_ = [=](const NodeAddress& aFrom, const NodeAddress& aTo) {
    return (aFrom == hidden) != (aTo == hidden);
  };
  aLinks.isPlatformCut_ = [=](const NodeAddress& aNode) { return aNode == hidden; };
  auto document = MakeDocument(kOneDomain);
  document["version"] = 2;
  aMove(document);
  aLinks.Publish(Encode(document));
  for (int i = 0; i < 2000; ++i) {
    aLinks.Call(nodes[static_cast<std::size_t>(i) % nodes.size()], "large");
    aLinks.Run(milliseconds(10));
  }
  BOOST_TEST(aLinks.At(hidden).Status().version_.number_ == 1U);
  const auto starts = StartsOf(aLinks);
  BOOST_TEST(starts.size() > 200U);
  return CheckWindows(starts, kOneDomain.rate_, kOneDomain.burst_);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_hidden_home_that_a_version_takes_out_has_no_second_beside_it)
{
  FakeLinks links(1);
  const auto check = OverloadWithHiddenHome(links, [](nlohmann::json& aDocument) {
    std::vector<NodeAddress> nodes;
    auto& servers = aDocument["services"][0]["backend_servers"];
    for (const auto& server : servers) {
      nodes.push_back(*NodeAddress::Parse(server["node"].get<std::string>()));
    }
    const auto home = FirstNode("home/large", nodes);
    servers.erase(
      static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), home) - nodes.begin()));
  });
  BOOST_TEST(check.Lowest() >= -kRoundingSlack);
}

BOOST_AUTO_TEST_CASE(a_hidden_home_that_a_version_outranks_has_no_second_beside_it)
{
  FakeLinks links(2);
  const auto check = OverloadWithHiddenHome(links, [&links](nlohmann::json& aDocument) {
    std::vector<NodeAddress> nodes;
    auto& servers = aDocument["services"][0]["backend_servers"];
    for (const auto& server : servers) {
      nodes.push_back(*NodeAddress::Parse(server["node"].get<std::string>()));
    }
    nodes.push_back(NodeAt(1, 50));
    for (int i = 51; FirstNode("home/large", nodes) != nodes.back(); ++i) {
      nodes.back() = NodeAt(1, i);
    }
    servers.push_back(
      { { "name", "added" }, { "failure_domain", "zone-1" }, { "node", nodes.back().Text() } });
    links.Start(nodes.back(), "zone-1");
  });
  BOOST_TEST(check.Lowest() >= -kRoundingSlack);
}

BOOST_AUTO_TEST_CASE(all_nodes_together_stay_within_rate_and_burst_under_attack)
{
  constexpr double kRate = 60;
  constexpr int kBurst = 60;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    FakeLinks links(seed);
    DocumentShape shape{
      .domains_ = 3, .nodesPerDomain_ = 3, .rate_ = kRate, .burst_ = kBurst, .slots_ = 1000
    };
    auto nodes = StartAll(links, shape);
    links.faults_ = { .loss_ = 0.05, .duplication_ = 0.1, .lateness_ = 0.1 };
    std::string cutDomain;
    links.isCut_ = [&](const NodeAddress& aFrom, const NodeAddress& aTo) {
      const auto inside = [&](const NodeAddress& aNode) {
        return aNode.Text().starts_with(cutDomain);
      };
      return !cutDomain.empty() && inside(aFrom) != inside(aTo);
    };
    std::set<NodeAddress> down;
    for (int round = 0; round < 60; ++round) {
      const auto victim = nodes[DrawIndex(links.random_, nodes.size())];
      switch (DrawIndex(links.random_, 5)) {
        case 0: // restart; an answer to nobody is nothing to check
          links.Start(victim, "zone-" + victim.Text().substr(4, 1));
          break;
        case 1:
          links.Freeze(victim);
          links.At(milliseconds(2500), [&links, victim] { links.Thaw(victim); });
          break;
        case 2:
          cutDomain = cutDomain.empty() ? victim.Text().substr(0, 6) : "";
          break;
        case 3: { // a node leaves or enters the document, which moves homes
          ++shape.version_;
          auto document = MakeDocument(shape);
          auto& servers = document["services"][0]["backend_servers"];
          servers.erase(DrawIndex(links.random_, servers.size()));
          links.Publish(Encode(document));
          break;
        }
        default:
          links.platformDown_ = !links.platformDown_;
          break;
      }
      // Quiet times let buckets and leases fill; storms then spend all that can be spent at once.
      const bool storm = DrawIndex(links.random_, 2) == 0;
      const int calls = storm ? 120 : 10;
      const auto few = 1 + DrawIndex(links.random_, 3);
      for (int i = 0; i < calls; ++i) {
        links.Call(
          nodes[(static_cast<std::size_t>(round) + DrawIndex(links.random_, few)) % nodes.size()],
          "large",
          "POST");
        links.Run(milliseconds(storm ? 2 : 100));
      }
    }
    links.Run(std::chrono::seconds(5));
    const auto starts = StartsOf(links);
    const auto check = CheckWindows(starts, kRate, kBurst);
    BOOST_TEST(starts.size() > 100U, "seed " << seed << " ran " << starts.size());
    BOOST_TEST(check.Lowest() >= -kRoundingSlack,
               "seed " << seed << " exceeded by " << -check.Lowest() << " of " << starts.size());
  }
}
