#define BOOST_TEST_MODULE convergence
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

constexpr DocumentOptions kShape{ .domains_ = 3, .nodesPerDomain_ = 3 };
constexpr std::chrono::seconds kTarget{ 8 }; // time within which every node runs a version

EncodedDocument
MakeVersion(std::uint64_t aNumber, DocumentOptions aOptions = kShape)
{
  aOptions.version_ = aNumber;
  return Encode(MakeDocument(aOptions));
}

void
ExpectVersion(FakeMesh& aMesh, const std::vector<NodeAddress>& aNodes, std::uint64_t aNumber)
{
  for (const auto& node : aNodes) {
    BOOST_TEST(aMesh.At(node).Status().version_.number_.document_ == aNumber, node.Text());
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_version_reaches_every_node_in_time)
{
  FakeMesh mesh(1);
  const auto nodes = StartAll(mesh, kShape);
  ExpectVersion(mesh, nodes, 1);
  mesh.Publish(MakeVersion(2));
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 2);
}

BOOST_AUTO_TEST_CASE(the_tree_alone_reaches_every_node_before_any_repair)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeMesh mesh(seed);
    const DocumentOptions shape{ .domains_ = 2, .nodesPerDomain_ = 12 };
    const auto nodes = StartAll(mesh, shape);
    mesh.Publish(MakeVersion(2, shape));
    // The watch returns within 200 ms and four hops take 2 ms each; a repair takes at least 1 s.
    mesh.Run(milliseconds(300));
    ExpectVersion(mesh, nodes, 2);
  }
}

// Guards against a version that misses the nodes below a failed one of the tree, or a failure
// domain whose watchers have failed, for longer than the bound: few nodes read the platform.
BOOST_AUTO_TEST_CASE(few_watchers_keep_the_bound_while_nodes_fail)
{
  constexpr milliseconds kBound{ 2000 }; // for applying a version, the tightest one stated
  constexpr int kStoppedPercent = 15;
  constexpr int kUnreachablePercent = 20;
  constexpr DocumentOptions shape{ .domains_ = 3, .nodesPerDomain_ = 20 };
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      FakeMesh mesh(seed);
      const auto nodes = StartAll(mesh, shape);
      std::mt19937_64 random(seed);
      const auto draw = [&](int aPercent) {
        return random() % 100 < static_cast<unsigned>(aPercent);
      };
      std::set<NodeAddress> unreachable; // from the platform
      std::vector<NodeAddress> running;
      const bool domainWithoutWatchers = seed % 2 == 0;
      for (const auto& node : nodes) {
        const bool isWatcher = mesh.At(node).Status().watcher_;
        if (domainWithoutWatchers && isWatcher &&
            mesh.At(node).Status().failureDomain_ == "zone-1") {
          mesh.Pause(node);
        } else if (draw(kStoppedPercent)) {
          draw(50) ? mesh.Kill(node) : mesh.Pause(node);
        } else {
          running.push_back(node);
          if (draw(kUnreachablePercent)) {
            unreachable.insert(node);
          }
        }
      }
      mesh.isPlatformUnreachable_ = [&](const NodeAddress& aNode) {
        return unreachable.contains(aNode);
      };
      mesh.Run(milliseconds(random() % 500));
      mesh.Publish(MakeVersion(2, shape));
      mesh.Run(kBound);
      ExpectVersion(mesh, running, 2);
    }
  }
}

// Load pattern "calm day at size": what the platform is asked, against one read a change and node.
BOOST_AUTO_TEST_CASE(a_change_costs_few_reads)
{
  constexpr DocumentOptions shape{ .domains_ = 3, .nodesPerDomain_ = 20 };
  FakeMesh mesh(1);
  const auto nodes = StartAll(mesh, shape);
  const auto countReaders = [&] {
    const auto before = mesh.platformReads_;
    mesh.Publish(MakeVersion(2, shape));
    mesh.Run(kTarget);
    return std::count_if(nodes.begin(), nodes.end(), [&](const NodeAddress& aNode) {
      const auto known = before.find(aNode);
      return mesh.platformReads_[aNode] > (known == before.end() ? 0 : known->second);
    });
  };
  BOOST_TEST(countReaders() <= 2 * shape.domains_);
  ExpectVersion(mesh, nodes, 2);
}

BOOST_AUTO_TEST_CASE(a_new_version_reaches_every_node_in_time_over_faulty_links)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FakeMesh mesh(seed);
    const auto nodes = StartAll(mesh, kShape);
    mesh.faults_ = { .lossProbability_ = 0.2,
                     .duplicationProbability_ = 0.1,
                     .delayProbability_ = 0.1 };
    mesh.Publish(MakeVersion(2));
    mesh.Run(kTarget);
    ExpectVersion(mesh, nodes, 2);
  }
}

