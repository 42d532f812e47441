#include "document_json.hpp"

#include "document_schema.hpp"
#include "json_text.hpp"

#include <algorithm>
#include <array>

namespace geraniumpin {

namespace impl {
namespace {

using nlohmann::json;

constexpr std::size_t kMostPartBytes = 1'000'000; // the platform holds values up to a megabyte

/// The schemas of the document and of each kind of part, derived from the document's.
struct Schemas
{
  JsonSchema document_{ kDocumentSchema };
  JsonSchema failureDomains_ = ForPart({ "failure_domains", "cut_off_keyed_service_s" });
  JsonSchema routes_ = ForPart({ "routes" });
  JsonSchema teams_ = ForPart({ "teams" });
  JsonSchema keys_ = ForPart({ "keys" });
  JsonSchema service_{ document_.Root().at("properties").at("services").at("items").dump() };

private:
  [[nodiscard]] JsonSchema ForPart(const std::vector<std::string>& aProperties) const
  {
    json schema{ { "type", "object" }, { "additionalProperties", false } };
    for (const auto& name : aProperties) {
      schema["properties"][name] = document_.Root().at("properties").at(name);
    }
    schema["required"] = json::array({ aProperties.front() });
    return JsonSchema(schema.dump());
  }
};

const Schemas&
AllSchemas()
{
  static const Schemas kSchemas;
  return kSchemas;
}

const JsonSchema*
SchemaFor(std::string_view aPartName)
{
  const auto& schemas = AllSchemas();
  if (aPartName == part_name::kFailureDomains) {
    return &schemas.failureDomains_;
  }
  if (aPartName == part_name::kRoutes) {
    return &schemas.routes_;
  }
  if (aPartName == part_name::kTeams) {
    return &schemas.teams_;
  }
  if (aPartName.starts_with(part_name::kKeysPrefix)) {
    return &schemas.keys_;
  }
  return aPartName.starts_with(part_name::kServicePrefix) ? &schemas.service_ : nullptr;
}

FailureDomainsPart
FailureDomainsOf(const json& aRoot)
{
  std::vector<FailureDomain> domains;
  for (const auto& item : aRoot.at("failure_domains")) {
    domains.push_back({ .name_ = item.at("name"), .inService_ = item.value("in_service", true) });
  }
  const std::chrono::seconds cutOff(
    aRoot.value("cut_off_keyed_service_s", FailureDomainsPart{}.cutOffKeyedService_.count()));
  return { .failureDomains_ = std::move(domains), .cutOffKeyedService_ = cutOff };
}

Service
ServiceOf(const json& aItem)
{
  std::vector<BackendServer> backendServers;
  for (const auto& item : aItem.at("backend_servers")) {
    backendServers.push_back(
      { .name_ = item.at("name"),
        .failureDomain_ = item.at("failure_domain"),
        .node_ = NodeAddress::Parse(item.at("node").get<std::string>()).value_or(NodeAddress{}) });
  }
  return { .name_ = aItem.at("name"),
           .slots_ = aItem.at("slots"),
           .connections_ = aItem.at("connections"),
           .backendServers_ = std::move(backendServers) };
}

RoutesPart
RoutesOf(const json& aRoot)
{
  std::vector<Route> routes;
  for (const auto& item : aRoot.at("routes")) {
    routes.push_back({ .name_ = item.at("name"),
                       .pathPrefix_ = item.at("path_prefix"),
                       .methods_ = item.at("methods"),
                       .service_ = item.at("service"),
                       .access_ = item.at("access") == "open" ? Access::Open : Access::Keyed,
                       .idempotent_ = item.at("idempotent"),
                       .timeout_ = std::chrono::milliseconds(item.at("timeout_ms")) });
  }
  return { std::move(routes) };
}

TeamsPart
TeamsOf(const json& aRoot)
{
  std::vector<Team> teams;
  for (const auto& item : aRoot.at("teams")) {
    teams.push_back({ .name_ = item.at("name"),
                      .ratePerSecond_ = item.at("rate_per_s"),
                      .burst_ = item.at("burst") });
  }
  return { std::move(teams) };
}

KeysPart
KeysOf(const json& aRoot)
{
  std::vector<Key> keys;
  for (const auto& item : aRoot.at("keys")) {
    keys.push_back({ .digest_ = *Digest::FromHex(item.at("sha256").get<std::string>()),
                     .team_ = item.at("team") });
  }
  return { std::move(keys) };
}

PartValue
ValueOf(std::string_view aName, const json& aRoot)
{
  if (aName == part_name::kFailureDomains) {
    return FailureDomainsOf(aRoot);
  }
  if (aName == part_name::kRoutes) {
    return RoutesOf(aRoot);
  }
  if (aName == part_name::kTeams) {
    return TeamsOf(aRoot);
  }
  if (aName.starts_with(part_name::kKeysPrefix)) {
    return KeysOf(aRoot);
  }
  return ServiceOf(aRoot);
}

/// Checks what a schema cannot: that the node addresses are IP numbers with a port.
Faults
CheckAddresses(const JsonText& aText, const json& aService, const std::string& aPath)
{
  Faults faults;
  const auto& backendServers = aService.at("backend_servers");
  for (std::size_t i = 0; i < backendServers.size(); ++i) {
    if (!NodeAddress::Parse(backendServers[i].at("node").get<std::string>())) {
      faults.push_back(aText.FaultAt(aPath + "/backend_servers/" + std::to_string(i) + "/node",
                                     "expected an IP number and a port"));
    }
  }
  return faults;
}

/// Where each value of a part stands in the operator's document.
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
    const auto& keys = aDocument.at("keys");
    for (std::size_t i = 0; i < keys.size(); ++i) {
      const auto digit = keys[i].at("sha256").get<std::string>().front();
      keyPaths_[std::string(part_name::kKeysPrefix) + digit].push_back("/keys/" +
                                                                       std::to_string(i));
    }
  }

