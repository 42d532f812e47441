#define BOOST_TEST_MODULE team_limits
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

VersionId
Version(std::uint64_t aDocument)
{
  return { { .document_ = aDocument, .revision_ = aDocument }, Digest{} };
}

/// \brief Checks that charges never exceed burst + rate * t in any window.
///
/// One bucket for the whole team starts full and loses a token with each charge. Its level falls
/// below zero exactly if some window has more charges than allowed.
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

/// \brief Returns the times at which the backend servers started requests, sorted.
std::vector<TimePoint>
CollectStarts(const FakeMesh& aMesh)
{
  std::vector<TimePoint> starts;
  starts.reserve(aMesh.runs_.size());
  for (const auto& [id, at] : aMesh.runs_) {
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

BOOST_AUTO_TEST_CASE(a_bucket_grants_no_more_than_its_burst_and_refills_at_its_rate)
{
  TokenLessor lessor;
  FakeClock clock;
  BOOST_TEST(lessor.SetShare("t", { 10, 20 }, clock.Now()));
  BOOST_TEST(lessor.OnRequest(NodeAt(1, 1), 1, { "t", 1, 5, {} }, clock.Now()).tokens_ == 0U);
  lessor.CompleteTakeover(clock.Now());
  BOOST_TEST(lessor.OnRequest(NodeAt(1, 1), 1, { "t", 2, 5, {} }, clock.Now()).tokens_ == 0U);
  clock.Set(clock.Now() + std::chrono::seconds(10));
  std::uint32_t granted = 0;
  for (std::uint64_t sequence = 3; sequence < 60; ++sequence) {
    granted += lessor.OnRequest(NodeAt(1, 1), 1, { "t", sequence, 100, {} }, clock.Now()).tokens_;
  }
  BOOST_TEST(granted == 20U);
}

// Load pattern "small team": six callers of the team send at once, each to another node.
BOOST_AUTO_TEST_CASE(the_slack_of_a_small_team_is_divided_like_its_burst)
{
  VersionStore store;
  const auto document = MakeDocument({ .domains_ = 3, .rate_ = 6, .burst_ = 6 });
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Encode(document)), JsonPartCodec{}));
  const auto* team = store.Current()->FindTeam("small");
  BOOST_REQUIRE(team != nullptr);
  FakeClock clock;
  const auto grantedAtOnce = [&](double aSlack) {
    TokenLessor lessor;
    (void)lessor.SetShare("small", ComputeShare(*store.Current(), *team, aSlack), clock.Now());
    lessor.CompleteTakeover(clock.Now());
    clock.Set(clock.Now() + std::chrono::seconds(10));
    std::uint32_t granted = 0;
    for (int node = 1; node <= 6; ++node) {
      granted += lessor.OnRequest(NodeAt(1, node), 1, { "small", 1, 1, {} }, clock.Now()).tokens_;
    }
    return granted;
  };
  BOOST_TEST(grantedAtOnce(0) == 2U);
  BOOST_TEST(grantedAtOnce(12) == 6U);
  // The three failure domains together add no more than the slack.
  const auto share = ComputeShare(*store.Current(), *team, 12);
  BOOST_TEST(share.burst_ * 3 <= 6 + 12 + kRoundingSlack);
  BOOST_TEST(share.ratePerSecond_ * 3 <= 6 + kRoundingSlack);
}

