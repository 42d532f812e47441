#include "snapshot_checks.hpp"

#include "geraniumpin/version/part_split.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_set>

namespace geraniumpin::impl {

namespace {

/// \brief Checks all parts in one pass and collects the faults.
class Checker
{
public:
  Checker(const Manifest& aManifest, const DecodedParts& aParts, const DecodedParts* aBase)
    : manifest_(aManifest)
    , parts_(aParts)
    , base_(aBase)
  {
  }

  Faults Run()
  {
    CheckCompleteness();
    if (!faults_.empty()) {
      return faults_;
    }
    domainsUnchanged_ =
      IsInBase(part_name::kFailureDomains, parts_.find(part_name::kFailureDomains)->second);
    CollectNames();
    if (base_ != nullptr) {
      routesUnchanged_ =
        SharesParts<RoutesPart>(parts_, *base_) && services_ == CollectServiceNames(*base_);
      keysUnchanged_ =
        SharesParts<KeysPart>(parts_, *base_) && SharesParts<TeamsPart>(parts_, *base_);
    }
    for (const auto& [name, part] : parts_) {
      if (!IsUnaffected(name, part)) {
        std::visit([&, &partName = name](const auto& aPart) { Check(partName, aPart); }, *part);
      }
    }
    CheckNodes();
    return faults_;
  }

private:
  void AddFault(std::string_view aPart, std::string aPath, std::string aText, std::string aFound)
  {
    faults_.push_back({ .source_ = std::string(aPart),
                        .path_ = std::move(aPath),
                        .position_ = {},
                        .description_ = std::move(aText),
                        .found_ = std::move(aFound) });
  }

  void CheckCompleteness()
  {
    for (const auto required : { part_name::kFailureDomains, part_name::kTeams }) {
      if (!manifest_.parts_.contains(std::string(required))) {
        AddFault(required, "", "the part is required", "none");
      }
    }
    for (const auto& [name, digest] : manifest_.parts_) {
      if (!parts_.contains(name)) {
        AddFault(name, "", "the part is listed but was not supplied", "");
      }
    }
    for (const auto& [name, part] : parts_) {
      if (!manifest_.parts_.contains(name)) {
        AddFault(name, "", "the part is not listed in the manifest", "");
      } else if (!KindMatches(name, *part)) {
        AddFault(name, "", "the part has the content of another kind of part", "");
      }
    }
  }

  static bool KindMatches(std::string_view aName, const PartValue& aPart)
  {
    if (const auto* service = std::get_if<Service>(&aPart)) {
      return aName == std::string(part_name::kServicePrefix) + service->name_;
    }
    if (std::holds_alternative<KeysPart>(aPart)) {
      return aName.starts_with(part_name::kKeysPrefix);
    }
    if (std::holds_alternative<FailureDomainsPart>(aPart)) {
      return aName == part_name::kFailureDomains;
    }
    if (std::holds_alternative<RoutesPart>(aPart)) {
      return aName.starts_with(part_name::kRoutesPrefix);
    }
    return aName == part_name::kTeams;
  }

  /// Returns true if a part needs no second check. A service of the base stays valid while the
  /// failure domains are unchanged, routes while they and the names of the services are, and keys
  /// while they and the teams are.
  [[nodiscard]] bool IsUnaffected(std::string_view aName, const SharedPart& aPart) const
  {
    if (std::holds_alternative<Service>(*aPart)) {
      return domainsUnchanged_ && IsInBase(aName, aPart);
    }
    return (std::holds_alternative<RoutesPart>(*aPart) && routesUnchanged_) ||
           (std::holds_alternative<KeysPart>(*aPart) && keysUnchanged_);
  }

  [[nodiscard]] bool IsInBase(std::string_view aName, const SharedPart& aPart) const
  {
    if (base_ == nullptr) {
      return false;
    }
    const auto found = base_->find(aName);
    return found != base_->end() && found->second == aPart;
  }

  void CollectNames()
  {
    for (const auto& [name, part] : parts_) {
      if (const auto* domains = std::get_if<FailureDomainsPart>(part.get())) {
        CollectUnique(name, "/failure_domains", domains->failureDomains_, failureDomains_);
      } else if (const auto* teams = std::get_if<TeamsPart>(part.get())) {
        CollectUnique(name, "/teams", teams->teams_, teams_);
      }
    }
    services_ = CollectServiceNames(parts_);
  }

  [[nodiscard]] static std::set<std::string_view> CollectServiceNames(const DecodedParts& aParts)
  {
    std::set<std::string_view> names;
    for (const auto& [name, part] : aParts) {
      if (const auto* service = std::get_if<Service>(part.get())) {
        names.insert(service->name_);
      }
    }
    return names;
  }

  template<class Item>
  void CollectUnique(std::string_view aPart,
                     const std::string& aPath,
                     const std::vector<Item>& aItems,
                     std::set<std::string_view>& aNames)
  {
    for (std::size_t i = 0; i < aItems.size(); ++i) {
      if (!aNames.insert(aItems[i].name_).second) {
        AddFault(
          aPart, aPath + "/" + std::to_string(i) + "/name", "the name is unique", aItems[i].name_);
      }
    }
  }

