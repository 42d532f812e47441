#define BOOST_TEST_MODULE store_restore
#include <boost/test/included/unit_test.hpp>

#include "../support/reader_fixture.hpp"

#include <tuple>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

const NodeAddress kNew = NodeAt(1, 3);

/// The platform loses its connections, and answers the next reads from a copy of revision 6, in
/// which all items have their values of revision 10.
struct RestoredStore : ReaderFixture
{
  void Restore(std::optional<std::uint64_t> aEra)
  {
    Outage(milliseconds(700));
    Answer({ .result_ = ReadResult::HistoryGone, .era_ = aEra });
    Answer({ .result_ = ReadResult::Complete,
             .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
             .revision_ = 6,
             .era_ = aEra });
  }
};

} // namespace

// Routes, keys and instances that were written after the platform had come back from an older copy
// were not in force until its revision had passed the highest one before: callers got 404 and 401.
BOOST_FIXTURE_TEST_CASE(a_change_after_a_restore_is_in_force, RestoredStore)
{
  Restore(1);
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { "document", "2" }, { kNew.Text(), "" } },
           .revision_ = 7,
           .era_ = 1 });
  BOOST_TEST(DocumentInForce() == 2U);
  BOOST_TEST(IsPublished(kNew));
}

// The same with a platform that does not state how often it was restored.
BOOST_FIXTURE_TEST_CASE(a_change_after_an_unannounced_restore_is_in_force, RestoredStore)
{
  Restore(std::nullopt);
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { "document", "2" }, { kNew.Text(), "" } },
           .revision_ = 7 });
  BOOST_TEST(DocumentInForce() == 2U);
  BOOST_TEST(IsPublished(kNew));
}

// Requests reached an instance that had reported after a restore that it was leaving.
BOOST_FIXTURE_TEST_CASE(an_instance_that_leaves_after_a_restore_is_draining, RestoredStore)
{
  Restore(std::nullopt);
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), "draining 0" } },
           .revision_ = 7 });
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
}

namespace {
/// A node that applies versions of a peer.
struct NodeWithPeer : ReaderFixture
{
  void ApplyFrom(ReaderFixture& aPeer)
  {
    std::ignore = context_.Versions().Apply(aPeer.context_.Versions().MakeDelta({}), codec_);
  }
};
} // namespace

// One restore without a stated era was counted again by each node that learned of it from a peer,
// and all nodes listed the platform once more for each.
BOOST_FIXTURE_TEST_CASE(a_restore_that_a_peer_has_counted_is_not_counted_again, NodeWithPeer)
{
  ReaderFixture peer;
  peer.Outage(milliseconds(700));
  peer.AnswerListing(
    { .result_ = ReadResult::Complete,
      .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
      .revision_ = 6 });
  BOOST_TEST(peer.context_.Versions().CurrentId().number_.era_ == 1U);
  ApplyFrom(peer);
  Advance(milliseconds(10));
  AnswerListing({ .result_ = ReadResult::Complete,
                  .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
                  .revision_ = 6 });
  BOOST_TEST(context_.Versions().CurrentId().number_.era_ == 1U);
}

// A node that had not read the platform for a while put its old items in force again.
BOOST_FIXTURE_TEST_CASE(items_that_left_while_a_node_did_not_read_do_not_come_back, NodeWithPeer)
{
  ReaderFixture peer;
  peer.Answer({ .result_ = ReadResult::Complete,
                .items_ = { { kOther.Text(), std::nullopt } },
                .revision_ = 12,
                .era_ = 0 });
  peer.Answer({ .result_ = ReadResult::HistoryGone, .era_ = 1 });
  peer.AnswerListing({ .result_ = ReadResult::Complete,
                       .items_ = { { "document", "" }, { kSelf.Text(), "" } },
                       .revision_ = 12,
                       .era_ = 1 });
  BOOST_REQUIRE(!peer.IsPublished(kOther));
  ApplyFrom(peer);
  Advance(milliseconds(10));
  BOOST_REQUIRE(!IsPublished(kOther));
  Advance(std::chrono::seconds(60));
  AnswerListing({ .result_ = ReadResult::Complete,
                  .items_ = { { "document", "" }, { kSelf.Text(), "" } },
                  .revision_ = 13,
                  .era_ = 1 });
  BOOST_TEST(!IsPublished(kOther));
}

