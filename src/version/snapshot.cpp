#include "geraniumpin/version/snapshot.hpp"

#include "snapshot_checks.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

template<class Part>
const Part*
FindPart(const DecodedParts& aParts, std::string_view aName) noexcept
{
  const auto found = aParts.find(aName);
  return found == aParts.end() ? nullptr : std::get_if<Part>(found->second.get());
}

template<class Item>
const Item*
FindByName(const std::vector<Item>& aItems, std::string_view aName) noexcept
{
  const auto found = std::find_if(
    aItems.begin(), aItems.end(), [&](const Item& aItem) { return aItem.name_ == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

bool
AllowsMethod(const Route& aRoute, std::string_view aMethod) noexcept
{
  return aRoute.methods_.empty() ||
         std::find(aRoute.methods_.begin(), aRoute.methods_.end(), aMethod) !=
           aRoute.methods_.end();
}

const Route*
FindLongestMatch(const std::vector<const Route*>& aRoutes,
                 std::string_view aMethod,
                 std::string_view aPath) noexcept
{
  const Route* best = nullptr;
  for (const auto* route : aRoutes) {
    const bool matches = aPath.starts_with(route->pathPrefix_) && AllowsMethod(*route, aMethod);
    if (matches && (best == nullptr || route->pathPrefix_.size() > best->pathPrefix_.size())) {
      best = route;
    }
  }
  return best;
}

const Service*
AsService(const SharedPart& aPart) noexcept
{
  return std::get_if<Service>(aPart.get());
}

} // namespace
} // namespace impl

Snapshot::Snapshot(Manifest aManifest,
                   DecodedParts aParts,
                   NodeIndex aNodes,
                   std::shared_ptr<const RoutesByHost> aRoutesByHost)
  : id_(MakeVersionId(aManifest))
  , manifest_(std::move(aManifest))
  , parts_(std::move(aParts))
  , nodes_(std::move(aNodes))
  , routesByHost_(std::move(aRoutesByHost))
{
}

const Route*
Snapshot::FindRoute(std::string_view aHost,
                    std::string_view aMethod,
                    std::string_view aPath) const noexcept
{
  for (const auto host : { aHost, std::string_view{} }) {
    const auto routes = routesByHost_->find(host);
    if (routes == routesByHost_->end()) {
      continue;
    }
    if (const auto* route = impl::FindLongestMatch(routes->second, aMethod, aPath)) {
      return route;
    }
  }
  return nullptr;
}

const Key*
Snapshot::FindKey(const Digest& aDigest) const noexcept
{
  const auto name = std::string(part_name::kKeysPrefix) + aDigest.Hex().front();
  const auto* part = impl::FindPart<KeysPart>(parts_, name);
  if (part == nullptr) {
    return nullptr;
  }
  const Key* match = nullptr;
  for (const auto& key : part->keys_) {
    if (key.digest_.EqualsInConstantTime(aDigest)) {
      match = &key;
    }
  }
  return match;
}

const Service*
Snapshot::FindService(std::string_view aName) const noexcept
{
  return impl::FindPart<Service>(parts_,
                                 std::string(part_name::kServicePrefix) + std::string(aName));
}

const Team*
Snapshot::FindTeam(std::string_view aName) const noexcept
{
  return impl::FindByName(Teams(), aName);
}

const FailureDomain*
Snapshot::FindFailureDomain(std::string_view aName) const noexcept
{
  return impl::FindByName(FailureDomains(), aName);
}

std::optional<Placement>
Snapshot::FindPlacement(const NodeAddress& aNode) const noexcept
{
  for (const auto& [name, part] : parts_) {
    const auto* service = impl::AsService(part);
    if (service == nullptr) {
      continue;
    }
    for (const auto& backendServer : service->backendServers_) {
      if (backendServer.node_ == aNode) {
        return Placement{ *service, backendServer };
      }
    }
  }
  return std::nullopt;
}

const std::vector<FailureDomain>&
Snapshot::FailureDomains() const noexcept
{
  return impl::FindPart<FailureDomainsPart>(parts_, part_name::kFailureDomains)->failureDomains_;
}

const std::vector<Team>&
Snapshot::Teams() const noexcept
{
  return impl::FindPart<TeamsPart>(parts_, part_name::kTeams)->teams_;
}

std::vector<const Service*>
Snapshot::Services() const
{
  std::vector<const Service*> services;
  for (const auto& [name, part] : parts_) {
    if (const auto* service = impl::AsService(part)) {
      services.push_back(service);
    }
  }
  return services;
}

std::chrono::seconds
Snapshot::CutOffKeyedService() const noexcept
{
  return impl::FindPart<FailureDomainsPart>(parts_, part_name::kFailureDomains)
    ->cutOffKeyedService_;
}

std::vector<NodeAddress>
Snapshot::AllNodes() const
{
  std::vector<NodeAddress> all;
  for (const auto& domain : FailureDomains()) {
    const auto& nodes = FindNodes(domain.name_);
    all.insert(all.end(), nodes.begin(), nodes.end());
  }
  return all;
}

std::size_t
Snapshot::NodeCount() const
{
  std::size_t count = 0;
  for (const auto& domain : FailureDomains()) {
    count += FindNodes(domain.name_).size();
  }
  return count;
}

const CallerLimits&
Snapshot::GetCallerLimits() const noexcept
{
  return impl::FindPart<FailureDomainsPart>(parts_, part_name::kFailureDomains)->callerLimits_;
}

std::uint64_t
Snapshot::DocumentNumber() const noexcept
{
  return impl::FindPart<FailureDomainsPart>(parts_, part_name::kFailureDomains)->documentNumber_;
}

SnapshotBuilder&
SnapshotBuilder::Add(std::string aName, SharedPart aPart)
{
  parts_.insert_or_assign(std::move(aName), std::move(aPart));
  return *this;
}

tl::expected<SharedSnapshot, Faults>
SnapshotBuilder::Build() const
{
  const auto* known = base_ ? &base_->Decoded() : nullptr;
  const auto faults = impl::CheckParts(manifest_, parts_, known);
  if (!faults.empty()) {
    return tl::make_unexpected(faults);
  }
  static const DecodedParts kNone;
  const auto& before = known == nullptr ? kNone : *known;
  const auto nodes = (base_ ? base_->nodes_ : NodeIndex{})
                       .Without(impl::FindChangedServices(before, parts_))
                       .With(impl::FindChangedServices(parts_, before));
  auto number = manifest_.number_;
  number.document_ =
    impl::FindPart<FailureDomainsPart>(parts_, part_name::kFailureDomains)->documentNumber_;
  return SharedSnapshot(
    new Snapshot({ .number_ = number, .parts_ = manifest_.parts_ }, parts_, nodes, IndexRoutes()));
}

std::shared_ptr<const Snapshot::RoutesByHost>
SnapshotBuilder::IndexRoutes() const
{
  if (base_ && impl::SharesParts<RoutesPart>(parts_, base_->Decoded())) {
    return base_->routesByHost_;
  }
  auto index = std::make_shared<Snapshot::RoutesByHost>();
  for (const auto& [name, part] : parts_) {
    if (const auto* routes = std::get_if<RoutesPart>(part.get())) {
      for (const auto& route : routes->routes_) {
        (*index)[route.host_].push_back(&route);
      }
    }
  }
  return index;
}

} // namespace geraniumpin
