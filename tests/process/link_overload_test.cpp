#define BOOST_TEST_MODULE link_overload
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

constexpr DocumentOptions kSize{ .domains_ = 3, .nodesPerDomain_ = 4, .rate_ = 0 };
constexpr std::uint64_t kLinkBitsPerSecond = 10'000'000;
constexpr std::size_t kUploadBytes = 60'000;
constexpr std::size_t kLongestUploadBytes = 360'000;
/// Time for applying a version, the tightest one stated.
constexpr milliseconds kApplyBound{ 2000 };
/// What may be under way to a node, as time of its link.
constexpr milliseconds kMaxLinkQueue{ 500 };
constexpr milliseconds kDuration{ 10'000 };
/// Callers together send uploads of 2.4 times what the link transfers.
constexpr milliseconds kUploadInterval{ 20 };
constexpr milliseconds kCallInterval{ 50 };
constexpr milliseconds kVersionInterval{ 1000 };

const NodeAddress kReceiver = NodeAt(1, 1);

/// The only instance is at the receiver; uploads are "order", calls "public".
nlohmann::json
MakeUploadDocument(std::uint64_t aVersion)
{
  auto options = kSize;
  options.version_ = aVersion;
  auto document = MakeDocument(options);
  auto& servers = document["services"][0]["backend_servers"];
  servers = nlohmann::json::array({ servers[0] });
  document["routes"][0]["timeout_ms"] = 2500;
  document["routes"][0]["target_latency_ms"] = 2000;
  document["routes"][0]["priority"] = 2;
  return document;
}

struct Load
{
  std::vector<CallId> uploads_;
  std::vector<CallId> calls_;
  std::size_t lateVersions_ = 0;

  std::size_t CountAnswered(const FakeMesh& aMesh, const std::vector<CallId>& aIds) const
  {
    return static_cast<std::size_t>(std::count_if(aIds.begin(), aIds.end(), [&](const auto& aId) {
      return aMesh.answers_.contains(aId) && aMesh.answers_.at(aId).outcome_ == Outcome::Answered;
    }));
  }
};

void
UseNarrowLinks(FakeMesh& aMesh)
{
  aMesh.linkBitsPerSecond_[kReceiver] = kLinkBitsPerSecond;
  aMesh.configure_ = [](SettingsBuilder& aBuilder) {
    aBuilder.Machine({ .linkBitsPerSecond_ = kLinkBitsPerSecond });
  };
}

std::vector<NodeAddress>
StartNarrowReceiver(FakeMesh& aMesh)
{
  UseNarrowLinks(aMesh);
  auto nodes = StartAll(aMesh, kSize);
  aMesh.Publish(Encode(MakeUploadDocument(2)));
  aMesh.Run(kApplyBound);
  return nodes;
}

/// Sends uploads and calls at all nodes but the receiver, and publishes versions in between.
Load
RunLoad(FakeMesh& aMesh, const std::vector<NodeAddress>& aNodes)
{
  Load load;
  std::size_t sent = 0;
  const auto nextNode = [&] { return aNodes[1 + sent++ % (aNodes.size() - 1)]; };
  for (Duration at{}; at < kDuration; at += kUploadInterval) {
    aMesh.At(at, [&] {
      const bool isLong = load.uploads_.size() % 50 == 49;
      const std::string body(isLong ? kLongestUploadBytes : kUploadBytes, 'x');
      load.uploads_.push_back(aMesh.Call(nextNode(), "small", "POST", "/orders/1", body));
    });
  }
  for (Duration at{}; at < kDuration; at += kCallInterval) {
    aMesh.At(at,
             [&] { load.calls_.push_back(aMesh.Call(nextNode(), "", "GET", "/public/1", "")); });
  }
  std::uint64_t version = 2;
  for (Duration at = kVersionInterval; at < kDuration; at += kVersionInterval) {
    aMesh.At(at, [&] { aMesh.Publish(Encode(MakeUploadDocument(++version))); });
    aMesh.At(at + kApplyBound,
             [&, expected = version + static_cast<std::uint64_t>(at / kVersionInterval)] {
               for (const auto& node : aNodes) {
                 const bool isLate = aMesh.At(node).Status().version_.number_.document_ <
                                     static_cast<std::uint64_t>(expected);
                 load.lateVersions_ += isLate ? 1 : 0;
               }
             });
  }
  aMesh.Run(kDuration + milliseconds(4000));
  return load;
}

/// Checks that each request ended, ran once at most, and did not run if its outcome is NotRun.
void
ExpectHonestOutcomes(const FakeMesh& aMesh, const std::vector<CallId>& aIds)
{
  for (const auto& id : aIds) {
    BOOST_REQUIRE(aMesh.answers_.contains(id));
    BOOST_TEST(aMesh.CountRuns(id) <=
               (aMesh.answers_.at(id).outcome_ == Outcome::NotRun ? 0U : 1U));
  }
}

std::vector<CallId>
SendUploads(FakeMesh& aMesh, const NodeAddress& aNode, int aCount)
{
  std::vector<CallId> ids;
  ids.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    ids.push_back(aMesh.Call(aNode, "small", "POST", "/orders/1", std::string(kUploadBytes, 'x')));
  }
  return ids;
}

} // namespace