// A copy undid what this node had from a peer only.
BOOST_FIXTURE_TEST_CASE(an_instance_that_drains_by_a_peers_version_stays_draining, NodeWithPeer)
{
  ReaderFixture peer;
  peer.Answer({ .result_ = ReadResult::Complete,
                .items_ = { { kOther.Text(), "draining 0" } },
                .revision_ = 11 });
  ApplyFrom(peer);
  BOOST_REQUIRE((FindInstance(kOther)->state_ == InstanceState::Draining));
  Outage(milliseconds(700));
  AnswerListing({ .result_ = ReadResult::Complete,
                  .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
                  .revision_ = 6,
                  .era_ = 1 });
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
}

// A reader whose own reads were behind the running version took a restored store for the same one.
BOOST_FIXTURE_TEST_CASE(a_reader_behind_its_peers_notices_a_restore, NodeWithPeer)
{
  ReaderFixture peer;
  peer.Answer({ .result_ = ReadResult::Complete,
                .items_ = { { NodeAt(1, 4).Text(), "" } },
                .revision_ = 20 });
  ApplyFrom(peer);
  Outage(milliseconds(700));
  AnswerListing({ .result_ = ReadResult::Complete,
                  .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
                  .revision_ = 15 });
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), "draining 0" } },
           .revision_ = 16 });
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
}

// A peer that had not seen an instance drain made it ready again everywhere.
BOOST_FIXTURE_TEST_CASE(a_peer_that_did_not_see_an_instance_drain_does_not_undo_it, NodeWithPeer)
{
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), "draining 0" } },
           .revision_ = 11 });
  Outage(milliseconds(700));
  const ItemsRead copy{
    .result_ = ReadResult::Complete,
    .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
    .revision_ = 6,
    .era_ = 1
  };
  AnswerListing(copy);
  BOOST_REQUIRE((FindInstance(kOther)->state_ == InstanceState::Draining));
  ReaderFixture peer;
  peer.Outage(milliseconds(700));
  peer.AnswerListing(copy);
  ApplyFrom(peer);
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
}

// After an outage in which the counter had passed its old value, a copy undid that an instance
// drains.
BOOST_FIXTURE_TEST_CASE(draining_is_not_undone_if_the_counter_has_passed_its_old_value,
                        NodeWithPeer)
{
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), "draining 0" } },
           .revision_ = 11 });
  Outage(milliseconds(700));
  AnswerListing({ .result_ = ReadResult::Complete,
                  .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
                  .revision_ = 14 });
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
}

// A store that began to state a lower era than a node had counted was never read again.
BOOST_FIXTURE_TEST_CASE(a_store_that_begins_to_state_its_era_is_read, NodeWithPeer)
{
  Outage(milliseconds(700));
  AnswerListing({ .result_ = ReadResult::Complete,
                  .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "" } },
                  .revision_ = 6 });
  const ItemsRead stated{
    .result_ = ReadResult::Complete,
    .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "draining 0" } },
    .revision_ = 7,
    .era_ = 0
  };
  AnswerListing(stated);
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
}