BOOST_AUTO_TEST_CASE(a_stale_platform_rolls_no_node_back_not_even_a_restarted_one)
{
  FakeMesh mesh(2);
  const auto nodes = StartAll(mesh, kShape);
  mesh.Publish(MakeVersion(5));
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 5);
  mesh.Publish(MakeVersion(4));
  mesh.Start(NodeAt(1, 1), "zone-1");
  std::uint64_t highest = 0;
  for (int i = 0; i < 1000; ++i) {
    mesh.Run(milliseconds(10));
    const auto status = mesh.At(NodeAt(1, 1)).Status();
    BOOST_TEST(status.version_.number_.document_ >= highest);
    highest = std::max(highest, status.version_.number_.document_);
    BOOST_TEST((status.state_ != NodeState::Serving || status.version_.number_.document_ == 5));
  }
  ExpectVersion(mesh, nodes, 5);
}

BOOST_AUTO_TEST_CASE(an_invalid_version_is_refused_completely_and_read_once)
{
  FakeMesh mesh(3);
  const auto nodes = StartAll(mesh, kShape);
  const auto good = MakeVersion(2);
  auto bad = nlohmann::json::parse(good.text_);
  bad["routes"] = { { { "name", "x" } } };
  mesh.PublishText(2, bad.dump());
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 1);
  std::uint64_t refusals = 0;
  for (const auto& node : nodes) {
    const auto& counters = mesh.At(node).GetMetrics().Counters();
    const auto found = counters.find("platform_malformed_items");
    refusals += found == counters.end() ? 0 : found->second;
    BOOST_TEST((found == counters.end() || found->second <= 1U));
  }
  BOOST_TEST(refusals >= 1U);
  mesh.Publish(MakeVersion(3));
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 3);
}

BOOST_AUTO_TEST_CASE(one_number_with_two_contents_is_reported_and_not_applied)
{
  FakeMesh mesh(4);
  const auto nodes = StartAll(mesh, kShape);
  const auto before = mesh.At(nodes.front()).Status().version_;
  mesh.Publish(MakeVersion(1, { .domains_ = 3, .nodesPerDomain_ = 3, .rate_ = 999 }));
  mesh.Start(nodes.front(), "zone-1"); // the restarted node reads the other content
  mesh.Run(kTarget);
  for (const auto& node : nodes) {
    BOOST_TEST((mesh.At(node).Status().version_ == before));
  }
  const auto reported = std::any_of(nodes.begin(), nodes.end(), [&](const auto& aNode) {
    const auto& lines = mesh.GetLog(aNode);
    return std::any_of(lines.begin(), lines.end(), [](const auto& aLine) {
      return aLine.find("digest_conflict") != std::string::npos;
    });
  });
  BOOST_TEST(reported);
}

BOOST_AUTO_TEST_CASE(nodes_keep_serving_and_limit_their_reads_during_a_long_platform_outage)
{
  FakeMesh mesh(5);
  const DocumentOptions shape{ .domains_ = 2, .nodesPerDomain_ = 12 };
  const auto nodes = StartAll(mesh, shape);
  mesh.platformDown_ = true;
  const auto before = mesh.platformReads_;
  mesh.Run(std::chrono::minutes(10));
  std::vector<double> perSecond;
  for (const auto& node : nodes) {
    const auto start = before.contains(node) ? before.at(node) : 0;
    perSecond.push_back(static_cast<double>(mesh.platformReads_[node] - start) / 600);
  }
  std::sort(perSecond.rbegin(), perSecond.rend());
  // Extrapolated to 18,000 nodes in 15 failure domains, watchers and backup watchers together must
  // stay below 2,000 reads per second.
  const auto watchers = 2 * kWatchers;
  BOOST_TEST(perSecond.front() * 15 * kWatchers + perSecond[watchers] * 18000 < 2000);
  const auto id = mesh.Call(nodes.front(), "small");
  mesh.Run(milliseconds(500));
  BOOST_TEST((mesh.answers_.at(id).outcome_ == Outcome::Answered));
  mesh.Publish(MakeVersion(2, shape));
  mesh.platformDown_ = false;
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 2);
}

