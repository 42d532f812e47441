#include "document_json.hpp"

#include "deflate.hpp"
#include "document_schema.hpp"
#include "geraniumpin/version/part_split.hpp"
#include "json_parse.hpp"
#include "json_text.hpp"

#include <algorithm>
#include <array>

namespace geraniumpin {

namespace impl {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxPartBytes = 1'000'000; // the platform stores values of up to 1 MB

const JsonSchema&
DocumentSchema()
{
  static const JsonSchema kSchema{ kDocumentSchema };
  return kSchema;
}

bool
IsKnownPart(std::string_view aName) noexcept
{
  return aName == part_name::kFailureDomains || aName == part_name::kTeams ||
         aName.starts_with(part_name::kRoutesPrefix) || aName.starts_with(part_name::kKeysPrefix) ||
         aName.starts_with(part_name::kServicePrefix);
}

CallerLimits
ParseCallerLimits(const json& aRoot)
{
  const auto limits = aRoot.value("caller_limits", json::object());
  const CallerLimits defaults;
  return { .maxHeaderBytes_ = limits.value("header_bytes", defaults.maxHeaderBytes_),
           .maxBodyBytes_ = limits.value("body_bytes", defaults.maxBodyBytes_),
           .headerTimeout_ = std::chrono::milliseconds(
             limits.value("header_timeout_ms", defaults.headerTimeout_.count())),
           .idleTimeout_ = std::chrono::milliseconds(
             limits.value("idle_timeout_ms", defaults.idleTimeout_.count())) };
}

FailureDomainsPart
ParseFailureDomains(const json& aRoot)
{
  std::vector<FailureDomain> domains;
  for (const auto& item : aRoot.at("failure_domains")) {
    domains.push_back({ .name_ = item.at("name"), .inService_ = item.value("in_service", true) });
  }
  const std::chrono::seconds cutOff(
    aRoot.value("cut_off_keyed_service_s", FailureDomainsPart{}.cutOffKeyedService_.count()));
  const auto number = aRoot.value("version", aRoot.value("document_number", std::uint64_t{ 0 }));
  return { .documentNumber_ = number,
           .failureDomains_ = std::move(domains),
           .cutOffKeyedService_ = cutOff,
           .callerLimits_ = ParseCallerLimits(aRoot) };
}

Service
ParseService(const json& aItem)
{
  std::vector<BackendServer> backendServers;
  for (const auto& item : aItem.at("backend_servers")) {
    backendServers.push_back(
      { .name_ = item.at("name"),
        .failureDomain_ = item.at("failure_domain"),
        .node_ = NodeAddress::Parse(item.at("node").get<std::string>()).value_or(NodeAddress{}),
        .state_ = item.value("draining", false) ? InstanceState::Draining : InstanceState::Ready,
        .cold_ = item.value("cold", false),
        .slots_ = item.value("slots", 0U),
        .startedAt_ = item.value("started_at_ms", std::uint64_t{ 0 }) });
  }
  return { .name_ = aItem.at("name"),
           .slots_ = aItem.at("slots"),
           .connections_ = aItem.at("connections"),
           .coldRatePerSecond_ = aItem.value("cold_rate_per_s", 0.0),
           .coldTime_ = std::chrono::milliseconds(aItem.value("cold_time_ms", 0)),
           .healthPath_ = aItem.value("health_path", std::string()),
           .backendServers_ = std::move(backendServers) };
}

std::vector<Destination>
ParseDestinations(const json& aRoute)
{
  if (aRoute.contains("service")) {
    return { { .service_ = aRoute.at("service") } };
  }
  std::vector<Destination> destinations;
  for (const auto& item : aRoute.at("destinations")) {
    destinations.push_back({ .service_ = item.at("service"), .weight_ = item.at("weight") });
  }
  return destinations;
}

RoutesPart
ParseRoutes(const json& aRoot)
{
  std::vector<Route> routes;
  for (const auto& item : aRoot.at("routes")) {
    routes.push_back(
      { .name_ = item.at("name"),
        .host_ = item.value("host", std::string()),
        .pathPrefix_ = item.at("path_prefix"),
        .methods_ = item.value("methods", std::vector<std::string>{}),
        .destinations_ = ParseDestinations(item),
        .access_ = item.at("access") == "open" ? Access::Open : Access::Keyed,
        .idempotent_ = item.at("idempotent"),
        .timeout_ = std::chrono::milliseconds(item.at("timeout_ms")),
        .targetLatency_ = std::chrono::milliseconds(item.value("target_latency_ms", 0)),
        .attempts_ = item.value("attempts", kDefaultAttempts),
        .priority_ = item.value("priority", 0U) });
  }
  return { std::move(routes) };
}

TeamsPart
ParseTeams(const json& aRoot)
{
  std::vector<Team> teams;
  for (const auto& item : aRoot.at("teams")) {
    teams.push_back({ .name_ = item.at("name"),
                      .ratePerSecond_ = item.at("rate_per_s"),
                      .burst_ = item.at("burst"),
                      .priority_ = item.value("priority", 0U) });
  }
  return { std::move(teams) };
}

json
Encode(const FailureDomainsPart& aPart)
{
  json domains = json::array();
  for (const auto& domain : aPart.failureDomains_) {
    domains.push_back({ { "name", domain.name_ }, { "in_service", domain.inService_ } });
  }
  const auto& limits = aPart.callerLimits_;
  return { { "document_number", aPart.documentNumber_ },
           { "failure_domains", domains },
           { "cut_off_keyed_service_s", aPart.cutOffKeyedService_.count() },
           { "caller_limits",
             { { "header_bytes", limits.maxHeaderBytes_ },
               { "body_bytes", limits.maxBodyBytes_ },
               { "header_timeout_ms", limits.headerTimeout_.count() },
               { "idle_timeout_ms", limits.idleTimeout_.count() } } } };
}

json
Encode(const Service& aService)
{
  json backendServers = json::array();
  for (const auto& server : aService.backendServers_) {
    backendServers.push_back({ { "name", server.name_ },
                               { "failure_domain", server.failureDomain_ },
                               { "node", server.node_.Text() },
                               { "draining", server.state_ == InstanceState::Draining },
                               { "cold", server.cold_ },
                               { "slots", server.slots_ },
                               { "started_at_ms", server.startedAt_ } });
  }
  return { { "name", aService.name_ },
           { "slots", aService.slots_ },
           { "connections", aService.connections_ },
           { "cold_rate_per_s", aService.coldRatePerSecond_ },
           { "cold_time_ms", aService.coldTime_.count() },
           { "health_path", aService.healthPath_ },
           { "backend_servers", backendServers } };
}

json
Encode(const RoutesPart& aPart)
{
  json routes = json::array();
  for (const auto& route : aPart.routes_) {
    json destinations = json::array();
    for (const auto& destination : route.destinations_) {
      destinations.push_back(
        { { "service", destination.service_ }, { "weight", destination.weight_ } });
    }
    routes.push_back({ { "name", route.name_ },
                       { "host", route.host_ },
                       { "path_prefix", route.pathPrefix_ },
                       { "methods", route.methods_ },
                       { "destinations", destinations },
                       { "access", route.access_ == Access::Open ? "open" : "keyed" },
                       { "idempotent", route.idempotent_ },
                       { "timeout_ms", route.timeout_.count() },
                       { "target_latency_ms", route.targetLatency_.count() },
                       { "attempts", route.attempts_ },
                       { "priority", route.priority_ } });
  }
  return { { "routes", routes } };
}

json
Encode(const TeamsPart& aPart)
{
  json teams = json::array();
  for (const auto& team : aPart.teams_) {
    teams.push_back({ { "name", team.name_ },
                      { "rate_per_s", team.ratePerSecond_ },
                      { "burst", team.burst_ },
                      { "priority", team.priority_ } });
  }
  return { { "teams", teams } };
}

json
Encode(const KeysPart& aPart)
{
  json keys = json::array();
  for (const auto& key : aPart.keys_) {
    keys.push_back({ { "sha256", key.digest_.Hex() }, { "team", key.team_ } });
  }
  return { { "keys", keys } };
}

KeysPart
ParseKeys(const json& aRoot)
{
  std::vector<Key> keys;
  for (const auto& item : aRoot.at("keys")) {
    keys.push_back(
      { .digest_ = Digest::FromHex(item.at("sha256").get<std::string>()).value_or(Digest{}),
        .team_ = item.at("team") });
  }
  return { std::move(keys) };
}

PartValue
ParsePart(std::string_view aName, const json& aRoot)
{
  if (aName == part_name::kFailureDomains) {
    return ParseFailureDomains(aRoot);
  }
  if (aName.starts_with(part_name::kRoutesPrefix)) {
    return ParseRoutes(aRoot);
  }
  if (aName == part_name::kTeams) {
    return ParseTeams(aRoot);
  }
  if (aName.starts_with(part_name::kKeysPrefix)) {
    return ParseKeys(aRoot);
  }
  return ParseService(aRoot);
}

tl::expected<std::optional<DecodedItem>, Faults>
DecodeVmList(std::string_view aText)
{
  const auto list = ParseVmList(aText);
  if (!list) {
    return tl::make_unexpected(
      Faults{ { std::string(JsonItemDecoder::kVmListKey), "", {}, "expected a list of VMs", "" } });
  }
  return std::optional<DecodedItem>(*list);
}

/// Checks that node addresses are IP addresses with a port, which a schema cannot.
Faults
CheckAddresses(const JsonText& aText, const json& aService, const std::string& aPath)
{
  Faults faults;
  const auto& backendServers = aService.at("backend_servers");
  for (std::size_t i = 0; i < backendServers.size(); ++i) {
    if (!NodeAddress::Parse(backendServers[i].at("node").get<std::string>())) {
      faults.push_back(aText.MakeFaultAt(aPath + "/backend_servers/" + std::to_string(i) + "/node",
                                         "expected an IP address and a port"));
    }
  }
  return faults;
}

/// \returns The fault of the first malformed address of a service part; null if there is none.
const char*
FindBadAddress(std::string_view aName, const json& aRoot)
{
  if (!aName.starts_with(part_name::kServicePrefix)) {
    return nullptr;
  }
  for (const auto& item : aRoot.at("backend_servers")) {
    if (!NodeAddress::Parse(item.at("node").get<std::string>())) {
      return "a node that is not an IP address and a port";
    }
  }
  return nullptr;
}

/// Returns the name of the part that holds an item of a split list.
std::string
MakePartName(std::string_view aList, const json& aItem)
{
  if (aList == "routes") {
    return RoutesPartName(aItem.at("name").get<std::string>());
  }
  return KeysPartName(Digest::FromHex(aItem.at("sha256").get<std::string>()).value_or(Digest{}));
}

/// Maps paths in a part to paths in the operator's document.
class PartLocator
{
public:
  explicit PartLocator(const json& aDocument)
  {
    const auto& services = aDocument.at("services");
    for (std::size_t i = 0; i < services.size(); ++i) {
      const auto name = services[i].at("name").get<std::string>();
      servicePaths_.emplace(std::string(part_name::kServicePrefix) + name,
                            "/services/" + std::to_string(i));
    }
    for (const auto* list : { "routes", "keys" }) {
      const auto& items = aDocument.at(list);
      for (std::size_t i = 0; i < items.size(); ++i) {
        itemPaths_[MakePartName(list, items[i])].push_back("/" + std::string(list) + "/" +
                                                           std::to_string(i));
      }
    }
  }

