#define BOOST_TEST_MODULE mixed_releases
#include <boost/test/included/unit_test.hpp>

#include "../support/fake_mesh.hpp"

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

// More nodes than kMaxNodesAllWatching, so that most of them do not read the platform.
constexpr DocumentOptions kShape{ .domains_ = 3, .nodesPerDomain_ = 6 };
constexpr milliseconds kBound{ 3000 }; // for applying a version

/// Nodes of two releases.
struct MixedMesh
{
  explicit MixedMesh(std::uint64_t aSeed, std::optional<std::uint64_t> aEra = std::nullopt)
    : mesh_(aSeed)
  {
    mesh_.era_ = aEra;
    nodes_ = StartAll(mesh_, kShape);
  }

  void Publish(std::uint64_t aRevision, std::uint64_t aDocument)
  {
    auto options = kShape;
    options.version_ = aDocument;
    mesh_.PublishText(aRevision, Encode(MakeDocument(options)).text_);
  }

  [[nodiscard]] VersionNumber Running(const NodeAddress& aNode)
  {
    return mesh_.At(aNode).Status().version_.number_;
  }

  void ExpectDocument(const std::vector<NodeAddress>& aNodes, std::uint64_t aDocument)
  {
    for (const auto& node : aNodes) {
      BOOST_TEST(Running(node).document_ == aDocument, node.Text());
    }
  }

  [[nodiscard]] std::vector<NodeAddress> Watchers()
  {
    std::vector<NodeAddress> watchers;
    for (const auto& node : nodes_) {
      if (mesh_.At(node).Status().watcher_) {
        watchers.push_back(node);
      }
    }
    return watchers;
  }

  [[nodiscard]] std::vector<NodeAddress> NodesOf(bool aEarlierRelease)
  {
    std::vector<NodeAddress> nodes;
    for (const auto& node : nodes_) {
      if (mesh_.earlierNodes_.contains(node) == aEarlierRelease) {
        nodes.push_back(node);
      }
    }
    return nodes;
  }

  [[nodiscard]] std::size_t CountReads(const std::vector<NodeAddress>& aNodes)
  {
    std::size_t reads = 0;
    for (const auto& node : aNodes) {
      reads += mesh_.platformReads_[node];
    }
    return reads;
  }

  FakeMesh mesh_;
  std::vector<NodeAddress> nodes_;
};

enum class Earlier
{
  Watchers,
  AllButWatchers,
  Half
};

/// Restarts nodes with the earlier release.
void
SetEarlier(MixedMesh& aMesh, Earlier aWhich, std::size_t aSpared = 0)
{
  const auto watchers = aMesh.Watchers();
  for (const auto& node : aMesh.nodes_) {
    const bool watches = std::find(watchers.begin(), watchers.end(), node) != watchers.end();
    const bool isEarlier = aWhich == Earlier::Half ? aMesh.mesh_.random_() % 2 == 0
                                                   : watches == (aWhich == Earlier::Watchers);
    if (!isEarlier) {
      continue;
    }
    if (aSpared > 0) {
      --aSpared;
      continue;
    }
    aMesh.mesh_.earlierNodes_.insert(node);
    aMesh.mesh_.Start(node, aMesh.mesh_.At(node).Status().failureDomain_);
  }
  aMesh.mesh_.Run(std::chrono::seconds(6));
}

/// The store of a mesh goes back from revision 50 to 40 when it has its first era. One watcher of
/// the new release has read that before the platform failed for it; all others are of the earlier
/// one.
struct RestoredMesh : MixedMesh
{
  RestoredMesh(std::uint64_t aSeed, bool aStated)
    : MixedMesh(aSeed, aStated ? std::optional<std::uint64_t>(0) : std::nullopt)
  {
    Publish(50, 5);
    mesh_.Run(kBound);
    ExpectDocument(nodes_, 5);
    const auto witness = Watchers().front();
    SetEarlier(*this, Earlier::Watchers, 1);
    Restore(aStated, 1);
    mesh_.Run(kBound);
    for (const auto& node : NodesOf(false)) {
      BOOST_TEST(Running(node).era_ == 1U, node.Text());
    }
    mesh_.isPlatformUnreachable_ = [witness](const NodeAddress& aNode) { return aNode == witness; };
  }

