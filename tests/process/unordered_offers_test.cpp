#define BOOST_TEST_MODULE unordered_offers
#include "geraniumpin/process/unordered_offers.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const VersionId kRunning{ { .document_ = 3, .era_ = 1, .revision_ = 7 }, {} };
const VersionId kNext{ { .document_ = 3, .era_ = 1, .revision_ = 8 }, {} };
const VersionId kUnordered{ { .revision_ = 90 }, {} };
constexpr auto kDelay = UnorderedOffers::kReadDelay;
constexpr auto kLongestDelay = kDelay + ReaderTiming::kStartJitter;

struct Fixture
{
  std::mt19937_64 random_{ 1 };
  TimePoint start_{ std::chrono::hours(1) };
  UnorderedOffers offers_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_offer_that_cannot_be_ordered_is_followed_by_one_read, Fixture)
{
  offers_.OnOffer(kUnordered, kRunning, start_, random_);
  BOOST_REQUIRE(offers_.NextDeadline());
  const auto dueAt = *offers_.NextDeadline();
  BOOST_TEST((dueAt >= start_ + kDelay && dueAt <= start_ + kLongestDelay));
  offers_.OnOffer(kUnordered, kRunning, start_ + milliseconds(900), random_);
  BOOST_TEST((offers_.NextDeadline() == dueAt)); // further offers do not postpone the read
  BOOST_TEST(!offers_.TakeDue(kRunning, dueAt - milliseconds(1)));
  BOOST_TEST(offers_.TakeDue(kRunning, dueAt));
  BOOST_TEST(!offers_.TakeDue(kRunning, dueAt + kLongestDelay));
  BOOST_TEST(!offers_.NextDeadline());
}

BOOST_FIXTURE_TEST_CASE(a_newer_version_makes_the_read_needless, Fixture)
{
  offers_.OnOffer(kUnordered, kRunning, start_, random_);
  BOOST_TEST(!offers_.TakeDue(kNext, start_ + kLongestDelay));
  BOOST_TEST(!offers_.NextDeadline());
}

BOOST_FIXTURE_TEST_CASE(ordered_offers_cause_no_read, Fixture)
{
  offers_.OnOffer(kNext, kRunning, start_, random_);
  offers_.OnOffer(kRunning, kNext, start_, random_);
  offers_.OnOffer({ { .revision_ = 7 }, {} }, kRunning, start_, random_);
  offers_.OnOffer(kUnordered, { { .document_ = 3, .revision_ = 7 }, {} }, start_, random_);
  BOOST_TEST(!offers_.NextDeadline());
}

BOOST_FIXTURE_TEST_CASE(constant_offers_cause_at_most_one_read_a_second, Fixture)
{
  int reads = 0;
  for (auto now = start_; now < start_ + std::chrono::seconds(60); now += milliseconds(10)) {
    offers_.OnOffer(kUnordered, kRunning, now, random_);
    reads += offers_.TakeDue(kRunning, now) ? 1 : 0;
  }
  BOOST_TEST(reads <= 60);
  BOOST_TEST(reads >= 45); // the longest jitter each time
}

// Load pattern "release": many nodes get the same offer at once.
BOOST_FIXTURE_TEST_CASE(reads_of_many_nodes_are_spread, Fixture)
{
  int early = 0;
  for (int i = 0; i < 1000; ++i) {
    UnorderedOffers offers;
    offers.OnOffer(kUnordered, kRunning, start_, random_);
    early += *offers.NextDeadline() < start_ + kDelay + ReaderTiming::kStartJitter / 2 ? 1 : 0;
  }
  BOOST_TEST((early > 400 && early < 600));
}