BOOST_AUTO_TEST_CASE(
  outstanding_tokens_count_against_the_burst_until_their_lease_is_closed_or_expired)
{
  TokenLessor lessor;
  FakeClock clock;
  BOOST_TEST(lessor.SetShare("t", { 10, 20 }, clock.Now()));
  lessor.CompleteTakeover(clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(10));
  const auto requestTokens = [&](std::uint64_t aSequence, std::vector<LeaseClosure> aClosures) {
    return lessor
      .OnRequest(NodeAt(1, 1), 1, { "t", aSequence, 100, std::move(aClosures) }, clock.Now())
      .tokens_;
  };
  BOOST_TEST(requestTokens(1, {}) == 10U);
  clock.Set(clock.Now() + milliseconds(1900)); // long enough to refill 19 tokens
  std::uint32_t more = 0;
  for (std::uint64_t sequence = 2; sequence < 50; ++sequence) {
    more += requestTokens(sequence, {});
  }
  BOOST_TEST(more == 10U);
  // Closing the first lease with 4 unused tokens returns 4, and only once.
  auto returned = requestTokens(50, { { 1, 4 }, { 1, 4 } });
  returned += requestTokens(51, { { 1, 4 } });
  returned += requestTokens(52, {});
  BOOST_TEST(returned == 4U);
}

