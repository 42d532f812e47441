#define BOOST_TEST_MODULE membership
#include "../support/documents.hpp"
#include "geraniumpin/process/dissemination.hpp"
#include "geraniumpin/process/last_contact.hpp"
#include "geraniumpin/process/log_event.hpp"
#include "geraniumpin/process/membership.hpp"
#include "geraniumpin/process/metrics.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/watcher_rank.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

std::vector<NodeAddress>
MakeNodes(int aCount)
{
  std::vector<NodeAddress> nodes;
  for (int i = 1; i <= aCount; ++i) {
    nodes.push_back(NodeAt(1 + i / 250, 1 + i % 250));
  }
  return nodes;
}

} // namespace

// A node whose failure domain had no instance ran its timers without a pause.
BOOST_AUTO_TEST_CASE(a_failure_domain_without_nodes_is_probed_at_the_usual_pace)
{
  Membership members(NodeAt(1, 1), "zone-1", 1);
  std::mt19937_64 random(1);
  BOOST_TEST(!members.NextProbe({}, kStart, random));
  BOOST_TEST((members.NextDeadline() > kStart));
}

BOOST_AUTO_TEST_CASE(a_member_without_probe_answers_is_suspected_until_its_next_message)
{
  Membership members(NodeAt(1, 1), "zone-1", 1);
  std::mt19937_64 random(1);
  members.OnContact(NodeAt(1, 2), 7, kStart);
  BOOST_TEST(members.AcceptsWork(NodeAt(1, 2)));
  auto now = kStart;
  BOOST_TEST((members.NextProbe({ NodeAt(1, 2) }, now, random) == NodeAt(1, 2)));
  now += Membership::kProbeTimeout;
  BOOST_TEST(members.CheckProbes(now).empty());
  now += Membership::kProbeTimeout;
  BOOST_TEST(members.CheckProbes(now).size() == 1U);
  BOOST_TEST(!members.AcceptsWork(NodeAt(1, 2)));
  const auto gossip = members.NextGossipEvents();
  BOOST_REQUIRE(gossip.size() == 1U);
  BOOST_TEST((gossip.front().state_ == MemberState::Suspect));
  members.OnContact(NodeAt(1, 2), 7, now);
  BOOST_TEST(members.AcceptsWork(NodeAt(1, 2)));
}

BOOST_AUTO_TEST_CASE(a_node_refutes_a_suspicion_and_a_later_incarnation_resets_its_state)
{
  Membership suspect(NodeAt(1, 2), "zone-1", 7);
  Membership other(NodeAt(1, 1), "zone-1", 1);
  const MemberEvent event{ NodeAt(1, 2), 7, 0, MemberState::Suspect };
  other.OnEvents({ event });
  BOOST_TEST(!other.AcceptsWork(NodeAt(1, 2)));
  suspect.OnEvents({ event });
  other.OnEvents(suspect.NextGossipEvents());
  BOOST_TEST(other.AcceptsWork(NodeAt(1, 2)));
  suspect.BeginLeaving();
  other.OnEvents(suspect.NextGossipEvents());
  BOOST_TEST(!other.AcceptsWork(NodeAt(1, 2)));
  other.OnContact(NodeAt(1, 2), 7, kStart); // still leaving
  BOOST_TEST(!other.AcceptsWork(NodeAt(1, 2)));
  other.OnContact(NodeAt(1, 2), 8, kStart);
  BOOST_TEST(other.AcceptsWork(NodeAt(1, 2)));
}

BOOST_AUTO_TEST_CASE(the_vm_list_marks_leaving_and_terminated_nodes_and_ignores_lower_revisions)
{
  Membership members(NodeAt(1, 1), "zone-1", 1);
  const auto list = [](std::uint64_t aRevision, bool aLeaving) {
    return VmList{
      aRevision, { { NodeAt(1, 1), {}, "zone-1", false }, { NodeAt(1, 2), {}, "zone-1", aLeaving } }
    };
  };
  members.OnVmList(list(2, false));
  members.OnVmList(list(3, true));
  BOOST_TEST(!members.AcceptsWork(NodeAt(1, 2)));
  members.OnVmList({ 4, { { NodeAt(1, 1), {}, "zone-1", false } } });
  BOOST_TEST(members.IsTerminated(NodeAt(1, 2), kStart));
  members.OnVmList(list(2, false));
  BOOST_TEST(members.IsTerminated(NodeAt(1, 2), kStart));
}

// A platform that comes back from an older copy lists fewer VMs until its list is written again.
// The VMs that it lacked got no work until their next start.
BOOST_AUTO_TEST_CASE(a_node_whose_vm_is_listed_again_accepts_work)
{
  const auto list = [](std::uint64_t aRevision, const std::vector<NodeAddress>& aNodes) {
    VmList vms{ .revision_ = aRevision };
    for (const auto& node : aNodes) {
      vms.vms_.push_back({ node, {}, "zone-1", false });
    }
    return vms;
  };
  Membership reader(NodeAt(1, 1), "zone-1", 1);
  Membership other(NodeAt(1, 2), "zone-1", 1); // learns of VMs by its peers only
  const auto node = NodeAt(1, 3);
  reader.OnContact(node, 7, kStart);
  other.OnContact(node, 7, kStart);
  reader.OnVmList(list(1, { NodeAt(1, 1), NodeAt(1, 2), node }));
  for (std::uint64_t revision = 2; revision < 6; revision += 2) {
    reader.OnVmList(list(revision, { NodeAt(1, 1), NodeAt(1, 2) }));
    const auto gone = reader.NextGossipEvents();
    other.OnEvents(gone);
    BOOST_TEST(!reader.AcceptsWork(node));
    BOOST_TEST(!other.AcceptsWork(node));
    reader.OnVmList(list(revision + 1, { NodeAt(1, 1), NodeAt(1, 2), node }));
    BOOST_TEST(reader.AcceptsWork(node));
    other.OnEvents(reader.NextGossipEvents());
    BOOST_TEST(other.AcceptsWork(node));
    other.OnEvents(gone); // arrives again, late
    BOOST_TEST(other.AcceptsWork(node));
  }
}

