#include "geraniumpin/version/in_force.hpp"

#include <algorithm>

namespace geraniumpin {

InstancePlace
FindInstancePlace(const DocumentAssembly& aItems)
{
  if (aItems.HasDocument()) {
    const auto& services = std::get<PublishedDocument>(*aItems.Document()).services_;
    const bool hasInstances =
      std::any_of(services.begin(), services.end(), [](const auto& aService) {
        return !aService.backendServers_.empty();
      });
    return hasInstances ? InstancePlace::Document : InstancePlace::Items;
  }
  const auto keys = aItems.Keys();
  const bool hasItems = std::any_of(keys.begin(), keys.end(), [&](const auto& aKey) {
    return std::holds_alternative<PublishedInstance>(*aItems.Find(aKey));
  });
  return hasItems ? InstancePlace::Items : InstancePlace::Document;
}

PublishedDocument
ReadDocument(const Snapshot& aSnapshot, InstancePlace aPlace)
{
  std::vector<Route> routes;
  std::vector<Key> keys;
  std::vector<Service> services;
  std::vector<FailureDomain> domains;
  for (const auto& [name, part] : aSnapshot.Decoded()) {
    if (const auto* routesPart = std::get_if<RoutesPart>(part.get())) {
      for (const auto& route : routesPart->routes_) {
        routes.push_back(route);
      }
    } else if (const auto* keysPart = std::get_if<KeysPart>(part.get())) {
      for (const auto& key : keysPart->keys_) {
        keys.push_back(key);
      }
    } else if (const auto* service = std::get_if<Service>(part.get())) {
      services.push_back({ .name_ = service->name_,
                           .slots_ = service->slots_,
                           .connections_ = service->connections_,
                           .coldRatePerSecond_ = service->coldRatePerSecond_,
                           .coldTime_ = service->coldTime_,
                           .healthPath_ = service->healthPath_,
                           .backendServers_ = aPlace == InstancePlace::Document
                                                ? service->backendServers_
                                                : std::vector<BackendServer>{} });
    }
  }
  for (const auto& domain : aSnapshot.FailureDomains()) {
    // Beside instances on their own, domains out of service are items on their own, too.
    const bool inService = aPlace == InstancePlace::Items || domain.inService_;
    domains.push_back({ domain.name_, inService });
  }
  return { .failureDomains_ = { .documentNumber_ = aSnapshot.DocumentNumber(),
                                .failureDomains_ = std::move(domains),
                                .cutOffKeyedService_ = aSnapshot.CutOffKeyedService(),
                                .callerLimits_ = aSnapshot.GetCallerLimits() },
           .routes_ = { std::move(routes) },
           .services_ = std::move(services),
           .teams_ = { aSnapshot.Teams() },
           .keys_ = { std::move(keys) } };
}

std::vector<PublishedInstance>
ReadInstances(const Snapshot& aSnapshot)
{
  std::vector<PublishedInstance> instances;
  for (const auto* service : aSnapshot.Services()) {
    for (const auto& server : service->backendServers_) {
      instances.push_back({ .service_ = service->name_, .backendServer_ = server });
    }
  }
  return instances;
}

} // namespace geraniumpin
