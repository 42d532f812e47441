#define BOOST_TEST_MODULE version_id
#include "geraniumpin/version/version_id.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

using namespace geraniumpin;

namespace {

VersionId
MakeId(const VersionNumber& aNumber, const std::string& aContent = "a")
{
  return { aNumber, Digest::Compute(aContent) };
}

struct OfferCase
{
  std::string name_;
  VersionNumber offered_;
  VersionNumber running_;
  bool supersedes_;
  bool unordered_;
};

} // namespace

BOOST_AUTO_TEST_CASE(offers_are_ordered_by_document_then_era_then_revision)
{
  // document, era, revision, interim
  const std::vector<OfferCase> cases{
    { "first version", { 1, 0, 1 }, {}, true, false },
    { "first version, of an earlier release", { 0, 0, 1 }, {}, true, false },
    { "no version", {}, { 1, 0, 1 }, false, false },
    { "no version, after a restore", {}, { 1, 1, 1 }, false, false },
    { "the running version", { 3, 1, 7 }, { 3, 1, 7 }, false, false },
    { "higher revision", { 3, 1, 8 }, { 3, 1, 7 }, true, false },
    { "lower revision", { 3, 1, 6 }, { 3, 1, 7 }, false, false },
    { "higher era, lower revision", { 3, 2, 1 }, { 3, 1, 90 }, true, false },
    { "lower era, higher revision", { 3, 1, 90 }, { 3, 2, 1 }, false, false },
    { "higher document, lower era", { 4, 1, 1 }, { 3, 2, 90 }, true, false },
    { "lower document, higher era", { 3, 2, 90 }, { 4, 1, 1 }, false, false },
    { "interim after its revision", { 3, 1, 7, true }, { 3, 1, 7 }, true, false },
    { "revision after its interim", { 3, 1, 8 }, { 3, 1, 7, true }, true, false },
    { "exact content of an interim", { 3, 1, 7 }, { 3, 1, 7, true }, false, false },
    { "earlier release, higher revision", { 0, 0, 8 }, { 3, 0, 7 }, true, false },
    { "earlier release, same revision", { 0, 0, 7 }, { 3, 0, 7 }, false, false },
    { "earlier release, same revision as interim", { 0, 0, 7 }, { 3, 0, 7, true }, false, false },
    { "earlier release, higher, in an era", { 0, 0, 8 }, { 3, 1, 7 }, false, true },
    { "earlier release, same, in an era", { 0, 0, 7 }, { 3, 1, 7 }, false, false },
    { "earlier release, lower, in an era", { 0, 0, 6 }, { 3, 1, 7 }, false, false },
    { "to an earlier release, higher", { 3, 1, 8 }, { 0, 0, 7 }, true, false },
    { "to an earlier release, lower", { 3, 1, 6 }, { 0, 0, 7 }, false, false },
    { "between earlier releases", { 0, 0, 8 }, { 0, 0, 7 }, true, false },
  };
  for (const auto& entry : cases) {
    BOOST_TEST_CONTEXT(entry.name_)
    {
      const auto offered = MakeId(entry.offered_);
      const auto running = MakeId(entry.running_);
      BOOST_TEST(Supersedes(offered, running) == entry.supersedes_);
      BOOST_TEST(IsUnordered(offered, running) == entry.unordered_);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_digest_orders_interim_versions_only)
{
  const auto low = std::min(Digest::Compute("a"), Digest::Compute("b"));
  const auto high = std::max(Digest::Compute("a"), Digest::Compute("b"));
  const VersionNumber exact{ 3, 1, 7 };
  const VersionNumber interim{ 3, 1, 7, true };
  BOOST_TEST(!Supersedes({ exact, high }, { exact, low }));
  BOOST_TEST(!Supersedes({ exact, low }, { exact, high }));
  BOOST_TEST(Supersedes({ interim, high }, { interim, low }));
  BOOST_TEST(!Supersedes({ interim, low }, { interim, high }));
}

// Nodes would replace versions by each other for ever.
BOOST_AUTO_TEST_CASE(ids_that_state_a_document_are_in_one_order)
{
  std::mt19937_64 random(1);
  const auto draw = [&] {
    return MakeId({ .document_ = 1 + random() % 3,
                    .era_ = random() % 3,
                    .revision_ = 1 + random() % 3,
                    .interim_ = random() % 2 == 0 },
                  std::to_string(random() % 3));
  };
  std::size_t chains = 0;
  for (int i = 0; i < 100'000; ++i) {
    const auto a = draw();
    const auto b = draw();
    const auto c = draw();
    BOOST_REQUIRE(!Supersedes(a, a));
    BOOST_REQUIRE(!(Supersedes(a, b) && Supersedes(b, a)));
    BOOST_REQUIRE((Supersedes(a, b) || Supersedes(b, a) || a.number_ == b.number_));
    BOOST_REQUIRE(!IsUnordered(a, b));
    if (Supersedes(a, b) && Supersedes(b, c)) {
      ++chains;
      BOOST_REQUIRE(Supersedes(a, c));
    }
  }
  BOOST_TEST(chains > 1000U);
}
