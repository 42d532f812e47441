#define BOOST_TEST_MODULE convergence
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

constexpr DocumentShape kShape{ .domains_ = 3, .nodesPerDomain_ = 3 };
constexpr std::chrono::seconds kTarget{ 8 }; // a change is in force everywhere within this time

EncodedDocument
VersionOf(std::uint64_t aNumber, DocumentShape aShape = kShape)
{
  aShape.version_ = aNumber;
  return Encode(MakeDocument(aShape));
}

void
ExpectVersion(FakeLinks& aLinks, const std::vector<NodeAddress>& aNodes, std::uint64_t aNumber)
{
  for (const auto& node : aNodes) {
    BOOST_TEST(aLinks.At(node).Status().version_.number_ == aNumber, node.Text());
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_version_reaches_every_node_in_time)
{
  FakeLinks links(1);
  const auto nodes = StartAll(links, kShape);
  ExpectVersion(links, nodes, 1);
  links.Publish(VersionOf(2));
  links.Run(kTarget);
  ExpectVersion(links, nodes, 2);
}

BOOST_AUTO_TEST_CASE(the_tree_alone_reaches_every_node_before_any_repair)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeLinks links(seed);
    const DocumentShape shape{ .domains_ = 2, .nodesPerDomain_ = 12 };
    const auto nodes = StartAll(links, shape);
    links.Publish(VersionOf(2, shape));
    // The watch answers within 200 ms; four hops of 2 ms follow. Repairs take a second and more.
    links.Run(milliseconds(300));
    ExpectVersion(links, nodes, 2);
  }
}

BOOST_AUTO_TEST_CASE(a_new_version_reaches_every_node_in_time_over_faulty_links)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FakeLinks links(seed);
    const auto nodes = StartAll(links, kShape);
    links.faults_ = { .loss_ = 0.2, .duplication_ = 0.1, .lateness_ = 0.1 };
    links.Publish(VersionOf(2));
    links.Run(kTarget);
    ExpectVersion(links, nodes, 2);
  }
}

BOOST_AUTO_TEST_CASE(a_stale_platform_moves_nobody_back_not_even_a_restarted_node)
{
  FakeLinks links(2);
  const auto nodes = StartAll(links, kShape);
  links.Publish(VersionOf(5));
  links.Run(kTarget);
  ExpectVersion(links, nodes, 5);
  links.Publish(VersionOf(4));
  links.Start(NodeAt(1, 1), "zone-1");
  std::uint64_t highest = 0;
  for (int i = 0; i < 1000; ++i) {
    links.Run(milliseconds(10));
    const auto status = links.At(NodeAt(1, 1)).Status();
    BOOST_TEST(status.version_.number_ >= highest);
    highest = std::max(highest, status.version_.number_);
    BOOST_TEST((status.state_ != NodeState::Serving || status.version_.number_ == 5));
  }
  ExpectVersion(links, nodes, 5);
}

BOOST_AUTO_TEST_CASE(a_bad_version_between_good_ones_is_refused_whole_and_fetched_once)
{
  FakeLinks links(3);
  const auto nodes = StartAll(links, kShape);
  const auto good = VersionOf(2);
  auto bad = nlohmann::json::parse(good.text_);
  bad["routes"] = { { { "name", "x" } } };
  links.PublishText(2, bad.dump());
  links.Run(kTarget);
  ExpectVersion(links, nodes, 1);
  std::uint64_t refusals = 0;
  for (const auto& node : nodes) {
    const auto& counters = links.At(node).Measures().Counters();
    const auto found = counters.find("platform_malformed_items");
    refusals += found == counters.end() ? 0 : found->second;
    BOOST_TEST((found == counters.end() || found->second <= 1U));
  }
  BOOST_TEST(refusals >= 1U);
  links.Publish(VersionOf(3));
  links.Run(kTarget);
  ExpectVersion(links, nodes, 3);
}

BOOST_AUTO_TEST_CASE(one_number_with_two_contents_is_reported_and_not_applied)
{
  FakeLinks links(4);
  const auto nodes = StartAll(links, kShape);
  const auto before = links.At(nodes.front()).Status().version_;
  links.Publish(VersionOf(1, { .domains_ = 3, .nodesPerDomain_ = 3, .rate_ = 999 }));
  links.Start(nodes.front(), "zone-1"); // it reads the other content
  links.Run(kTarget);
  for (const auto& node : nodes) {
    BOOST_TEST((links.At(node).Status().version_ == before));
  }
  const auto reported = std::any_of(nodes.begin(), nodes.end(), [&](const auto& aNode) {
    const auto& lines = links.LogOf(aNode);
    return std::any_of(lines.begin(), lines.end(), [](const auto& aLine) {
      return aLine.find("digest_conflict") != std::string::npos;
    });
  });
  BOOST_TEST(reported);
}

