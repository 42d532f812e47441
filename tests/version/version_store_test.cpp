#define BOOST_TEST_MODULE version_store
#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using nlohmann::json;

namespace {

const JsonPartCodec kCodec{};

EncodedDocument
Version(std::uint64_t aNumber, double aRate = 100)
{
  return Encode(MakeDocument({ .version_ = aNumber, .rate_ = aRate }));
}

} // namespace

BOOST_AUTO_TEST_CASE(versions_only_grow)
{
  VersionStore store;
  BOOST_TEST(store.Apply(MakeFullDelta(Version(2)), kCodec).has_value());
  const auto older = store.Apply(MakeFullDelta(Version(1)), kCodec);
  BOOST_TEST((older.error().refusal_ == VersionRefusal::NotNewer));
  const auto conflict = store.Apply(MakeFullDelta(Version(2, 7)), kCodec);
  BOOST_TEST((conflict.error().refusal_ == VersionRefusal::DigestConflict));
  BOOST_TEST(store.CurrentId().number_.document_ == 2U);
  BOOST_TEST(store.Apply(MakeFullDelta(Version(3)), kCodec).has_value());
}

BOOST_AUTO_TEST_CASE(a_delta_carries_only_what_changed_and_needs_its_base)
{
  VersionStore ahead;
  VersionStore behind;
  BOOST_REQUIRE(ahead.Apply(MakeFullDelta(Version(1)), kCodec));
  BOOST_REQUIRE(behind.Apply(MakeFullDelta(Version(1)), kCodec));
  BOOST_REQUIRE(ahead.Apply(MakeFullDelta(Version(2, 50)), kCodec));
  const auto delta = ahead.MakeDelta(behind.CurrentId());
  BOOST_TEST(delta.changed_.size() == 2U);
  BOOST_TEST(delta.changed_.contains("teams"));
  BOOST_TEST(delta.changed_.contains("failure_domains")); // it has the number of the document
  VersionStore empty;
  BOOST_TEST((empty.Apply(delta, kCodec).error().refusal_ == VersionRefusal::BaseMissing));
  BOOST_TEST(behind.Apply(delta, kCodec).has_value());
  BOOST_TEST((behind.CurrentId() == ahead.CurrentId()));
  BOOST_TEST(
    !IsConfiguration(ahead.MakeDelta({ { .revision_ = 1 }, Digest::Compute("unknown") }).from_));
}

// Load pattern "burst of versions": each version changes one of hundreds of routes.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_leaves_most_routes_out_of_the_delta)
{
  auto document = MakeDocument({ .version_ = 1 });
  const auto route = document["routes"][0];
  for (int i = 0; i < 800; ++i) {
    auto copy = route;
    copy["name"] = "idle-" + std::to_string(i);
    copy["path_prefix"] = "/idle-" + std::to_string(i) + "/";
    document["routes"].push_back(copy);
  }
  VersionStore store;
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Encode(document)), kCodec));
  const auto before = store.CurrentId();
  std::size_t whole = 0;
  for (const auto& [name, bytes] : store.MakeDelta({}).changed_) {
    whole += bytes->size();
  }
  document["version"] = 2;
  document["routes"][3]["timeout_ms"] = 77;
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Encode(document)), kCodec));
  std::size_t changed = 0;
  for (const auto& [name, bytes] : store.MakeDelta(before).changed_) {
    changed += bytes->size();
  }
  BOOST_TEST(changed * 8 < whole);
  const auto* found = store.Current()->FindRoute("", "POST", "/idle-0/x");
  BOOST_REQUIRE(found != nullptr);
  BOOST_TEST(found->timeout_.count() == 77);
}

BOOST_AUTO_TEST_CASE(routes_that_stay_are_checked_against_services_that_go)
{
  auto document = MakeDocument({ .version_ = 1 });
  auto files = document["services"][0];
  files["name"] = "files";
  files["backend_servers"] = json::array();
  document["services"].push_back(files);
  document["routes"][0]["service"] = "files";
  VersionStore store;
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Encode(document)), kCodec));
  auto parts = Encode(document).parts_;
  parts.erase("service/files");
  const EncodedDocument dangling{ impl::MakeManifest({ .revision_ = 2 }, parts, {}, {}), parts };
  BOOST_TEST(
    (store.Apply(MakeFullDelta(dangling), kCodec).error().refusal_ == VersionRefusal::Invalid));
}

// Load pattern "burst of versions": nodes that read the platform get different revisions.
BOOST_AUTO_TEST_CASE(a_delta_from_a_version_never_seen_is_applied_if_its_content_fits)
{
  VersionStore reader;
  VersionStore other;
  BOOST_REQUIRE(reader.Apply(MakeFullDelta(Version(1)), kCodec));
  BOOST_REQUIRE(other.Apply(MakeFullDelta(Version(1)), kCodec));
  BOOST_REQUIRE(
    other.Apply(MakeFullDelta(Version(2, 20)), kCodec)); // the reader never had this version
  const auto before = reader.CurrentId();
  BOOST_REQUIRE(reader.Apply(MakeFullDelta(Version(3, 30)), kCodec));
  BOOST_TEST(other.Apply(reader.MakeDelta(before), kCodec).has_value());
  BOOST_TEST((other.CurrentId() == reader.CurrentId()));
}

