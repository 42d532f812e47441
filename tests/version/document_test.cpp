#define BOOST_TEST_MODULE document
#include "../../src/adapters/process/settings_json.hpp"
#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using nlohmann::json;

namespace {

/// \brief Modifies a valid document and returns the faults of the result.
Faults
FindFaults(const std::function<void(json&)>& aModify)
{
  auto document = MakeDocument({});
  aModify(document);
  const auto encoded = EncodeDocument("mesh.json", document.dump(1));
  return encoded ? Faults{} : encoded.error();
}

void
ExpectFault(const std::function<void(json&)>& aModify, const std::string& aPath)
{
  const auto faults = FindFaults(aModify);
  BOOST_REQUIRE_MESSAGE(!faults.empty(), "no fault for " + aPath);
  BOOST_TEST(faults.front().path_ == aPath, ToString(faults.front()));
  BOOST_TEST(faults.front().position_.line_ > 1U, ToString(faults.front()));
}

json
MakeValidSettings()
{
  return { { "peer_address", "127.1.1.1:7000" },   { "caller_address", "127.1.1.1:8000" },
           { "admin_address", "127.1.1.1:8100" },  { "failure_domain", "zone-1" },
           { "backend_server", "127.1.1.1:9000" }, { "platform", "127.0.0.1:8500" },
           { "peer_key", "0123456789abcdef" } };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_valid_document_splits_into_parts_and_builds_a_snapshot)
{
  const auto encoded = Encode(MakeDocument({}));
  VersionStore store;
  const auto snapshot = store.Apply(MakeFullDelta(encoded), JsonPartCodec{}).value();
  BOOST_TEST(snapshot->FindRoute("", "GET", "/orders/1")->name_ == "lookup");
  BOOST_TEST(snapshot->FindRoute("", "DELETE", "/orders/1") == nullptr);
  BOOST_TEST(snapshot->FindKey(Digest::Compute("key-small"))->team_ == "small");
  BOOST_TEST(snapshot->FindKey(Digest::Compute("unknown")) == nullptr);
  BOOST_TEST(snapshot->FindNodes("zone-2").size() == 2U);
  BOOST_TEST(snapshot->FindPlacement(NodeAt(1, 2))->backendServer_.name_ == "orders-1-2");
}

BOOST_AUTO_TEST_CASE(each_fault_of_a_document_names_its_json_pointer)
{
  ExpectFault([](json& aRoot) { aRoot["routes"][0]["service"] = "gone"; }, "/routes/0/service");
  ExpectFault([](json& aRoot) { aRoot["routes"][1]["timeout_ms"] = 0; }, "/routes/1/timeout_ms");
  ExpectFault([](json& aRoot) { aRoot["routes"][0]["extra"] = 1; }, "/routes/0/extra");
  ExpectFault([](json& aRoot) { aRoot["keys"][1]["team"] = "gone"; }, "/keys/1/team");
  ExpectFault([](json& aRoot) { aRoot["teams"][0]["rate_per_s"] = "fast"; }, "/teams/0/rate_per_s");
  ExpectFault([](json& aRoot) { aRoot["failure_domains"][1]["name"] = "zone-1"; },
              "/failure_domains/1/name");
  const std::string servers = "/services/0/backend_servers/";
  ExpectFault(
    [](json& aRoot) { aRoot["services"][0]["backend_servers"][2]["failure_domain"] = "gone"; },
    servers + "2/failure_domain");
  ExpectFault(
    [](json& aRoot) {
      auto& list = aRoot["services"][0]["backend_servers"];
      list[3]["node"] = list[0]["node"];
    },
    servers + "3/node");
  ExpectFault(
    [](json& aRoot) { aRoot["services"][0]["backend_servers"][0]["node"] = "999.1.1.1:1"; },
    servers + "0/node");
}

BOOST_AUTO_TEST_CASE(a_syntax_error_names_line_and_column)
{
  const auto encoded = EncodeDocument("mesh.json", "{\n  \"version\": 1,\n  oops\n}");
  BOOST_REQUIRE(!encoded);
  BOOST_TEST(encoded.error().front().position_.line_ == 3U);
}

BOOST_AUTO_TEST_CASE(the_position_of_a_fault_is_exact)
{
  const std::string text = "{\n  \"peer_address\": 5,\n  \"unknown\": true\n}";
  const auto settings = ParseSettings("node.json", text);
  BOOST_REQUIRE(!settings);
  std::set<std::pair<std::size_t, std::size_t>> places;
  for (const auto& fault : settings.error()) {
    places.emplace(fault.position_.line_, fault.position_.column_);
  }
  BOOST_TEST(places.contains({ 2, 19 }));
  BOOST_TEST(places.contains({ 3, 14 }));
}

BOOST_AUTO_TEST_CASE(settings_are_checked_and_secrets_are_not_shown)
{
  BOOST_TEST(ParseSettings("node.json", MakeValidSettings().dump()).has_value());
  auto doubled = MakeValidSettings();
  doubled["admin_address"] = doubled["caller_address"];
  BOOST_TEST(!ParseSettings("node.json", doubled.dump()));
  auto shortKey = MakeValidSettings();
  shortKey["peer_key"] = "secret";
  const auto refused = ParseSettings("node.json", shortKey.dump());
  BOOST_REQUIRE(!refused);
  BOOST_TEST(ToString(refused.error().front()).find("secret") == std::string::npos);
  auto missing = MakeValidSettings();
  missing.erase("platform");
  BOOST_TEST(!ParseSettings("node.json", missing.dump()));
}

// Guards against overload control that takes effect without its setting.
BOOST_AUTO_TEST_CASE(overload_control_is_off_unless_the_settings_enable_it)
{
  auto settings = MakeValidSettings();
  BOOST_TEST(!ParseSettings("node.json", settings.dump())->OverloadControl());
  settings["overload_control"] = true;
  BOOST_TEST(ParseSettings("node.json", settings.dump())->OverloadControl());
  settings["overload_control"] = "yes";
  BOOST_TEST(!ParseSettings("node.json", settings.dump()).has_value());
}

BOOST_AUTO_TEST_CASE(eighteen_thousand_instances_fit_into_parts_below_a_megabyte)
{
  constexpr int kServices = 460;
  constexpr int kInstances = 18000;
  constexpr int kDomains = 15;
  auto document = MakeDocument({ .domains_ = kDomains, .nodesPerDomain_ = 0 });
  for (int i = 0; i < kServices; ++i) {
    json servers = json::array();
    for (int j = i; j < kInstances; j += kServices) {
      const auto node = "10." + std::to_string(j / 65025) + "." + std::to_string(j / 255 % 255) +
                        "." + std::to_string(j % 255 + 1) + ":7000";
      servers.push_back({ { "name", "service-" + std::to_string(i) + "-" + std::to_string(j) },
                          { "failure_domain", "zone-" + std::to_string(j % kDomains + 1) },
                          { "node", node } });
    }
    document["services"].push_back({ { "name", "service-" + std::to_string(i) },
                                     { "slots", 9 },
                                     { "connections", 120 },
                                     { "backend_servers", servers } });
  }
  const auto encoded = Encode(document);
  std::size_t largest = 0;
  std::size_t total = 0;
  for (const auto& [name, bytes] : encoded.parts_) {
    largest = std::max(largest, bytes->size());
    total += bytes->size();
  }
  BOOST_TEST_MESSAGE("largest part " << largest << ", all parts " << total);
  BOOST_TEST(largest < 1'000'000U);
}