BOOST_AUTO_TEST_CASE(a_long_outage_of_the_platform_is_survived_and_read_gently)
{
  FakeLinks links(5);
  const DocumentShape shape{ .domains_ = 2, .nodesPerDomain_ = 12 };
  const auto nodes = StartAll(links, shape);
  links.platformDown_ = true;
  const auto before = links.platformReads_;
  links.Run(std::chrono::minutes(10));
  std::vector<double> perSecond;
  for (const auto& node : nodes) {
    const auto start = before.contains(node) ? before.at(node) : 0;
    perSecond.push_back(static_cast<double>(links.platformReads_[node] - start) / 600);
  }
  std::sort(perSecond.rbegin(), perSecond.rend());
  // 18,000 nodes in 15 failure domains stay below 2,000 reads a second: some watch, the others
  // stand in for them.
  const auto watchers = 2 * kWatchers;
  BOOST_TEST(perSecond.front() * 15 * kWatchers + perSecond[watchers] * 18000 < 2000);
  const auto id = links.Call(nodes.front(), "small");
  links.Run(milliseconds(500));
  BOOST_TEST((links.answers_.at(id).outcome_ == Outcome::Answered));
  links.Publish(VersionOf(2, shape));
  links.platformDown_ = false;
  links.Run(kTarget);
  ExpectVersion(links, nodes, 2);
}

BOOST_AUTO_TEST_CASE(a_cut_off_failure_domain_serves_on_and_catches_up)
{
  FakeLinks links(6);
  const auto nodes = StartAll(links, kShape);
  const auto inside = [](const NodeAddress& aNode) { return aNode.Text().starts_with("127.3."); };
  links.isCut_ = [&](const NodeAddress& aFrom, const NodeAddress& aTo) {
    return inside(aFrom) != inside(aTo);
  };
  links.platformDown_ = true;
  links.Run(std::chrono::seconds(5));
  const auto id = links.Call(NodeAt(3, 1), "small");
  links.Run(std::chrono::seconds(2));
  BOOST_TEST((links.answers_.at(id).outcome_ == Outcome::Answered));
  links.Run(std::chrono::seconds(300));
  const auto keyed = links.Call(NodeAt(3, 1), "small");
  const auto open = links.Call(NodeAt(3, 1), "", "GET", "/public/x");
  links.Run(std::chrono::seconds(2));
  BOOST_TEST((links.answers_.at(keyed).reason_ == Reason::CutOff));
  BOOST_TEST((links.answers_.at(open).outcome_ == Outcome::Answered));
  links.platformDown_ = false;
  links.isCut_ = {};
  links.Publish(VersionOf(2));
  links.Run(kTarget);
  ExpectVersion(links, nodes, 2);
}

BOOST_AUTO_TEST_CASE(a_frozen_node_wakes_into_the_newest_version)
{
  FakeLinks links(7);
  const auto nodes = StartAll(links, kShape);
  links.Freeze(NodeAt(2, 2));
  for (std::uint64_t version = 2; version <= 6; ++version) {
    links.Publish(VersionOf(version));
    links.Run(std::chrono::seconds(3));
  }
  links.Thaw(NodeAt(2, 2));
  links.Run(kTarget);
  ExpectVersion(links, nodes, 6);
}

BOOST_AUTO_TEST_CASE(a_lone_restarted_node_that_hears_nobody_serves_open_routes_only)
{
  FakeLinks links(8);
  StartAll(links, kShape);
  links.isCut_ = [](const NodeAddress&, const NodeAddress&) { return true; };
  links.Start(NodeAt(1, 1), "zone-1");
  links.Run(std::chrono::seconds(10));
  BOOST_TEST((links.At(NodeAt(1, 1)).Status().state_ == NodeState::OpenRoutesOnly));
  const auto keyed = links.Call(NodeAt(1, 1), "small");
  const auto open = links.Call(NodeAt(1, 1), "", "GET", "/public/x");
  links.Run(std::chrono::seconds(3));
  BOOST_TEST((links.answers_.at(keyed).reason_ == Reason::CutOff));
  BOOST_TEST(links.RunsOf(keyed) == 0U);
  BOOST_TEST(links.answers_.contains(open));
}
