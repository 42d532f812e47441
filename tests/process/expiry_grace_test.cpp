#define BOOST_TEST_MODULE expiry_grace
#include <boost/test/included/unit_test.hpp>

#include "../support/reader_fixture.hpp"

using namespace geraniumpin;
using namespace geraniumpin::test;

// While removed instances had their grace period, content was published under the number of the
// previous revision. A node that ran that revision refused it as a conflict, and with it a document
// that was read at the same time, for up to two seconds.
BOOST_FIXTURE_TEST_CASE(a_document_that_arrives_in_a_grace_period_is_in_force, ReaderFixture)
{
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { NodeAt(1, 3).Text(), "" } },
           .revision_ = 11 });
  BOOST_REQUIRE(context_.Versions().CurrentId().number_.revision_ == 11U);
  Outage(std::chrono::seconds(4));
  Advance(std::chrono::seconds(2));
  Answer({ .result_ = ReadResult::Complete,
           .items_ = { { kOther.Text(), std::nullopt }, { "document", "2" } },
           .revision_ = 12 });
  BOOST_TEST(DocumentInForce() == 2U);
  BOOST_TEST(IsPublished(kOther));
  BOOST_TEST(Count("version_refused_digest_conflict") == 0U);
}

// Guards against requests to an instance that has left: a node that was cut off from the platform
// for longer than the platform was away held the entry of an instance that others had removed, and
// published it again.
BOOST_FIXTURE_TEST_CASE(a_node_that_regains_the_platform_late_holds_nothing, ReaderFixture)
{
  Outage(std::chrono::seconds(4));
  for (int i = 0; i < 5; ++i) {
    reader_.OnReportedAge({}); // a peer has answers again
    Outage(milliseconds(500));
  }
  Advance(std::chrono::seconds(2));
  AnswerWithRemoval();
  BOOST_TEST(!IsPublished(kOther));
}

BOOST_FIXTURE_TEST_CASE(a_node_that_regains_the_platform_with_others_holds_instances, ReaderFixture)
{
  Outage(std::chrono::seconds(4));
  reader_.OnReportedAge({});
  Advance(std::chrono::seconds(1));
  AnswerWithRemoval();
  BOOST_TEST(IsPublished(kOther));
}