  [[nodiscard]] std::string FindDocumentPath(const Fault& aFault) const
  {
    if (const auto service = servicePaths_.find(aFault.source_); service != servicePaths_.end()) {
      return service->second + aFault.path_;
    }
    const auto items = itemPaths_.find(aFault.source_);
    if (items == itemPaths_.end()) {
      return aFault.path_;
    }
    const auto rest = aFault.path_.substr(aFault.path_.find('/', 1) + 1); // after the list's name
    const auto slash = rest.find('/');
    return items->second.at(std::stoul(rest.substr(0, slash))) + rest.substr(slash);
  }

private:
  std::map<std::string, std::string> servicePaths_;
  std::map<std::string, std::vector<std::string>> itemPaths_; ///< of routes and keys, by part
};

std::map<std::string, SharedBytes>
SplitParts(const json& aDocument)
{
  std::map<std::string, json> parts;
  auto& domains = parts[std::string(part_name::kFailureDomains)];
  domains["failure_domains"] = aDocument.at("failure_domains");
  domains["document_number"] = aDocument.at("version");
  for (const auto* name : { "cut_off_keyed_service_s", "caller_limits" }) {
    if (aDocument.contains(name)) {
      domains[name] = aDocument.at(name);
    }
  }
  parts[std::string(part_name::kTeams)]["teams"] = aDocument.at("teams");
  for (const auto& service : aDocument.at("services")) {
    parts[std::string(part_name::kServicePrefix) + service.at("name").get<std::string>()] = service;
  }
  for (const auto* list : { "routes", "keys" }) {
    for (const auto& item : aDocument.at(list)) {
      parts[MakePartName(list, item)][list].push_back(item);
    }
  }
  std::map<std::string, SharedBytes> encoded;
  for (const auto& [name, part] : parts) {
    encoded.emplace(name, std::make_shared<const std::string>(part.dump()));
  }
  return encoded;
}

Faults
CheckServiceNames(const JsonText& aText)
{
  Faults faults;
  std::set<std::string> names;
  const auto& services = aText.Root().at("services");
  for (std::size_t i = 0; i < services.size(); ++i) {
    const auto path = "/services/" + std::to_string(i);
    if (!names.insert(services[i].at("name")).second) {
      faults.push_back(aText.MakeFaultAt(path + "/name", "expected a unique name"));
    }
    for (const auto& fault : CheckAddresses(aText, services[i], path)) {
      faults.push_back(fault);
    }
  }
  return faults;
}

Faults
CheckReferences(const JsonText& aText,
                const Manifest& aManifest,
                const std::map<std::string, SharedBytes>& aParts)
{
  SnapshotBuilder builder(aManifest);
  for (const auto& [name, bytes] : aParts) {
    builder.Add(name, std::make_shared<const PartValue>(ParsePart(name, json::parse(*bytes))));
  }
  const auto snapshot = builder.Build();
  if (snapshot) {
    return {};
  }
  const PartLocator locator(aText.Root());
  Faults faults;
  for (const auto& fault : snapshot.error()) {
    faults.push_back(
      aText.MakeFaultAt(locator.FindDocumentPath(fault), "expected " + fault.description_));
  }
  return faults;
}

} // namespace
} // namespace impl