  [[nodiscard]] std::string PathOf(const Fault& aFault) const
  {
    if (const auto service = servicePaths_.find(aFault.source_); service != servicePaths_.end()) {
      return service->second + aFault.path_;
    }
    const auto keys = keyPaths_.find(aFault.source_);
    if (keys == keyPaths_.end() || !aFault.path_.starts_with("/keys/")) {
      return aFault.path_;
    }
    const auto rest = aFault.path_.substr(std::string_view("/keys/").size());
    const auto slash = rest.find('/');
    return keys->second.at(std::stoul(rest.substr(0, slash))) + rest.substr(slash);
  }

private:
  std::map<std::string, std::string> servicePaths_;
  std::map<std::string, std::vector<std::string>> keyPaths_;
};

std::map<std::string, SharedBytes>
SplitParts(const json& aDocument)
{
  std::map<std::string, json> parts;
  auto& domains = parts[std::string(part_name::kFailureDomains)];
  domains["failure_domains"] = aDocument.at("failure_domains");
  if (aDocument.contains("cut_off_keyed_service_s")) {
    domains["cut_off_keyed_service_s"] = aDocument.at("cut_off_keyed_service_s");
  }
  parts[std::string(part_name::kRoutes)]["routes"] = aDocument.at("routes");
  parts[std::string(part_name::kTeams)]["teams"] = aDocument.at("teams");
  for (const auto& service : aDocument.at("services")) {
    parts[std::string(part_name::kServicePrefix) + service.at("name").get<std::string>()] = service;
  }
  for (const auto& key : aDocument.at("keys")) {
    const auto digit = key.at("sha256").get<std::string>().front();
    parts[std::string(part_name::kKeysPrefix) + digit]["keys"].push_back(key);
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
      faults.push_back(aText.FaultAt(path + "/name", "expected a unique name"));
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
    builder.Add(name, std::make_shared<const PartValue>(ValueOf(name, json::parse(*bytes))));
  }
  const auto snapshot = builder.Build();
  if (snapshot) {
    return {};
  }
  const PartLocator locator(aText.Root());
  Faults faults;
  for (const auto& fault : snapshot.error()) {
    faults.push_back(aText.FaultAt(locator.PathOf(fault), "expected " + fault.description_));
  }
  return faults;
}

} // namespace
} // namespace impl

tl::expected<SharedPart, Faults>
JsonPartCodec::Decode(std::string_view aName, std::string_view aText) const
{
  const auto* schema = impl::SchemaFor(aName);
  if (schema == nullptr) {
    return tl::make_unexpected(
      Faults{ { std::string(aName), "", {}, "expected a known kind of part", "" } });
  }
  const auto text = JsonText::Parse(std::string(aName), aText);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  auto faults = text->Check(*schema);
  if (faults.empty() && aName.starts_with(part_name::kServicePrefix)) {
    faults = impl::CheckAddresses(*text, text->Root(), "");
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return std::make_shared<const PartValue>(impl::ValueOf(aName, text->Root()));
}

tl::expected<EncodedDocument, Faults>
EncodeDocument(const std::string& aSource, std::string_view aText)
{
  const auto text = JsonText::Parse(aSource, aText);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  auto faults = text->Check(impl::AllSchemas().document_);
  if (faults.empty()) {
    faults = impl::CheckServiceNames(*text);
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  auto parts = impl::SplitParts(text->Root());
  const auto manifest =
    impl::ManifestOf(text->Root().at("version").get<std::uint64_t>(), parts, {}, {});
  faults = impl::CheckReferences(*text, manifest, parts);
  for (const auto& [name, bytes] : parts) {
    if (bytes->size() > impl::kMostPartBytes) {
      faults.push_back({ aSource, "", {}, "expected parts below a megabyte", name });
    }
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return EncodedDocument{ .manifest_ = manifest, .parts_ = std::move(parts) };
}

} // namespace geraniumpin
