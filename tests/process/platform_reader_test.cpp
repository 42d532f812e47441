#define BOOST_TEST_MODULE platform_reader
#include "../support/fake_mesh.hpp"
#include "geraniumpin/process/platform_reader.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

const NodeAddress kSelf = NodeAt(1, 1);
const NodeAddress kOther = NodeAt(1, 2);

/// Decodes the key "document" to a document, and any other key to an instance at that address.
struct FakeItemDecoder
{
  [[nodiscard]] tl::expected<std::optional<DecodedItem>, Faults> Decode(
    std::string_view aKey,
    std::string_view /*aText*/) const
  {
    if (aKey == "document") {
      return std::optional<DecodedItem>(PublishedDocument{
        .failureDomains_ = { .documentNumber_ = 1, .failureDomains_ = { { "zone-1" } } },
        .services_ = { { .name_ = "orders", .slots_ = 1 } } });
    }
    return std::optional<DecodedItem>(
      PublishedInstance{ .service_ = "orders",
                         .backendServer_ = { .name_ = std::string(aKey),
                                             .failureDomain_ = "zone-1",
                                             .node_ = *NodeAddress::Parse(std::string(aKey)) } });
  }
};

using ReaderPorts = NodePorts<const FakeClock,
                              std::mt19937_64,
                              FakeLog,
                              FakePorts,
                              FakePorts,
                              FakePorts,
                              FakePorts,
                              JsonPartCodec,
                              FakeItemDecoder>;

Settings
MakeSettings()
{
  const auto port = [](int aPort) {
    return *NodeAddress::Parse(kSelf.Ip() + ":" + std::to_string(aPort));
  };
  return SettingsBuilder("test")
    .PeerAddress(kSelf)
    .CallerAddress(port(8000))
    .AdminAddress(port(8100))
    .BackendServerAddress(port(9000))
    .PlatformAddress(port(8500))
    .FailureDomainName("zone-1")
    .PeerKey("0123456789abcdef")
    .Build()
    .value();
}

/// A reader whose reads the test answers; it has read a document and two instances.
struct Fixture
{
  Fixture()
  {
    Advance(milliseconds(400));
    reader_.OnItemsRead(
      { .result_ = ReadResult::Complete,
        .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
        .revision_ = 10 });
    BOOST_REQUIRE(IsPublished(kOther));
  }

  void Advance(Duration aTime)
  {
    mesh_.clock_.Set(mesh_.clock_.Now() + aTime);
    reader_.OnTimer();
  }

  /// Answers the read in flight: the instance of the other node was removed.
  void AnswerWithRemoval()
  {
    reader_.OnItemsRead({ .result_ = ReadResult::Complete,
                          .items_ = { { kOther.Text(), std::nullopt } },
                          .revision_ = 12 });
  }

  [[nodiscard]] bool IsPublished(const NodeAddress& aNode)
  {
    const auto& snapshot = context_.Versions().Current();
    return snapshot && snapshot->FindPlacement(aNode);
  }

  FakeMesh mesh_{ 1 };
  FakePorts ports_{ mesh_, kSelf, 1 };
  FakeLog log_;
  const JsonPartCodec codec_{};
  const FakeItemDecoder decoder_{};
  NodeContext<ReaderPorts> context_{
    { mesh_.clock_, mesh_.random_, log_, ports_, ports_, ports_, ports_, codec_, decoder_ },
    MakeSettings(),
    1
  };
  ConfigService<ReaderPorts> config_{ context_, [](const Snapshot&) {} };
  PlatformReader<ReaderPorts> reader_{ context_, config_ };
};

} // namespace

// A node that became a watcher took its own silence for an outage of the platform and published
// removed instances again for two seconds.
BOOST_FIXTURE_TEST_CASE(a_node_that_did_not_read_removes_instances_at_once, Fixture)
{
  mesh_.clock_.Set(mesh_.clock_.Now() + std::chrono::seconds(10));
  reader_.OnReportedAge(milliseconds(100)); // other nodes read meanwhile
  Advance(milliseconds(300));
  AnswerWithRemoval();
  BOOST_TEST(!IsPublished(kOther));
  BOOST_TEST(context_.Versions().CurrentId().number_ == 12U);
}

BOOST_FIXTURE_TEST_CASE(an_empty_watch_is_no_outage, Fixture)
{
  Advance(milliseconds(300));
  Advance(
    ReaderTiming::Make(MakeSettings().ApplyBound(), MakeSettings().ContactBound()).watchWait_);
  AnswerWithRemoval();
  BOOST_TEST(!IsPublished(kOther));
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_no_outage_while_others_read, Fixture)
{
  Advance(milliseconds(300));
  for (int second = 0; second < 4; ++second) {
    Advance(std::chrono::seconds(1)); // the watch times out
    reader_.OnReportedAge(milliseconds(200));
  }
  Advance(milliseconds(700));
  AnswerWithRemoval();
  BOOST_TEST(!IsPublished(kOther));
}

BOOST_FIXTURE_TEST_CASE(after_an_outage_removed_instances_have_a_grace_period, Fixture)
{
  const auto end = mesh_.clock_.Now() + std::chrono::seconds(4);
  while (mesh_.clock_.Now() < end) {
    Advance(milliseconds(50));
    reader_.OnItemsRead({ .result_ = ReadResult::Failed, .detail_ = "down" });
  }
  Advance(std::chrono::seconds(2));
  reader_.OnReportedAge(milliseconds(10)); // another node had the first answer
  AnswerWithRemoval();
  BOOST_TEST(IsPublished(kOther));
  Advance(PlatformReader<ReaderPorts>::kExpiryGrace);
  BOOST_TEST(!IsPublished(kOther));
}

// A connection that became silent hid the changes of the platform for up to 4 s.
BOOST_FIXTURE_TEST_CASE(a_watch_without_answer_is_replaced_in_time, Fixture)
{
  constexpr std::chrono::seconds kBound{ 3 }; // for recovering from a silent connection
  constexpr milliseconds kAnswerAndApply{ 200 };
  Advance(milliseconds(300)); // the watch is sent
  const auto sentAt = mesh_.clock_.Now();
  const auto countReads = [&] { return context_.GetMetrics().Counters().at("platform_reads"); };
  const auto reads = countReads();
  while (countReads() == reads) {
    Advance(milliseconds(10));
  }
  BOOST_TEST((mesh_.clock_.Now() - sentAt + kAnswerAndApply < kBound));
}

// A watch that was sent while the platform was away waited into its return, so no node learned of
// a confirmed version for up to 4.8 s.
BOOST_FIXTURE_TEST_CASE(while_the_platform_is_silent_it_is_read_often_enough_to_notice_its_return,
                        Fixture)
{
  constexpr std::chrono::seconds kBound{ 2 }; // for applying a version once the platform answers
  constexpr milliseconds kSlowAnswer{ 500 };
  const auto countReads = [&] { return context_.GetMetrics().Counters().at("platform_reads"); };
  while (!reader_.GetReadState().failing_) {
    Advance(milliseconds(10));
  }
  auto reads = countReads();
  auto lastReadAt = mesh_.clock_.Now();
  Duration longestPause{};
  const auto end = lastReadAt + std::chrono::seconds(60);
  while (mesh_.clock_.Now() < end) {
    Advance(milliseconds(10));
    if (countReads() > reads) {
      longestPause = std::max(longestPause, mesh_.clock_.Now() - lastReadAt);
      reads = countReads();
      lastReadAt = mesh_.clock_.Now();
    }
  }
  BOOST_TEST((longestPause + kSlowAnswer < kBound));
}