BOOST_AUTO_TEST_CASE(a_delta_that_does_not_fit_the_running_parts_asks_for_another)
{
  VersionStore reader;
  VersionStore other;
  BOOST_REQUIRE(reader.Apply(MakeFullDelta(Version(1)), kCodec));
  auto document = MakeDocument({ .version_ = 2 });
  document["routes"][0]["timeout_ms"] = 77;
  BOOST_REQUIRE(other.Apply(MakeFullDelta(Encode(document)), kCodec));
  const auto before = reader.CurrentId();
  BOOST_REQUIRE(reader.Apply(MakeFullDelta(Version(3, 30)), kCodec));
  const auto refused = other.Apply(reader.MakeDelta(before), kCodec);
  BOOST_TEST((refused.error().refusal_ == VersionRefusal::BaseMissing));
  const auto fitting = reader.MakeDelta(other.CurrentId(), other.Current()->GetManifest().parts_);
  BOOST_TEST(fitting.changed_.size() == 3U); // not the whole version
  BOOST_TEST(other.Apply(fitting, kCodec).has_value());
}

BOOST_AUTO_TEST_CASE(a_delta_whose_content_does_not_match_changes_nothing)
{
  VersionStore store;
  const auto good = MakeFullDelta(Version(1));
  auto changed = good.changed_;
  changed.at("teams") = std::make_shared<const std::string>(R"({"teams":[]})");
  const Delta forged{ .from_ = {}, .to_ = good.to_, .changed_ = changed, .removed_ = {} };
  BOOST_TEST((store.Apply(forged, kCodec).error().refusal_ == VersionRefusal::ContentMismatch));
  BOOST_TEST(!store.Current());
  BOOST_TEST(
    store.Apply(good, kCodec).has_value()); // a mismatch does not mark the version as invalid
}

BOOST_AUTO_TEST_CASE(an_invalid_version_is_refused_whole_and_recorded)
{
  VersionStore store;
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Version(1)), kCodec));
  auto parts = Version(2).parts_;
  parts.erase("service/orders");
  const EncodedDocument dangling{ impl::MakeManifest({ .revision_ = 2 }, parts, {}, {}), parts };
  const auto refused = store.Apply(MakeFullDelta(dangling), kCodec);
  BOOST_TEST((refused.error().refusal_ == VersionRefusal::Invalid));
  BOOST_TEST(!refused.error().faults_.empty());
  BOOST_TEST((store.FindRefusal(MakeVersionId(dangling.manifest_)) == VersionRefusal::KnownBad));
  BOOST_TEST(store.CurrentId().number_.document_ == 1U);
}

BOOST_AUTO_TEST_CASE(a_change_is_checked_against_the_parts_that_stay)
{
  VersionStore store;
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Version(1)), kCodec));
  // A second service has a node of the first one, which is unchanged.
  auto parts = Version(2).parts_;
  const std::string service = R"({"name":"files","slots":1,"connections":1,"backend_servers":[)"
                              R"({"name":"f","failure_domain":"zone-1","node":"127.1.1.1:7000"}]})";
  parts["service/files"] = std::make_shared<const std::string>(service);
  const EncodedDocument doubled{ impl::MakeManifest({ .revision_ = 2 }, parts, {}, {}), parts };
  BOOST_TEST(
    (store.Apply(MakeFullDelta(doubled), kCodec).error().refusal_ == VersionRefusal::Invalid));
  // A failure domain that an unchanged service refers to is removed.
  parts = Version(3).parts_;
  parts["failure_domains"] =
    std::make_shared<const std::string>(R"({"failure_domains":[{"name":"zone-1"}]})");
  const EncodedDocument dangling{ impl::MakeManifest({ .revision_ = 3 }, parts, {}, {}), parts };
  BOOST_TEST(
    (store.Apply(MakeFullDelta(dangling), kCodec).error().refusal_ == VersionRefusal::Invalid));
  BOOST_TEST(store.CurrentId().number_.document_ == 1U);
}

BOOST_AUTO_TEST_CASE(the_index_of_nodes_follows_changes)
{
  VersionStore store;
  BOOST_REQUIRE(store.Apply(MakeFullDelta(Version(1)), kCodec));
  auto document = MakeDocument({ .version_ = 2 });
  document["services"][0]["backend_servers"].erase(1);
  const auto smaller = store.Apply(MakeFullDelta(Encode(document)), kCodec).value();
  BOOST_TEST(smaller->FindNodes("zone-1").size() == 1U);
  BOOST_TEST(smaller->FindNodes("zone-2").size() == 2U);
  const auto larger = store.Apply(MakeFullDelta(Version(3)), kCodec).value();
  BOOST_TEST(
    (larger->FindNodes("zone-1") == std::vector<NodeAddress>{ NodeAt(1, 1), NodeAt(1, 2) }));
}
