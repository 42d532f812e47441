#define BOOST_TEST_MODULE silent_links
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

/// Time in which nodes must have recovered from connections that became silent.
constexpr milliseconds kContactBound{ 3000 };
/// Time for applying a version, the tightest one stated.
constexpr milliseconds kApplyBound{ 2000 };
/// Time in which the nodes open connections before they become silent.
constexpr milliseconds kWarmUp{ 20'000 };

constexpr DocumentOptions kSizes[] = { { .domains_ = 1, .nodesPerDomain_ = 2 },
                                       { .domains_ = 2, .nodesPerDomain_ = 2 },
                                       { .domains_ = 3, .nodesPerDomain_ = 9 },
                                       { .domains_ = 3, .nodesPerDomain_ = 30 } };

void
PublishVersion(FakeMesh& aMesh, DocumentOptions aOptions, std::uint64_t aNumber)
{
  aOptions.version_ = aNumber;
  aMesh.Publish(Encode(MakeDocument(aOptions)));
}

/// Sends a request of a caller at each node, and returns how many were answered in time.
std::size_t
CountAnswered(FakeMesh& aMesh, const std::vector<NodeAddress>& aNodes)
{
  std::vector<CallId> ids;
  ids.reserve(aNodes.size());
  for (const auto& node : aNodes) {
    ids.push_back(aMesh.Call(node, "small", "GET", "/public/1"));
  }
  aMesh.Run(milliseconds(1000));
  return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [&](const CallId& aId) {
    return aMesh.answers_.contains(aId) && aMesh.answers_.at(aId).outcome_ == Outcome::Answered;
  }));
}

void
ExpectRecovery(FakeMesh& aMesh,
               const std::vector<NodeAddress>& aNodes,
               const DocumentOptions& aSize,
               const std::function<bool(const NodeAddress&, const NodeAddress&)>& aIsAffected)
{
  aMesh.Run(kWarmUp);
  aMesh.SilenceConnections(aIsAffected);
  BOOST_TEST(aMesh.CountSilentConnections() > 0U);
  aMesh.Run(kContactBound);
  BOOST_TEST(aMesh.CountSilentConnections() == 0U);
  PublishVersion(aMesh, aSize, 2);
  aMesh.Run(kApplyBound);
  for (const auto& node : aNodes) {
    BOOST_TEST(aMesh.At(node).Status().version_.number_.document_ == 2U, node.Text());
  }
  BOOST_TEST(CountAnswered(aMesh, aNodes) == aNodes.size());
}

} // namespace

// Guards against connections between nodes that stay in use after they became silent: versions did
// not arrive within the bound, and requests to other nodes failed from then on.
BOOST_AUTO_TEST_CASE(all_connections_between_nodes_become_silent_at_every_size)
{
  for (const auto& size : kSizes) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      BOOST_TEST_CONTEXT(size.domains_ << " x " << size.nodesPerDomain_ << ", seed " << seed)
      {
        FakeMesh mesh(seed);
        const auto nodes = StartAll(mesh, size);
        ExpectRecovery(
          mesh, nodes, size, [](const NodeAddress&, const NodeAddress&) { return true; });
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(all_connections_of_300_nodes_become_silent)
{
  constexpr DocumentOptions size{ .domains_ = 3, .nodesPerDomain_ = 100 };
  FakeMesh mesh(1);
  const auto nodes = StartAll(mesh, size);
  ExpectRecovery(mesh, nodes, size, [](const NodeAddress&, const NodeAddress&) { return true; });
}

// The confirmations of one connection travel on the other one of the two nodes.
BOOST_AUTO_TEST_CASE(connections_of_one_direction_become_silent)
{
  constexpr DocumentOptions size{ .domains_ = 3, .nodesPerDomain_ = 9 };
  for (const bool upwards : { true, false }) {
    FakeMesh mesh(1);
    const auto nodes = StartAll(mesh, size);
    ExpectRecovery(mesh, nodes, size, [upwards](const NodeAddress& aFrom, const NodeAddress& aTo) {
      return (aFrom < aTo) == upwards;
    });
  }
}

// Requests meet silent connections at most once: those of both directions are replaced together.
BOOST_AUTO_TEST_CASE(few_requests_fail_after_connections_became_silent)
{
  constexpr DocumentOptions size{ .domains_ = 3, .nodesPerDomain_ = 9 };
  FakeMesh mesh(1);
  const auto nodes = StartAll(mesh, size);
  for (int i = 0; i < 10; ++i) {
    CountAnswered(mesh, nodes);
  }
  mesh.SilenceConnections([](const NodeAddress&, const NodeAddress&) { return true; });
  mesh.Run(kContactBound);
  std::size_t answered = 0;
  for (int i = 0; i < 10; ++i) {
    answered += CountAnswered(mesh, nodes);
  }
  BOOST_TEST(answered == 10 * nodes.size());
}

// A partition is no silent connection: the replacements must not grow with its length.
BOOST_AUTO_TEST_CASE(unreachable_peers_cost_few_replacements)
{
  constexpr DocumentOptions size{ .domains_ = 3, .nodesPerDomain_ = 9 };
  FakeMesh mesh(1);
  const auto nodes = StartAll(mesh, size);
  mesh.Run(kWarmUp);
  const auto& isolated = nodes.front();
  mesh.isPartitioned_ = [&](const NodeAddress& aFrom, const NodeAddress& aTo) {
    return (aFrom == isolated) != (aTo == isolated);
  };
  constexpr int kSeconds = 30;
  mesh.Run(std::chrono::seconds(kSeconds));
  std::uint64_t replaced = 0;
  for (const auto& node : nodes) {
    const auto& counts = mesh.At(node).GetMetrics().Counters();
    const auto found = counts.find("links_replaced");
    replaced += node == isolated || found == counts.end() ? 0 : found->second;
  }
  BOOST_TEST(replaced <= std::uint64_t{ kSeconds } / 2 * (nodes.size() - 1));
  mesh.isPartitioned_ = {};
  mesh.Run(kContactBound);
  BOOST_TEST(CountAnswered(mesh, nodes) == nodes.size());
}