  void Restore(bool aStated, std::uint64_t aEra)
  {
    mesh_.era_ = aStated ? std::optional(aEra) : std::nullopt;
    Publish(40, 5);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(nodes_of_two_releases_converge_whoever_reads_the_platform)
{
  for (const auto earlier : { Earlier::Watchers, Earlier::AllButWatchers, Earlier::Half }) {
    for (const auto era : { std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0) }) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST_CONTEXT("earlier " << static_cast<int>(earlier) << ", seed " << seed)
        {
          MixedMesh mixed(seed, era);
          SetEarlier(mixed, earlier);
          for (std::uint64_t version = 2; version <= 5; ++version) {
            mixed.Publish(10 * version, version);
            mixed.mesh_.Run(kBound);
            mixed.ExpectDocument(mixed.nodes_, version);
          }
        }
      }
    }
  }
}

// A store that was restored before the release went out: the new nodes run versions of its era, and
// cannot order those of earlier nodes.
BOOST_AUTO_TEST_CASE(new_nodes_converge_in_an_era_although_all_watchers_are_of_the_earlier_release)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      MixedMesh mixed(seed, 1);
      SetEarlier(mixed, Earlier::Watchers);
      for (std::uint64_t version = 2; version <= 5; ++version) {
        mixed.Publish(10 * version, version);
        mixed.mesh_.Run(kBound);
        mixed.ExpectDocument(mixed.nodes_, version);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(
  new_nodes_follow_a_restored_store_although_all_watchers_are_of_the_earlier_release)
{
  for (const bool stated : { true, false }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      BOOST_TEST_CONTEXT("seed " << seed << ", era stated " << stated)
      {
        RestoredMesh mixed(seed, stated);
        const auto newNodes = mixed.NodesOf(false);
        std::map<NodeAddress, VersionNumber> highest;
        for (std::uint64_t document = 6; document <= 9; ++document) {
          mixed.Publish(35 + document, document);
          for (auto ran = Duration{}; ran < kBound; ran += milliseconds(20)) {
            mixed.mesh_.Run(milliseconds(20));
            for (const auto& node : newNodes) {
              BOOST_TEST((mixed.Running(node) >= highest[node]));
              highest[node] = mixed.Running(node);
            }
          }
          mixed.ExpectDocument(newNodes, document);
          mixed.ExpectDocument(mixed.NodesOf(true), 5);
        }
        // Nodes of the earlier release recover when the revision has passed its old value.
        mixed.Publish(51, 10);
        mixed.mesh_.Run(kBound);
        mixed.ExpectDocument(mixed.nodes_, 10);
      }
    }
  }
}

// No node that notices a restore watched the platform before it.
BOOST_AUTO_TEST_CASE(new_nodes_notice_a_restore_that_only_earlier_watchers_could_see)
{
  for (const bool stated : { true, false }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      BOOST_TEST_CONTEXT("seed " << seed << ", era stated " << stated)
      {
        MixedMesh mixed(seed, stated ? std::optional<std::uint64_t>(0) : std::nullopt);
        mixed.Publish(50, 5);
        mixed.mesh_.Run(kBound);
        SetEarlier(mixed, Earlier::Watchers);
        mixed.mesh_.Run(std::chrono::seconds(10));
        mixed.mesh_.era_ = stated ? std::optional<std::uint64_t>(1) : std::nullopt;
        mixed.Publish(40, 5);
        mixed.mesh_.Run(kWatchTakeoverDelay + kBound); // the next read of a backup watcher
        for (std::uint64_t document = 6; document <= 9; ++document) {
          mixed.Publish(35 + document, document);
          mixed.mesh_.Run(kBound);
          mixed.ExpectDocument(mixed.NodesOf(false), document);
        }
      }
    }
  }
}

// Load pattern "release": offers that cannot be ordered last until the revision has passed its old
// value.
BOOST_AUTO_TEST_CASE(each_new_node_reads_at_most_once_a_second)
{
  RestoredMesh mixed(1, true);
  const auto watchers = mixed.Watchers();
  std::vector<NodeAddress> readers;
  for (const auto& node : mixed.NodesOf(false)) {
    if (std::find(watchers.begin(), watchers.end(), node) == watchers.end()) {
      readers.push_back(node);
    }
  }
  mixed.mesh_.Run(kBound);
  const auto before = mixed.CountReads(readers);
  mixed.mesh_.Run(std::chrono::seconds(30));
  BOOST_TEST(mixed.CountReads(readers) - before <= 30 * readers.size());
}