BOOST_AUTO_TEST_CASE(the_tree_reaches_every_node_exactly_once)
{
  const auto nodes = MakeNodes(1200);
  std::set<NodeAddress> reached;
  std::vector<NodeAddress> frontier{ RankNodes("tree/7", nodes).front() };
  while (!frontier.empty()) {
    std::vector<NodeAddress> next;
    for (const auto& node : frontier) {
      BOOST_TEST(reached.insert(node).second);
      for (const auto& child : TreeChildren(kPushTree, 7, node, nodes)) {
        next.push_back(child);
      }
    }
    frontier = next;
  }
  BOOST_TEST(reached.size() == nodes.size());
  BOOST_TEST((RankNodes("tree/7", nodes) != RankNodes("tree/8", nodes)));
  BOOST_TEST(TreeRoots(kPushTree, 7, nodes.front(), nodes).size() <= kTreeRoots);
}

BOOST_AUTO_TEST_CASE(ranks_agree_and_a_removed_node_moves_only_its_own_assignments)
{
  auto nodes = MakeNodes(40);
  const auto ranked = RankNodes("home/t", nodes);
  BOOST_TEST((FirstNode("home/t", nodes) == ranked.front()));
  BOOST_TEST(FindRank("home/t", ranked[5], nodes) == 5U);
  std::erase(nodes, ranked[3]);
  BOOST_TEST((FirstNode("home/t", nodes) == ranked.front()));
}

BOOST_AUTO_TEST_CASE(higher_ranks_read_the_platform_only_after_a_longer_outage)
{
  const auto at = [](std::size_t aRank, std::size_t aMembers, Duration aAge) {
    return ShouldWatchPlatform(
      { .watcherRank_ = { aRank, aMembers, 5 * aMembers }, .platformAge_ = aAge });
  };
  BOOST_TEST(at(0, 100, {}));
  BOOST_TEST(!at(kWatchers, 100, kWatchTakeoverDelay));
  BOOST_TEST(at(kWatchers, 100, kWatchTakeoverDelay + milliseconds(1)));
  BOOST_TEST(!at(100, 200, milliseconds(60000)));
}

// Load patterns "burst of versions" and "calm day at size": every watcher reads each change, and
// gets the whole document with it. Six watchers of each failure domain were the largest cost of a
// calm day.
BOOST_AUTO_TEST_CASE(all_nodes_of_a_small_deployment_watch_and_two_of_each_domain_of_a_large_one)
{
  const auto watchers = [](std::size_t aMembers, std::size_t aTotal) {
    std::size_t count = 0;
    for (std::size_t rank = 0; rank < aMembers; ++rank) {
      const WatcherRank watcherRank{ rank, aMembers, aTotal };
      count += ShouldWatchPlatform({ .watcherRank_ = watcherRank, .platformAge_ = {} }) ? 1 : 0;
    }
    return count;
  };
  BOOST_TEST(watchers(1, 1) == 1U);
  BOOST_TEST(watchers(4, 12) == 4U);
  BOOST_TEST(watchers(6, 16) == 6U);
  BOOST_TEST(watchers(6, 28) == 2U);
  BOOST_TEST(watchers(1, 28) == 1U);
  BOOST_TEST(watchers(60, 296) == 2U);
  BOOST_TEST(watchers(1200, 18000) == 2U);
}

BOOST_AUTO_TEST_CASE(reports_never_increase_the_age_of_the_last_contact)
{
  const LastContact fresh(kStart);
  const auto now = kStart + milliseconds(1000);
  BOOST_TEST((fresh.AfterReportedAge(milliseconds(5000), now).Age(now) == milliseconds(1000)));
  BOOST_TEST((fresh.AfterReportedAge(milliseconds(300), now).Age(now) == milliseconds(300)));
  BOOST_TEST((fresh.AfterReportedAge(milliseconds(-300), now).Age(now) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(a_log_line_stays_one_line)
{
  const auto line = LogEvent("e").With("a", "x y\n\"z\"").With("n", 5).Line();
  BOOST_TEST(line == "event=e a=\"x y?\\\"z\\\"\" n=5");
}

BOOST_AUTO_TEST_CASE(durations_are_summarized)
{
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) {
    metrics.Record("d", milliseconds(i));
  }
  const auto summary = metrics.Durations().at("d");
  BOOST_TEST(summary.count_ == 1000U);
  BOOST_TEST(summary.median_ > 400);
  BOOST_TEST(summary.median_ < 600);
  BOOST_TEST(summary.p99_ > 950);
}