// Load pattern "hot team": sixty entry nodes whose requests exceed the rate of a team all came back
// when the next token was due, a thousand messages a second at one lessor, which read nothing else.
BOOST_AUTO_TEST_CASE(holders_of_a_hot_team_retry_in_slots_of_their_own)
{
  constexpr int kHolders = 60;
  constexpr double kRate = 15;
  TokenLessor lessor;
  TimePoint now{ std::chrono::hours(1) };
  BOOST_REQUIRE(lessor.SetShare("hot", { kRate, 5 }, now));
  lessor.CompleteTakeover(now);
  std::multimap<TimePoint, int> dueHolders;
  for (int holder = 1; holder <= kHolders; ++holder) {
    dueHolders.emplace(now, holder);
  }
  const auto end = now + std::chrono::seconds(10);
  std::uint64_t requests = 0;
  std::uint32_t tokens = 0;
  std::map<int, std::vector<LeaseClosure>> consumedLeases; // by holder
  while (dueHolders.begin()->first < end) {
    const auto due = dueHolders.extract(dueHolders.begin());
    now = due.key();
    const LeaseRequest request{
      "hot", ++requests, 1, std::exchange(consumedLeases[due.mapped()], {})
    };
    const auto grant = lessor.OnRequest(NodeAt(1, due.mapped()), 1, request, now);
    tokens += grant.tokens_;
    if (grant.tokens_ > 0) {
      consumedLeases[due.mapped()].push_back({ .sequence_ = grant.sequence_, .unused_ = 0 });
    }
    dueHolders.emplace(now + std::max<Duration>(grant.retryAfter_, milliseconds(1)), due.mapped());
  }
  BOOST_TEST(tokens >= 0.9 * kRate * 10);
  BOOST_TEST(requests < 10U * 200U);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_same_lease_and_a_late_one_gets_none)
{
  TokenLessor lessor;
  FakeClock clock;
  BOOST_TEST(lessor.SetShare("t", { 10, 20 }, clock.Now()));
  lessor.CompleteTakeover(clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(10));
  const auto first = lessor.OnRequest(NodeAt(1, 1), 1, { "t", 7, 2, {} }, clock.Now());
  const auto again = lessor.OnRequest(NodeAt(1, 1), 1, { "t", 7, 2, {} }, clock.Now());
  BOOST_TEST((first == again || first.tokens_ == again.tokens_));
  BOOST_TEST(lessor.OnRequest(NodeAt(1, 1), 1, { "t", 6, 2, {} }, clock.Now()).tokens_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_lessor_waits_until_every_node_of_its_domain_confirmed_or_is_gone)
{
  LessorTakeover takeover;
  FakeClock clock;
  takeover.Begin(Version(5), { NodeAt(1, 2), NodeAt(1, 3) }, clock.Now());
  takeover.OnVersion(NodeAt(1, 2), Version(5), clock.Now());
  takeover.OnVersion(NodeAt(1, 3), Version(4), clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(60));
  BOOST_TEST(!takeover.TryComplete(Version(5), clock.Now()));
  takeover.WaiveConfirmation(NodeAt(1, 3), clock.Now());
  BOOST_TEST(
    !takeover.TryComplete(Version(5), clock.Now())); // its last leases may not have expired
  clock.Set(clock.Now() + kLeaseTerm + kLeaseMargin);
  BOOST_TEST(takeover.TryComplete(Version(5), clock.Now()));
  BOOST_TEST(!takeover.TryComplete(Version(5), clock.Now()));
}

BOOST_AUTO_TEST_CASE(a_new_lessor_that_learned_of_a_higher_version_waits_until_it_runs_it)
{
  LessorTakeover takeover;
  FakeClock clock;
  takeover.Begin(Version(5), { NodeAt(1, 2) }, clock.Now());
  takeover.OnVersion(NodeAt(1, 2), Version(8), clock.Now());
  clock.Set(clock.Now() + std::chrono::seconds(60));
  BOOST_TEST(!takeover.TryComplete(Version(5), clock.Now()));
  BOOST_TEST(takeover.TryComplete(Version(8), clock.Now()));
}

// The revision that a node of an earlier release stated hid the higher version of another node.
BOOST_AUTO_TEST_CASE(a_new_lessor_waits_for_a_higher_version_beside_nodes_of_an_earlier_release)
{
  const VersionId running{ { .document_ = 3, .era_ = 1, .revision_ = 40 }, {} };
  const VersionId higher{ { .document_ = 4, .era_ = 1, .revision_ = 41 }, {} };
  const VersionId earlierRelease{ { .revision_ = 90 }, {} };
  for (const bool earlierFirst : { true, false }) {
    LessorTakeover takeover;
    FakeClock clock;
    takeover.Begin(running, { NodeAt(1, 2), NodeAt(1, 3) }, clock.Now());
    takeover.OnVersion(NodeAt(1, 2), earlierFirst ? earlierRelease : higher, clock.Now());
    takeover.OnVersion(NodeAt(1, 3), earlierFirst ? higher : earlierRelease, clock.Now());
    clock.Set(clock.Now() + std::chrono::seconds(60));
    BOOST_TEST(!takeover.TryComplete(running, clock.Now()));
    BOOST_TEST(takeover.TryComplete(higher, clock.Now()));
  }
}

namespace {

constexpr DocumentOptions kOneDomain{ .domains_ = 1,
                                      .nodesPerDomain_ = 4,
                                      .rate_ = 20,
                                      .burst_ = 20,
                                      .slots_ = 1000 };

/// \brief Overloads all nodes while the lessor of a team is isolated and gets no new version.
/// \param aMove Changes the document so that another node becomes lessor.
/// \returns The check of rate and burst.
WindowCheck
OverloadWithIsolatedLessor(FakeMesh& aMesh, const std::function<void(nlohmann::json&)>& aMove)
{
  const auto nodes = StartAll(aMesh, kOneDomain);
  const auto isolated = FirstNode("home/large", nodes);
  aMesh.isPartitioned_ = [=](const NodeAddress& aFrom, const NodeAddress& aTo) {
    return (aFrom == isolated) != (aTo == isolated);
  };
  aMesh.isPlatformUnreachable_ = [=](const NodeAddress& aNode) { return aNode == isolated; };
  auto document = MakeDocument(kOneDomain);
  document["version"] = 2;
  aMove(document);
  aMesh.Publish(Encode(document));
  for (int i = 0; i < 2000; ++i) {
    aMesh.Call(nodes[static_cast<std::size_t>(i) % nodes.size()], "large");
    aMesh.Run(milliseconds(10));
  }
  BOOST_TEST(aMesh.At(isolated).Status().version_.number_.document_ == 1U);
  const auto starts = CollectStarts(aMesh);
  BOOST_TEST(starts.size() > 200U);
  return CheckWindows(starts, kOneDomain.rate_, kOneDomain.burst_);
}

} // namespace

BOOST_AUTO_TEST_CASE(an_isolated_lessor_that_a_version_removes_excludes_a_second_one)
{
  FakeMesh mesh(1);
  const auto check = OverloadWithIsolatedLessor(mesh, [](nlohmann::json& aDocument) {
    std::vector<NodeAddress> nodes;
    auto& servers = aDocument["services"][0]["backend_servers"];
    for (const auto& server : servers) {
      nodes.push_back(*NodeAddress::Parse(server["node"].get<std::string>()));
    }
    const auto lessor = FirstNode("home/large", nodes);
    servers.erase(
      static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), lessor) - nodes.begin()));
  });
  BOOST_TEST(check.Lowest() >= -kRoundingSlack);
}

