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

std::vector<NodeAddress>
StartNarrowReceiver(FakeMesh& aMesh)
{
  aMesh.linkBitsPerSecond_[kReceiver] = kLinkBitsPerSecond;
  aMesh.configure_ = [](SettingsBuilder& aBuilder) {
    aBuilder.Machine({ .linkBitsPerSecond_ = kLinkBitsPerSecond });
  };
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
    aMesh.At(at + kApplyBound, [&, expected = version + at / kVersionInterval] {
      for (const auto& node : aNodes) {
        const bool isLate =
          aMesh.At(node).Status().version_.number_.document_ < static_cast<std::uint64_t>(expected);
        load.lateVersions_ += isLate ? 1 : 0;
      }
    });
  }
  aMesh.Run(kDuration + milliseconds(4000));
  return load;
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
      for (const auto& id : load.uploads_) {
        BOOST_REQUIRE(mesh.answers_.contains(id));
        if (mesh.answers_.at(id).outcome_ == Outcome::NotRun) {
          BOOST_TEST(mesh.CountRuns(id) == 0U);
        }
      }
    }
  }
}
