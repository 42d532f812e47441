#pragma once

#include "fake_mesh.hpp"
#include "geraniumpin/process/platform_reader.hpp"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace geraniumpin::test {

inline const NodeAddress kSelf = NodeAt(1, 1);
inline const NodeAddress kOther = NodeAt(1, 2);

/// \brief Decodes the key "document" to a document whose number is the text, 1 if it is empty, the
/// key "out/NAME" to that failure domain out of service, and any other key to an instance at that
/// address; its text is the state and the start, "ready 0" if it is empty.
struct FakeItemDecoder
{
  [[nodiscard]] tl::expected<std::optional<DecodedItem>, Faults> Decode(
    std::string_view aKey,
    std::string_view aText) const
  {
    constexpr std::string_view kOutOfService = "out/";
    if (aKey == "document") {
      const auto number = aText.empty() ? 1 : std::stoull(std::string(aText));
      return std::optional<DecodedItem>(PublishedDocument{
        .failureDomains_ = { .documentNumber_ = number, .failureDomains_ = { { "zone-1" } } },
        .services_ = { { .name_ = "orders", .slots_ = 1 } } });
    }
    if (aKey.starts_with(kOutOfService)) {
      return std::optional<DecodedItem>(
        DomainOutOfService{ std::string(aKey.substr(kOutOfService.size())) });
    }
    std::istringstream text{ std::string(aText) };
    std::string state;
    std::uint64_t startedAt = 0;
    text >> state >> startedAt;
    return std::optional<DecodedItem>(
      PublishedInstance{ .service_ = "orders",
                         .backendServer_ = { .name_ = std::string(aKey),
                                             .failureDomain_ = "zone-1",
                                             .node_ = *NodeAddress::Parse(std::string(aKey)),
                                             .state_ = state == "draining" ? InstanceState::Draining
                                                                           : InstanceState::Ready,
                                             .startedAt_ = startedAt } });
  }
};

/// \brief Records which read is in flight.
struct RecordingSource
{
  void ReadItems(const std::string& aAfterKey)
  {
    ++listings_;
    isListing_ = true;
    afterKey_ = aAfterKey;
  }
  void WatchItems(std::uint64_t aRevision, Duration /*aWait*/)
  {
    isListing_ = false;
    watchedRevision_ = aRevision;
  }
  void CancelRead() {}

  bool isListing_ = false;
  std::size_t listings_ = 0; ///< number of pages that were requested
  std::string afterKey_;
  std::uint64_t watchedRevision_ = 0;
};

using ReaderPorts = NodePorts<const FakeClock,
                              std::mt19937_64,
                              FakeLog,
                              FakePorts,
                              FakePorts,
                              FakePorts,
                              RecordingSource,
                              JsonPartCodec,
                              FakeItemDecoder>;

/// \brief Returns the settings of a node without seeds.
inline Settings
MakeReaderSettings()
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

/// \brief A reader whose reads the test answers; it has read a document and two instances.
struct ReaderFixture
{
  ReaderFixture()
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

  /// \brief Answers the read in flight; a read is sent before if none is.
  void Answer(const ItemsRead& aRead)
  {
    Advance(milliseconds(300));
    reader_.OnItemsRead(aRead);
  }

  /// \brief Answers a listing; a watch that is in flight before it is answered without changes.
  void AnswerListing(const ItemsRead& aRead)
  {
    Advance(milliseconds(300));
    if (!source_.isListing_) {
      auto unchanged = aRead;
      unchanged.items_.clear();
      reader_.OnItemsRead(unchanged);
      Advance(milliseconds(700));
    }
    BOOST_REQUIRE(source_.isListing_);
    reader_.OnItemsRead(aRead);
  }

  /// \brief Answers the read in flight: the instance of the other node was removed.
  void AnswerWithRemoval()
  {
    using Items = std::vector<PublishedItem>;
    reader_.OnItemsRead({ .result_ = ReadResult::Complete,
                          .items_ = source_.isListing_
                                      ? Items{ { "document", "" }, { kSelf.Text(), "" } }
                                      : Items{ { kOther.Text(), std::nullopt } },
                          .revision_ = 12 });
  }

  /// \brief Fails all reads for a time.
  void Outage(Duration aTime)
  {
    const auto end = mesh_.clock_.Now() + aTime;
    while (mesh_.clock_.Now() < end) {
      Advance(milliseconds(50));
      reader_.OnItemsRead({ .result_ = ReadResult::Failed, .detail_ = "down" });
    }
  }

  [[nodiscard]] bool IsPublished(const NodeAddress& aNode)
  {
    return FindInstance(aNode) != nullptr;
  }

  /// \returns The instance in force behind a node; null if there is none.
  [[nodiscard]] const BackendServer* FindInstance(const NodeAddress& aNode)
  {
    const auto& snapshot = context_.Versions().Current();
    const auto placement = snapshot ? snapshot->FindPlacement(aNode) : std::nullopt;
    return placement ? &placement->backendServer_ : nullptr;
  }

  [[nodiscard]] std::uint64_t DocumentInForce()
  {
    return context_.Versions().Current()->DocumentNumber();
  }

  [[nodiscard]] std::uint64_t Count(const std::string& aMetric)
  {
    const auto& counters = context_.GetMetrics().Counters();
    const auto found = counters.find(aMetric);
    return found == counters.end() ? 0 : found->second;
  }

  FakeMesh mesh_{ 1 };
  FakePorts ports_{ mesh_, kSelf, 1 };
  FakeLog log_;
  RecordingSource source_;
  const JsonPartCodec codec_{};
  const FakeItemDecoder decoder_{};
  NodeContext<ReaderPorts> context_{
    { mesh_.clock_, mesh_.random_, log_, ports_, ports_, ports_, source_, codec_, decoder_ },
    MakeReaderSettings(),
    1
  };
  ConfigService<ReaderPorts> config_{ context_, [](const Snapshot&) {} };
  PlatformReader<ReaderPorts> reader_{ context_, config_ };
};

} // namespace geraniumpin::test