// Guards against versions that arrive late and calls that fail while the uploads of many nodes
// exceed the link of one node: what is under way to a node has a bound.
BOOST_AUTO_TEST_CASE(uploads_beyond_the_link_of_a_node_delay_neither_versions_nor_calls)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      FakeMesh mesh(seed);
      const auto nodes = StartNarrowReceiver(mesh);
      const auto load = RunLoad(mesh, nodes);
      BOOST_TEST(load.lateVersions_ == 0U);
      BOOST_TEST((mesh.longestLinkQueue_ <= kMaxLinkQueue),
                 Milliseconds(mesh.longestLinkQueue_) << " ms under way");
      BOOST_TEST(load.CountAnswered(mesh, load.calls_) >= load.calls_.size() * 95 / 100);
      const auto capacity = kLinkBitsPerSecond / 8 * kDuration.count() / 1000 / kUploadBytes;
      BOOST_TEST(load.CountAnswered(mesh, load.uploads_) >= capacity * 7 / 10);
      ExpectHonestOutcomes(mesh, load.uploads_);
    }
  }
}

// Guards against offers, grants or bodies that are lost, late or repeated and make a request run
// twice, run after it was refused, or never end.
BOOST_AUTO_TEST_CASE(uploads_over_faulty_links_end_and_run_at_most_once)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FakeMesh mesh(seed);
    const auto nodes = StartNarrowReceiver(mesh);
    mesh.faults_ = { .lossProbability_ = 0.05,
                     .duplicationProbability_ = 0.2,
                     .delayProbability_ = 0.1 };
    const auto load = RunLoad(mesh, nodes);
    ExpectHonestOutcomes(mesh, load.uploads_);
    mesh.faults_ = {};
    mesh.Run(milliseconds(5000));
    const auto later = SendUploads(mesh, nodes.back(), 2);
    mesh.Run(milliseconds(3000));
    BOOST_TEST(load.CountAnswered(mesh, later) == 2U, "seed " << seed);
  }
}

// Guards against an upload that is lost with its owner although its body was never sent: it is
// known not to have run, so another owner gets it.
BOOST_AUTO_TEST_CASE(an_upload_that_was_not_granted_goes_to_another_owner_when_its_owner_is_silent)
{
  FakeMesh mesh(1);
  UseNarrowLinks(mesh);
  const auto nodes = StartAll(mesh, { .domains_ = 1, .nodesPerDomain_ = 3, .rate_ = 0 });
  mesh.Pause(NodeAt(1, 1));
  mesh.Pause(NodeAt(1, 2));
  const auto ids = SendUploads(mesh, NodeAt(1, 3), 5);
  mesh.Run(milliseconds(900));
  BOOST_TEST(Load{}.CountAnswered(mesh, ids) == ids.size());
}

// Guards against uploads that are lost while a release goes out: nodes of the one before know no
// offers, as entry nodes and as owners.
BOOST_AUTO_TEST_CASE(uploads_are_answered_beside_nodes_of_an_earlier_release)
{
  for (const bool isOwnerEarlier : { false, true }) {
    FakeMesh mesh(1);
    UseNarrowLinks(mesh);
    for (const auto& node : { NodeAt(2, 1), NodeAt(2, 2), NodeAt(2, 3) }) {
      mesh.earlierNodes_.insert(node);
    }
    if (isOwnerEarlier) {
      mesh.earlierNodes_.insert(kReceiver);
    }
    const auto nodes = StartNarrowReceiver(mesh);
    std::vector<CallId> ids;
    for (const auto& node : nodes) {
      ids.push_back(SendUploads(mesh, node, 1).front());
      mesh.Run(milliseconds(200));
    }
    mesh.Run(milliseconds(3000));
    BOOST_TEST(Load{}.CountAnswered(mesh, ids) == ids.size());
  }
}

BOOST_AUTO_TEST_CASE(a_stopping_owner_refuses_offers_that_wait_as_not_run)
{
  FakeMesh mesh(1);
  StartNarrowReceiver(mesh);
  const auto ids = SendUploads(mesh, NodeAt(2, 1), 10);
  mesh.Run(milliseconds(20));
  mesh.At(kReceiver).BeginDrain();
  mesh.Run(milliseconds(1500));
  BOOST_TEST(mesh.At(kReceiver).IsIdle());
  ExpectHonestOutcomes(mesh, ids);
  for (const auto& id : ids) {
    BOOST_TEST((mesh.answers_.at(id).outcome_ != Outcome::Unknown));
  }
}

// Guards against the same queue in the other direction: replies of many owners to one entry node.
BOOST_AUTO_TEST_CASE(large_replies_of_many_owners_wait_for_the_link_of_their_entry_node)
{
  FakeMesh mesh(1);
  UseNarrowLinks(mesh);
  StartAll(mesh, kSize);
  mesh.answerPadding_ = kUploadBytes;
  constexpr int kCalls = 15;
  std::vector<CallId> ids;
  ids.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    ids.push_back(mesh.Call(kReceiver, "", "GET", "/public/1", ""));
  }
  mesh.Run(milliseconds(1500));
  BOOST_TEST((mesh.longestLinkQueue_ <= kMaxLinkQueue));
  BOOST_TEST(Load{}.CountAnswered(mesh, ids) == ids.size());
}