tl::expected<SharedPart, Faults>
JsonPartCodec::Decode(std::string_view aName, std::string_view aText) const
{
  const auto refuse = [&](const char* aFound) {
    return tl::make_unexpected(
      Faults{ { std::string(aName), "", {}, "expected a well-formed part", aFound } });
  };
  if (!impl::IsKnownPart(aName)) {
    return refuse("a part of an unknown kind");
  }
  std::optional<std::string> inflated;
  if (IsDeflated(aText)) {
    inflated = Inflate(aText, impl::kMaxPartBytes);
    if (!inflated) {
      return refuse("a damaged part, or one of more than 1 MB");
    }
    aText = *inflated;
  }
  // Parts come from nodes that validated the whole document; here only their form is checked, since
  // validation against the schema would take most of the time of applying a version.
  try {
    const auto root = ParseJson(aText);
    if (!root) {
      return refuse(root.error().c_str());
    }
    if (const auto* fault = impl::FindBadAddress(aName, *root)) {
      return refuse(fault);
    }
    return std::make_shared<const PartValue>(impl::ParsePart(aName, *root));
  } catch (const nlohmann::json::exception& error) {
    return refuse(error.what());
  }
}

std::string
JsonPartCodec::Encode(const PartValue& aPart) const
{
  return Deflate(std::visit([](const auto& aValue) { return impl::Encode(aValue).dump(); }, aPart));
}

