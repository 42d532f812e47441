#define BOOST_TEST_MODULE store_items
#include "../../platform/store_items.hpp"
#include "../../platform/store_protocol.hpp"

#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace geraniumpin;
using nlohmann::json;

namespace {

const StoreItemDecoder kDecoder({ "sul-br-a", "sul-br-b" }, 7000);

const std::string kInstance = R"({"address":"10.128.0.9:8080","born":1772798762052,
  "details":{"service":"huvo11a","version":"v1","zone":"sul-br-a","capacity":9},
  "status":{"state":"ready","sequence":4,"cold_remaining":"0ms"}})";

const std::string kConfig = R"({"version":"0000001a",
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",
            "idle_timeout":"15s"},
  "tenants":[{"name":"pulo780","api_keys":["k1","k2"],"priority":1,"rate_per_s":212,
              "burst_size":212}],
  "listeners":[
    {"host":"jepu9.example","rules":[
      {"name":"r-1","kind":"idempotent","target_latency":"200ms","priority":2,"public":false,
       "match":{"prefix":"/lepu270/"},
       "action":{"weighted_services":[{"service":"huvo11a","weight":90},
                                      {"service":"kafi81c","weight":10}],
                 "timeout":"500ms","attempts":2}}]},
    {"host":"hulo84.example","rules":[
      {"name":"r-2","kind":"upload","target_latency":"0.25s","priority":1,"public":true,
       "match":{"prefix":"/xapu221/"},"action":{"service":"huvo11a","timeout":"600ms",
                                                 "attempts":2}}]}],
  "clusters":[{"name":"huvo11a","health_path":"/health","max_connections":120,"protocol":"h1",
               "tls":false,"cold_start":"3s","cold_per_s":32.0},
              {"name":"kafi81c","health_path":"/health","max_connections":120}]})";

template<class Item>
Item
DecodeAs(const std::string& aKey, const std::string& aText)
{
  return std::get<Item>(kDecoder.Decode(aKey, aText).value().value());
}

} // namespace

BOOST_AUTO_TEST_CASE(an_instance_is_translated)
{
  const auto instance = DecodeAs<PublishedInstance>("servers/i-1", kInstance);
  BOOST_TEST(instance.service_ == "huvo11a");
  BOOST_TEST(instance.backendServer_.name_ == "i-1");
  BOOST_TEST(instance.backendServer_.node_.Text() == "10.128.0.9:7000");
  BOOST_TEST(instance.backendServer_.slots_ == 9U);
  BOOST_TEST(instance.backendServer_.startedAt_ == 1772798762052U);
  BOOST_TEST(!instance.backendServer_.cold_);
  auto cold = json::parse(kInstance);
  cold["status"]["cold_remaining"] = "1.5s";
  cold["status"]["state"] = "draining";
  const auto other = DecodeAs<PublishedInstance>("servers/i-1", cold.dump());
  BOOST_TEST(other.backendServer_.cold_);
  BOOST_TEST((other.backendServer_.state_ == InstanceState::Draining));
}

BOOST_AUTO_TEST_CASE(an_entry_that_changed_only_its_sequence_is_the_same_instance)
{
  auto later = json::parse(kInstance);
  later["status"]["sequence"] = 99;
  BOOST_TEST((DecodeAs<PublishedInstance>("servers/i-1", kInstance) ==
              DecodeAs<PublishedInstance>("servers/i-1", later.dump())));
}

BOOST_AUTO_TEST_CASE(the_document_is_translated)
{
  const auto document = DecodeAs<PublishedDocument>("op/config", kConfig);
  BOOST_TEST(document.failureDomains_.documentNumber_ == 26U);
  BOOST_TEST(document.failureDomains_.failureDomains_.size() == 2U);
  BOOST_TEST((document.failureDomains_.callerLimits_.idleTimeout_ == std::chrono::seconds(15)));
  const auto& routes = document.routes_.routes_;
  BOOST_REQUIRE(routes.size() == 2U);
  BOOST_TEST(routes[0].host_ == "jepu9.example");
  BOOST_TEST(routes[0].destinations_[1].weight_ == 10U);
  BOOST_TEST(routes[0].idempotent_);
  BOOST_TEST((routes[0].access_ == Access::Keyed));
  BOOST_TEST(!routes[1].idempotent_);
  BOOST_TEST((routes[1].access_ == Access::Open));
  BOOST_TEST((routes[1].targetLatency_ == std::chrono::milliseconds(250)));
  BOOST_TEST(document.services_[0].coldRatePerSecond_ == 32.0);
  BOOST_TEST(document.keys_.keys_.size() == 2U);
  BOOST_TEST((document.keys_.keys_[0].digest_ == Digest::Compute("k1")));
}

BOOST_AUTO_TEST_CASE(without_teams_every_route_is_open)
{
  auto config = json::parse(kConfig);
  config.erase("tenants");
  const auto document = DecodeAs<PublishedDocument>("op/config", config.dump());
  BOOST_TEST((document.routes_.routes_[0].access_ == Access::Open));
}

BOOST_AUTO_TEST_CASE(an_evacuation_takes_its_failure_domain_out_of_service)
{
  BOOST_TEST(DecodeAs<DomainOutOfService>("op/evacuate/sul-br-b", "{}").name_ == "sul-br-b");
  BOOST_TEST(!kDecoder.Decode("something/else", "x").value().has_value());
}

