#define BOOST_TEST_MODULE call_routes
#include "geraniumpin/process/call_routes.hpp"

#include "geraniumpin/process/random.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;

namespace {

NodeAddress
NodeAt(std::size_t aIndex)
{
  return *NodeAddress::Parse("10.0.0." + std::to_string(aIndex) + ":7000");
}

/// Ten nodes of "portal", seven of "booking" and one of "registry".
std::vector<NodeService>
MakeNodes()
{
  std::vector<NodeService> nodes;
  for (std::size_t i = 0; i < 18; ++i) {
    nodes.push_back({ NodeAt(i), i < 10 ? "portal" : i < 17 ? "booking" : "registry" });
  }
  return nodes;
}

CallRoutes
MakeCallRoutes()
{
  CallRoutes routes;
  routes.SetNodes(MakeNodes());
  return routes;
}

} // namespace

// Load pattern "started requests fail by their calls": without teams, calls waited and were refused
// like new requests.
BOOST_AUTO_TEST_CASE(a_route_used_by_the_nodes_of_one_service_is_one_of_calls)
{
  auto routes = MakeCallRoutes();
  std::mt19937_64 random(1);
  for (int i = 0; i < 40; ++i) {
    routes.Record("slot-check", NodeAt(DrawIndex(random, 10)));
  }
  BOOST_TEST(routes.IsCallRoute("slot-check"));
  BOOST_TEST(!routes.IsCallRoute("unknown"));
}

BOOST_AUTO_TEST_CASE(few_requests_are_no_evidence)
{
  auto routes = MakeCallRoutes();
  for (int i = 0; i < 10; ++i) {
    routes.Record("slot-check", NodeAt(0));
  }
  BOOST_TEST(!routes.IsCallRoute("slot-check"));
}

// Property: whatever the seed, requests from all nodes are never taken for calls. A service with
// one node of eighteen often sends none of the first requests.
BOOST_AUTO_TEST_CASE(a_route_used_by_all_nodes_is_one_of_callers)
{
  for (unsigned seed = 1; seed <= 50; ++seed) {
    auto routes = MakeCallRoutes();
    std::mt19937_64 random(seed);
    for (int i = 0; i < 1000; ++i) {
      routes.Record("read", NodeAt(DrawIndex(random, 18)));
      BOOST_TEST(!routes.IsCallRoute("read"), "seed " << seed << ", request " << i);
    }
  }
}

BOOST_AUTO_TEST_CASE(single_requests_of_callers_do_not_hide_calls)
{
  auto routes = MakeCallRoutes();
  std::mt19937_64 random(1);
  for (int i = 0; i < 400; ++i) {
    routes.Record("slot-check", i % 200 == 0 ? NodeAt(12) : NodeAt(DrawIndex(random, 10)));
  }
  BOOST_TEST(routes.IsCallRoute("slot-check"));
}

// Guards against a route that callers begin to use and whose requests would go on being preferred.
BOOST_AUTO_TEST_CASE(a_route_that_callers_begin_to_use_is_no_longer_one_of_calls)
{
  auto routes = MakeCallRoutes();
  std::mt19937_64 random(1);
  for (int i = 0; i < 400; ++i) {
    routes.Record("slot-check", NodeAt(DrawIndex(random, 10)));
  }
  for (int i = 0; i < 100; ++i) {
    routes.Record("slot-check", NodeAt(DrawIndex(random, 18)));
  }
  BOOST_TEST(!routes.IsCallRoute("slot-check"));
}

BOOST_AUTO_TEST_CASE(nodes_of_one_service_show_nothing)
{
  CallRoutes routes;
  routes.SetNodes({ { NodeAt(0), "portal" }, { NodeAt(1), "portal" } });
  for (int i = 0; i < 400; ++i) {
    routes.Record("read", NodeAt(i % 2 == 0 ? 0U : 1U));
  }
  routes.Record("read", NodeAt(9)); // of another failure domain
  BOOST_TEST(!routes.IsCallRoute("read"));
}

BOOST_AUTO_TEST_CASE(the_number_of_counted_routes_is_bounded)
{
  auto routes = MakeCallRoutes();
  for (std::size_t route = 0; route < 3 * CallRoutes::kMaxRoutes; ++route) {
    for (int i = 0; i < 40; ++i) {
      routes.Record("call-" + std::to_string(route), NodeAt(0));
    }
  }
  BOOST_TEST(routes.IsCallRoute("call-" + std::to_string(3 * CallRoutes::kMaxRoutes - 1)));
}