std::optional<VmList>
ParseVmList(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  if (!parsed || !parsed->is_object() || !parsed->value("vms", nlohmann::json()).is_array()) {
    return std::nullopt;
  }
  const auto& root = *parsed;
  VmList list;
  for (const auto& item : root.at("vms")) {
    const auto node = NodeAddress::Parse(item.value("node", std::string()));
    if (!node) {
      return std::nullopt;
    }
    const auto admin = NodeAddress::Parse(item.value("admin", std::string()));
    list.vms_.push_back({ .node_ = *node,
                          .admin_ = admin.value_or(NodeAddress{}),
                          .failureDomain_ = item.value("failure_domain", std::string()),
                          .leaving_ = item.value("state", std::string("live")) == "leaving" });
  }
  return list;
}

tl::expected<std::optional<DecodedItem>, Faults>
JsonItemDecoder::Decode(std::string_view aKey, std::string_view aText) const
{
  if (aKey == kVmListKey) {
    return impl::DecodeVmList(aText);
  }
  if (aKey != kDocumentKey) {
    return std::optional<DecodedItem>();
  }
  const auto text = JsonText::Parse(std::string(aKey), aText);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  auto faults = text->Check(impl::DocumentSchema());
  if (faults.empty()) {
    faults = impl::CheckServiceNames(*text);
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  const auto& root = text->Root();
  std::vector<Service> services;
  for (const auto& service : root.at("services")) {
    services.push_back(impl::ParseService(service));
  }
  return std::optional<DecodedItem>(
    PublishedDocument{ .failureDomains_ = impl::ParseFailureDomains(root),
                       .routes_ = impl::ParseRoutes(root),
                       .services_ = std::move(services),
                       .teams_ = impl::ParseTeams(root),
                       .keys_ = impl::ParseKeys(root) });
}

tl::expected<EncodedDocument, Faults>
EncodeDocument(const std::string& aSource, std::string_view aText)
{
  const auto text = JsonText::Parse(aSource, aText);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  auto faults = text->Check(impl::DocumentSchema());
  if (faults.empty()) {
    faults = impl::CheckServiceNames(*text);
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  auto parts = impl::SplitParts(text->Root());
  const auto number = text->Root().at("version").get<std::uint64_t>();
  const auto manifest =
    impl::MakeManifest({ .document_ = number, .revision_ = number }, parts, {}, {});
  faults = impl::CheckReferences(*text, manifest, parts);
  for (const auto& [name, bytes] : parts) {
    if (bytes->size() > impl::kMaxPartBytes) {
      faults.push_back({ aSource, "", {}, "expected parts of at most 1 MB", name });
    }
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return EncodedDocument{ .manifest_ = manifest,
                          .parts_ = std::move(parts),
                          .text_ = std::string(aText) };
}

} // namespace geraniumpin