// A listing whose pages repeat, or never end, was read without a pause for as long as it went on.
BOOST_AUTO_TEST_CASE(a_listing_without_end_is_a_failed_read)
{
  int pages = 0;
  const auto makeRepeatedPage = [&](const std::string& /*aAfterKey*/) {
    return ItemsRead{ .result_ = ReadResult::Complete,
                      .items_ = { { "other/1", "{}" } },
                      .hasMore_ = true,
                      .revision_ = 1 };
  };
  const auto makeNextPage = [&](const std::string& /*aAfterKey*/) {
    ++pages;
    ItemsRead page{ .result_ = ReadResult::Complete, .hasMore_ = true, .revision_ = 1 };
    for (int i = 0; i < 500; ++i) {
      page.items_.push_back({ "other/" + std::to_string(1'000'000 + pages * 500 + i), "{}" });
    }
    return page;
  };
  const std::vector<std::function<ItemsRead(const std::string&)>> responses{ makeRepeatedPage,
                                                                             makeNextPage };
  for (const auto& response : responses) {
    FakeMesh mesh(8);
    const DocumentOptions shape{ .domains_ = 1, .nodesPerDomain_ = 1 };
    mesh.makePage_ = response;
    const auto nodes = StartAll(mesh, shape);
    mesh.Run(std::chrono::seconds(4));
    // A listing is abandoned after 100 pages of 500 items, with a pause of up to 1 s after it.
    BOOST_TEST(mesh.platformReads_[nodes.front()] < 1500U);
    const auto& log = mesh.GetLog(nodes.front());
    BOOST_TEST(std::any_of(log.begin(), log.end(), [](const std::string& aLine) {
      return aLine.find("platform_lost") != std::string::npos;
    }));
    mesh.makePage_ = nullptr;
    mesh.Run(kTarget);
    ExpectVersion(mesh, nodes, 1);
  }
}

BOOST_AUTO_TEST_CASE(an_isolated_failure_domain_keeps_serving_and_catches_up)
{
  FakeMesh mesh(6);
  const auto nodes = StartAll(mesh, kShape);
  const auto inside = [](const NodeAddress& aNode) { return aNode.Text().starts_with("127.3."); };
  mesh.isPartitioned_ = [&](const NodeAddress& aFrom, const NodeAddress& aTo) {
    return inside(aFrom) != inside(aTo);
  };
  mesh.platformDown_ = true;
  mesh.Run(std::chrono::seconds(5));
  const auto id = mesh.Call(NodeAt(3, 1), "small");
  mesh.Run(std::chrono::seconds(2));
  BOOST_TEST((mesh.answers_.at(id).outcome_ == Outcome::Answered));
  mesh.Run(std::chrono::seconds(300));
  const auto keyed = mesh.Call(NodeAt(3, 1), "small");
  const auto open = mesh.Call(NodeAt(3, 1), "", "GET", "/public/x");
  mesh.Run(std::chrono::seconds(2));
  BOOST_TEST((mesh.answers_.at(keyed).reason_ == Reason::CutOff));
  BOOST_TEST((mesh.answers_.at(open).outcome_ == Outcome::Answered));
  mesh.platformDown_ = false;
  mesh.isPartitioned_ = {};
  mesh.Publish(MakeVersion(2));
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 2);
}

BOOST_AUTO_TEST_CASE(a_frozen_node_catches_up_to_the_newest_version)
{
  FakeMesh mesh(7);
  const auto nodes = StartAll(mesh, kShape);
  mesh.Pause(NodeAt(2, 2));
  for (std::uint64_t version = 2; version <= 6; ++version) {
    mesh.Publish(MakeVersion(version));
    mesh.Run(std::chrono::seconds(3));
  }
  mesh.Resume(NodeAt(2, 2));
  mesh.Run(kTarget);
  ExpectVersion(mesh, nodes, 6);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_without_any_contact_serves_open_routes_only)
{
  FakeMesh mesh(8);
  StartAll(mesh, kShape);
  mesh.isPartitioned_ = [](const NodeAddress&, const NodeAddress&) { return true; };
  mesh.Start(NodeAt(1, 1), "zone-1");
  mesh.Run(std::chrono::seconds(10));
  BOOST_TEST((mesh.At(NodeAt(1, 1)).Status().state_ == NodeState::OpenRoutesOnly));
  const auto keyed = mesh.Call(NodeAt(1, 1), "small");
  const auto open = mesh.Call(NodeAt(1, 1), "", "GET", "/public/x");
  mesh.Run(std::chrono::seconds(3));
  BOOST_TEST((mesh.answers_.at(keyed).reason_ == Reason::CutOff));
  BOOST_TEST(mesh.CountRuns(keyed) == 0U);
  BOOST_TEST(mesh.answers_.contains(open));
}