BOOST_AUTO_TEST_CASE(malformed_instances_are_refused)
{
  const auto refused = [](const std::string& aText) {
    return !kDecoder.Decode("servers/i-1", aText).has_value();
  };
  BOOST_TEST(refused(""));
  BOOST_TEST(refused("\xff\xfe"));
  BOOST_TEST(refused("[]"));
  for (const std::string part : { "address", "details", "status" }) {
    auto entry = json::parse(kInstance);
    entry.erase(part);
    BOOST_TEST(refused(entry.dump()), part);
  }
  const auto with = [&](const std::string& aPointer, const json& aValue) {
    auto entry = json::parse(kInstance);
    entry[json::json_pointer(aPointer)] = aValue;
    return entry.dump();
  };
  BOOST_TEST(refused(with("/status/state", "resting")));
  BOOST_TEST(refused(with("/status/state", 3)));
  BOOST_TEST(refused(with("/status/cold_remaining", "soon")));
  BOOST_TEST(refused(with("/details/capacity", "nine")));
  BOOST_TEST(refused(with("/details/capacity", -1)));
  BOOST_TEST(refused(with("/details/service", json::array())));
  BOOST_TEST(refused(with("/address", "host:80")));
  BOOST_TEST(refused(with("/born", "yesterday")));
  BOOST_TEST(refused(with("/born", 1.5)));
}

// An entry of another writer ended the process of each node that read it.
BOOST_AUTO_TEST_CASE(deeply_nested_items_are_refused)
{
  for (const std::size_t depth : { 100U, 50'000U, 2'000'000U }) {
    for (const auto& [open, close] : { std::pair{ "[", "]" }, std::pair{ R"({"a":)", "}" } }) {
      std::string nested;
      for (std::size_t i = 0; i < depth; ++i) {
        nested += open;
      }
      nested += "1";
      for (std::size_t i = 0; i < depth; ++i) {
        nested += close;
      }
      for (const std::string field : { "1772798762052", "9}", "\"ready\"" }) {
        auto text = kInstance;
        const auto rest = field == "9}" ? "}" : "";
        text.replace(text.find(field), field.size(), nested + rest);
        const auto refused = kDecoder.Decode("servers/i-1", text);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(ToString(refused.error().front()).size() < 500U);
      }
      BOOST_TEST(!kDecoder.Decode("op/config", nested).has_value());
      BOOST_TEST((StoreProtocol::Parse({ .status_ = 200, .body_ = MakeBody(nested) }).result_ ==
                  ReadResult::Failed));
    }
  }
}

// A capacity of 4294967297 became 1, and the result of a time out of range was undefined.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_refused)
{
  const auto isRefused =
    [](const std::string& aKey, std::string aText, const std::string& aFrom, const char* aTo) {
      aText.replace(aText.find(aFrom), aFrom.size(), aTo);
      return !kDecoder.Decode(aKey, aText).has_value();
    };
  for (const auto* capacity : { "4294967297", "65536", "18446744073709551616", "1e999", "1e3" }) {
    BOOST_TEST(isRefused("servers/i-1", kInstance, "9}", (std::string(capacity) + "}").c_str()),
               capacity);
  }
  for (const auto* time : { "99999999999999999999s", "nans", "infs", "1e300ms", "-1s" }) {
    BOOST_TEST(isRefused("servers/i-1", kInstance, "0ms", time), time);
  }
  BOOST_TEST(isRefused("servers/i-1", kInstance, "1772798762052", "18446744073709551615"));
  BOOST_TEST(isRefused("servers/i-1", kInstance, ":8080", ":99999"));
  for (const auto* field : { R"("weight":90)", R"("attempts":2)", R"("max_connections":120)" }) {
    const std::string name(field, std::string_view(field).find(':') + 1);
    BOOST_TEST(isRefused("op/config", kConfig, field, (name + "4294967297").c_str()), field);
    BOOST_TEST(isRefused("op/config", kConfig, field, (name + "-1").c_str()), field);
  }
}

BOOST_AUTO_TEST_CASE(mutated_items_are_refused_or_translated_but_never_end_the_process)
{
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    const bool isConfig = i % 2 == 0;
    auto text = isConfig ? kConfig : kInstance;
    for (int change = 0; change < 1 + i % 4; ++change) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    (void)kDecoder.Decode(isConfig ? "op/config" : "servers/i-1", text);
  }
}

BOOST_AUTO_TEST_CASE(responses_of_the_store_are_parsed)
{
  const auto parse = [](int aStatus, const std::string& aText) {
    return StoreProtocol::Parse({ .status_ = aStatus, .body_ = MakeBody(aText) });
  };
  const auto page = parse(200, R"({"items":[{"key":"servers/i-1","value":"e30=","revision":4}],
                                   "has_more":true,"at_rev":530})");
  BOOST_TEST((page.result_ == ReadResult::Complete));
  BOOST_TEST(page.hasMore_);
  BOOST_TEST(page.revision_ == 530U);
  BOOST_TEST(*page.items_.front().value_ == "{}");
  const auto watch =
    parse(200, R"({"events":[{"key":"servers/i-1","revision":9,"deleted":true}],"at_rev":9})");
  BOOST_TEST(!watch.items_.front().value_.has_value());
  BOOST_TEST((parse(410, "").result_ == ReadResult::HistoryGone));
  BOOST_TEST((parse(503, "").result_ == ReadResult::Failed));
  BOOST_TEST((parse(200, "{}").result_ == ReadResult::Failed));
  BOOST_TEST((parse(200, "not json").result_ == ReadResult::Failed));
  BOOST_TEST(StoreProtocol::PagePath("servers/i 1") == "/-/kv-range?prefix=&after=servers%2Fi%201");
}