// An instance stayed in force after its grace period, if something else was held for longer and the
// new content had the lower digest.
BOOST_AUTO_TEST_CASE(an_item_is_released_beside_one_that_is_held_for_longer)
{
  int stuck = 0;
  for (std::uint64_t revision = 20; revision < 60; ++revision) {
    NodeWithPeer node;
    node.Answer(
      { .result_ = ReadResult::Complete, .items_ = { { "document", "2" } }, .revision_ = 100 });
    node.Outage(milliseconds(700));
    node.AnswerListing({ .result_ = ReadResult::Complete,
                         .items_ = { { "document", "1" }, { kSelf.Text(), "" } },
                         .revision_ = revision,
                         .era_ = 1 });
    BOOST_TEST(node.IsPublished(kOther));
    node.Advance(milliseconds(2500));
    node.Advance(milliseconds(2500));
    stuck += node.IsPublished(kOther) ? 1 : 0;
  }
  BOOST_TEST(stuck == 0);
}

// What a node had read in the era before was published in the new one.
BOOST_FIXTURE_TEST_CASE(nothing_of_an_earlier_era_is_published_in_a_new_one, NodeWithPeer)
{
  Outage(std::chrono::seconds(4));
  Advance(std::chrono::seconds(2));
  AnswerWithRemoval(); // held at revision 12
  ReaderFixture peer;
  peer.Answer({ .result_ = ReadResult::HistoryGone, .era_ = 1 });
  peer.AnswerListing({ .result_ = ReadResult::Complete,
                       .items_ = { { "document", "" },
                                   { kSelf.Text(), "" },
                                   { kOther.Text(), "" },
                                   { NodeAt(1, 4).Text(), "" } },
                       .revision_ = 6,
                       .era_ = 1 });
  peer.Advance(milliseconds(2500));
  BOOST_REQUIRE(peer.IsPublished(NodeAt(1, 4)));
  ApplyFrom(peer);
  Advance(milliseconds(10));
  BOOST_REQUIRE(IsPublished(NodeAt(1, 4)));
  Outage(std::chrono::seconds(3)); // the store does not serve this node
  BOOST_TEST(IsPublished(NodeAt(1, 4)));
  BOOST_TEST(context_.Versions().CurrentId().number_.revision_ == 6U);
}

// The store states no era, and its revision had passed the old value before it answered again, so
// only its items show that it was restored. Requests reached an instance that was leaving.
BOOST_FIXTURE_TEST_CASE(an_older_entry_in_a_listing_does_not_undo_leaving, RestoredStore)
{
  const auto draining = "draining 5";
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), draining } },
           .revision_ = 11 });
  Outage(milliseconds(700));
  AnswerListing(
    { .result_ = ReadResult::Complete,
      .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "ready 5" } },
      .revision_ = 12 });
  BOOST_REQUIRE(IsPublished(kOther));
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Draining));
  // An entry that is not written again takes effect.
  Advance(PlatformItems::kOutdatedGrace);
  BOOST_TEST((FindInstance(kOther)->state_ == InstanceState::Ready));
}

BOOST_FIXTURE_TEST_CASE(an_earlier_start_in_a_listing_does_not_replace_a_later_one, RestoredStore)
{
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), "ready 5" } },
           .revision_ = 11 });
  Outage(milliseconds(700));
  AnswerListing(
    { .result_ = ReadResult::Complete,
      .items_ = { { "document", "" }, { kSelf.Text(), "" }, { kOther.Text(), "ready 4" } },
      .revision_ = 12 });
  BOOST_TEST(FindInstance(kOther)->startedAt_ == 5U);
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), "ready 6" } },
           .revision_ = 13 });
  BOOST_TEST(FindInstance(kOther)->startedAt_ == 6U);
}

// A node that had not read the store for a while took an instance for ready that had left by the
// version of its peers.
BOOST_FIXTURE_TEST_CASE(an_instance_that_left_by_the_version_of_a_peer_is_not_ready, RestoredStore)
{
  ReaderFixture peer;
  peer.Answer({ .result_ = ReadResult::Complete,
                .items_ = { { kOther.Text(), std::nullopt } },
                .revision_ = 12 });
  BOOST_REQUIRE(
    context_.Versions().Apply(peer.context_.Versions().MakeDelta(VersionId{}), codec_).has_value());
  Restore(1);
  BOOST_TEST(!IsPublished(kOther));
}