BOOST_AUTO_TEST_CASE(an_isolated_lessor_that_a_version_outranks_excludes_a_second_one)
{
  FakeMesh mesh(2);
  const auto check = OverloadWithIsolatedLessor(mesh, [&mesh](nlohmann::json& aDocument) {
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
    mesh.Start(nodes.back(), "zone-1");
  });
  BOOST_TEST(check.Lowest() >= -kRoundingSlack);
}

BOOST_AUTO_TEST_CASE(all_nodes_together_stay_within_rate_and_burst_under_attack)
{
  constexpr double kRate = 60;
  constexpr int kBurst = 60;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    FakeMesh mesh(seed);
    DocumentOptions shape{
      .domains_ = 3, .nodesPerDomain_ = 3, .rate_ = kRate, .burst_ = kBurst, .slots_ = 1000
    };
    auto nodes = StartAll(mesh, shape);
    mesh.faults_ = { .lossProbability_ = 0.05,
                     .duplicationProbability_ = 0.1,
                     .delayProbability_ = 0.1 };
    std::string cutDomain;
    mesh.isPartitioned_ = [&](const NodeAddress& aFrom, const NodeAddress& aTo) {
      const auto inside = [&](const NodeAddress& aNode) {
        return aNode.Text().starts_with(cutDomain);
      };
      return !cutDomain.empty() && inside(aFrom) != inside(aTo);
    };
    std::set<NodeAddress> down;
    for (int round = 0; round < 60; ++round) {
      const auto victim = nodes[DrawIndex(mesh.random_, nodes.size())];
      switch (DrawIndex(mesh.random_, 5)) {
        case 0: // restart; calls in progress get no reply to check
          mesh.Start(victim, "zone-" + victim.Text().substr(4, 1));
          break;
        case 1:
          mesh.Pause(victim);
          mesh.At(milliseconds(2500), [&mesh, victim] { mesh.Resume(victim); });
          break;
        case 2:
          cutDomain = cutDomain.empty() ? victim.Text().substr(0, 6) : "";
          break;
        case 3: { // a node is removed from or added to the document, so lessors change
          ++shape.version_;
          auto document = MakeDocument(shape);
          auto& servers = document["services"][0]["backend_servers"];
          servers.erase(DrawIndex(mesh.random_, servers.size()));
          mesh.Publish(Encode(document));
          break;
        }
        default:
          mesh.platformDown_ = !mesh.platformDown_;
          break;
      }
      // Low load lets buckets and leases fill; a burst then consumes all tokens that are available.
      const bool isBurst = DrawIndex(mesh.random_, 2) == 0;
      const int calls = isBurst ? 120 : 10;
      const auto nodeCount = 1 + DrawIndex(mesh.random_, 3);
      for (int i = 0; i < calls; ++i) {
        mesh.Call(nodes[(static_cast<std::size_t>(round) + DrawIndex(mesh.random_, nodeCount)) %
                        nodes.size()],
                  "large",
                  "POST");
        mesh.Run(milliseconds(isBurst ? 2 : 100));
      }
    }
    mesh.Run(std::chrono::seconds(5));
    const auto starts = CollectStarts(mesh);
    const auto check = CheckWindows(starts, kRate, kBurst);
    BOOST_TEST(starts.size() > 100U, "seed " << seed << " ran " << starts.size());
    BOOST_TEST(check.Lowest() >= -kRoundingSlack,
               "seed " << seed << " exceeded by " << -check.Lowest() << " of " << starts.size());
  }
}
