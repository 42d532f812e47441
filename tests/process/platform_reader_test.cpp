#define BOOST_TEST_MODULE platform_reader
#include <boost/test/included/unit_test.hpp>

#include "../support/reader_fixture.hpp"

using namespace geraniumpin;
using namespace geraniumpin::test;

// A node that became a watcher took its own silence for an outage of the platform and published
// removed instances again for two seconds.
BOOST_FIXTURE_TEST_CASE(a_node_that_did_not_read_removes_instances_at_once, ReaderFixture)
{
  mesh_.clock_.Set(mesh_.clock_.Now() + std::chrono::seconds(10));
  reader_.OnReportedAge(milliseconds(100)); // other nodes read meanwhile
  Advance(milliseconds(300));
  AnswerWithRemoval();
  BOOST_TEST(!IsPublished(kOther));
  BOOST_TEST(context_.Versions().CurrentId().number_.revision_ == 12U);
}

BOOST_FIXTURE_TEST_CASE(an_empty_watch_is_no_outage, ReaderFixture)
{
  Advance(milliseconds(300));
  Advance(ReaderTiming::Make(MakeReaderSettings().ApplyBound(), MakeReaderSettings().ContactBound())
            .watchWait_);
  AnswerWithRemoval();
  BOOST_TEST(!IsPublished(kOther));
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_no_outage_while_others_read, ReaderFixture)
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

BOOST_FIXTURE_TEST_CASE(after_an_outage_removed_instances_have_a_grace_period, ReaderFixture)
{
  Outage(std::chrono::seconds(4));
  Advance(std::chrono::seconds(2));
  reader_.OnReportedAge(milliseconds(10)); // another node had the first answer
  AnswerWithRemoval();
  BOOST_TEST(IsPublished(kOther));
  Advance(PlatformReader<ReaderPorts>::kExpiryGrace);
  BOOST_TEST(!IsPublished(kOther));
}

// A connection that became silent hid the changes of the platform for up to 4 s.
BOOST_FIXTURE_TEST_CASE(a_watch_without_answer_is_replaced_in_time, ReaderFixture)
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
                        ReaderFixture)
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

namespace {

/// A node of a failure domain of 20 nodes, in which others watch the platform.
struct UnwatchingReader : ReaderFixture
{
  UnwatchingReader()
  {
    ItemsRead read{ .result_ = ReadResult::Complete, .revision_ = 11 };
    for (int index = 3; index <= 20; ++index) {
      read.items_.push_back({ NodeAt(1, index).Text(), "" });
    }
    Answer(read);
    BOOST_REQUIRE(!context_.ComputeWatcherRank().IsWatcher());
  }

  /// \brief Lets time pass in which other nodes read the platform.
  void AdvanceWithOthers(Duration aTime)
  {
    const auto end = mesh_.clock_.Now() + aTime;
    while (mesh_.clock_.Now() < end) {
      reader_.OnReportedAge(milliseconds(100));
      Advance(milliseconds(50));
    }
  }
};

} // namespace

// The answer that the history is gone, and each page but the last, ended the read.
BOOST_FIXTURE_TEST_CASE(a_requested_read_goes_on_to_the_last_page, UnwatchingReader)
{
  const auto listings = source_.listings_;
  AdvanceWithOthers(std::chrono::seconds(1));
  reader_.RequestRead();
  AdvanceWithOthers(milliseconds(300));
  reader_.OnItemsRead({ .result_ = ReadResult::HistoryGone });
  AdvanceWithOthers(milliseconds(300));
  ItemsRead page{ .result_ = ReadResult::Complete, .hasMore_ = true, .revision_ = 12 };
  for (int index = 1; index <= 20; ++index) {
    page.items_.push_back({ NodeAt(1, index).Text(), "" });
  }
  reader_.OnItemsRead(page);
  AdvanceWithOthers(milliseconds(300));
  reader_.OnItemsRead(
    { .result_ = ReadResult::Complete, .items_ = { { "document", "2" } }, .revision_ = 12 });
  BOOST_TEST(source_.listings_ == listings + 2);
  BOOST_TEST(DocumentInForce() == 2U);
  const auto reads = Count("platform_reads");
  AdvanceWithOthers(std::chrono::seconds(5));
  BOOST_TEST(Count("platform_reads") == reads);
}

// After an outage, a requested read waited for the pause of a backup watcher, which is up to 60 s.
BOOST_FIXTURE_TEST_CASE(a_requested_read_follows_the_return_of_the_platform, UnwatchingReader)
{
  Outage(std::chrono::minutes(5));
  AdvanceWithOthers(milliseconds(50));
  const auto reads = Count("platform_reads");
  reader_.RequestRead();
  AdvanceWithOthers(milliseconds(300));
  BOOST_TEST(Count("platform_reads") == reads + 1);
}

// While the platform is away, requests do not add to the reads of backup watchers.
BOOST_FIXTURE_TEST_CASE(requested_reads_keep_the_pauses_of_an_outage, UnwatchingReader)
{
  Outage(std::chrono::minutes(5));
  const auto reads = Count("platform_reads");
  for (int second = 0; second < 60; ++second) {
    reader_.RequestRead();
    Outage(std::chrono::seconds(1));
  }
  BOOST_TEST(Count("platform_reads") <= reads + 10);
}