  void Check(std::string_view aPart, const FailureDomainsPart& aValue)
  {
    if (aValue.failureDomains_.empty()) {
      AddFault(aPart, "/failure_domains", "at least one failure domain", "none");
    }
  }

  void Check(std::string_view aPart, const Service& aValue)
  {
    for (std::size_t i = 0; i < aValue.backendServers_.size(); ++i) {
      const auto& backendServer = aValue.backendServers_[i];
      const auto path = "/backend_servers/" + std::to_string(i);
      if (!failureDomains_.contains(backendServer.failureDomain_)) {
        AddFault(aPart,
                 path + "/failure_domain",
                 "the name of a failure domain",
                 backendServer.failureDomain_);
      }
      if (!changedNodes_.insert(backendServer.node_.Text()).second) {
        AddNodeFault(aPart, i, backendServer);
      }
    }
  }

  void AddNodeFault(std::string_view aPart, std::size_t aIndex, const BackendServer& aServer)
  {
    AddFault(aPart,
             "/backend_servers/" + std::to_string(aIndex) + "/node",
             "a node that serves no other backend server",
             aServer.node_.Text());
  }

  /// Checks that no node of a changed service belongs to an unchanged service too.
  void CheckNodes()
  {
    if (changedNodes_.empty()) {
      return;
    }
    for (const auto& [name, part] : parts_) {
      const auto* service = std::get_if<Service>(part.get());
      if (service == nullptr || !IsUnaffected(name, part)) {
        continue;
      }
      for (std::size_t i = 0; i < service->backendServers_.size(); ++i) {
        if (changedNodes_.contains(service->backendServers_[i].node_.Text())) {
          AddNodeFault(name, i, service->backendServers_[i]);
        }
      }
    }
  }

  void Check(std::string_view aPart, const RoutesPart& aValue)
  {
    CollectUnique(aPart, "/routes", aValue.routes_, routes_);
    for (std::size_t i = 0; i < aValue.routes_.size(); ++i) {
      const auto& route = aValue.routes_[i];
      const auto path = "/routes/" + std::to_string(i);
      if (aPart != RoutesPartName(route.name_)) {
        AddFault(aPart, path + "/name", "a name that belongs to this part", route.name_);
      }
      for (const auto& destination : route.destinations_) {
        if (!services_.contains(destination.service_)) {
          AddFault(aPart, path + "/service", "the name of a service", destination.service_);
        }
      }
      static const std::vector<std::string> kAnyMethod{ "*" };
      for (const auto& method : route.methods_.empty() ? kAnyMethod : route.methods_) {
        if (!routeKeys_.emplace(route.host_, method, route.pathPrefix_).second) {
          AddFault(aPart,
                   path + "/path_prefix",
                   "a host, method and path prefix that no other route has",
                   method + " " + route.pathPrefix_);
        }
      }
    }
  }

  void Check(std::string_view /*aPart*/, const TeamsPart& /*aValue*/) {}

  void Check(std::string_view aPart, const KeysPart& aValue)
  {
    for (std::size_t i = 0; i < aValue.keys_.size(); ++i) {
      const auto& key = aValue.keys_[i];
      const auto path = "/keys/" + std::to_string(i);
      if (!teams_.contains(key.team_)) {
        AddFault(aPart, path + "/team", "the name of a team", key.team_);
      }
      if (aPart != KeysPartName(key.digest_)) {
        AddFault(aPart, path + "/sha256", "a digest that belongs to this part", key.digest_.Hex());
      }
      if (!keys_.insert(key.digest_).second) {
        AddFault(aPart, path + "/sha256", "the key is unique", key.digest_.Hex());
      }
    }
  }

  const Manifest& manifest_;
  const DecodedParts& parts_;
  const DecodedParts* base_;
  bool domainsUnchanged_ = false; ///< the failure domains are those of the base
  bool routesUnchanged_ = false;  ///< so are the routes and the names of the services
  bool keysUnchanged_ = false;    ///< so are the keys and the teams
  Faults faults_;
  std::set<std::string_view> failureDomains_;
  std::set<std::string_view> teams_;
  std::set<std::string_view> services_;
  std::set<std::string_view> routes_;
  /// Host, method and path prefix of each route.
  std::set<std::tuple<std::string_view, std::string_view, std::string_view>> routeKeys_;
  std::unordered_set<std::string_view> changedNodes_;
  std::set<Digest> keys_;
};

} // namespace

Faults
CheckParts(const Manifest& aManifest, const DecodedParts& aParts, const DecodedParts* aBase)
{
  return Checker(aManifest, aParts, aBase).Run();
}

std::vector<const Service*>
FindChangedServices(const DecodedParts& aParts, const DecodedParts& aOther)
{
  std::vector<const Service*> services;
  for (const auto& [name, part] : aParts) {
    const auto* service = std::get_if<Service>(part.get());
    const auto other = aOther.find(name);
    const bool shared = other != aOther.end() && other->second == part;
    if (service != nullptr && !shared) {
      services.push_back(service);
    }
  }
  return services;
}

} // namespace geraniumpin::impl
