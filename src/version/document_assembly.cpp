#include "geraniumpin/version/document_assembly.hpp"

#include <algorithm>

namespace geraniumpin {

void
DocumentAssembly::Put(const std::string& aKey, DecodedItem aItem)
{
  auto item = std::make_shared<const DecodedItem>(std::move(aItem));
  if (std::holds_alternative<PublishedDocument>(*item)) {
    document_ = item;
    documentKey_ = aKey;
  }
  items_.insert_or_assign(aKey, std::move(item));
}

void
DocumentAssembly::Erase(const std::string& aKey)
{
  items_.erase(aKey);
  if (document_ && aKey == documentKey_) {
    document_.reset();
  }
}

const DecodedItem*
DocumentAssembly::Find(const std::string& aKey) const
{
  const auto found = items_.find(aKey);
  return found == items_.end() ? nullptr : found->second.get();
}

std::set<std::string>
DocumentAssembly::Keys() const
{
  std::set<std::string> keys;
  for (const auto& [key, item] : items_) {
    keys.insert(key);
  }
  return keys;
}

FailureDomainsPart
DocumentAssembly::FailureDomains() const
{
  const auto& part = std::get<PublishedDocument>(*document_).failureDomains_;
  std::set<std::string> outOfService;
  for (const auto& [key, item] : items_) {
    if (const auto* domain = std::get_if<DomainOutOfService>(item.get())) {
      outOfService.insert(domain->name_);
    }
  }
  std::vector<FailureDomain> domains;
  domains.reserve(part.failureDomains_.size());
  for (const auto& domain : part.failureDomains_) {
    domains.push_back({ domain.name_, domain.inService_ && !outOfService.contains(domain.name_) });
  }
  return { .documentNumber_ = part.documentNumber_,
           .failureDomains_ = std::move(domains),
           .cutOffKeyedService_ = part.cutOffKeyedService_,
           .callerLimits_ = part.callerLimits_ };
}

std::vector<const PublishedInstance*>
DocumentAssembly::CurrentInstances() const
{
  std::map<NodeAddress, const PublishedInstance*> byNode;
  for (const auto& [key, item] : items_) {
    const auto* instance = std::get_if<PublishedInstance>(item.get());
    if (instance == nullptr) {
      continue;
    }
    auto& current = byNode[instance->backendServer_.node_];
    const bool later = current == nullptr ||
                       instance->backendServer_.startedAt_ > current->backendServer_.startedAt_;
    current = later ? instance : current;
  }
  std::vector<const PublishedInstance*> instances;
  instances.reserve(byNode.size());
  for (const auto& [node, instance] : byNode) {
    instances.push_back(instance);
  }
  return instances;
}

std::vector<Service>
DocumentAssembly::Services() const
{
  const auto& document = std::get<PublishedDocument>(*document_);
  std::set<std::string> domains;
  for (const auto& domain : document.failureDomains_.failureDomains_) {
    domains.insert(domain.name_);
  }
  std::map<std::string, std::vector<BackendServer>> joined;
  for (const auto* instance : CurrentInstances()) {
    if (domains.contains(instance->backendServer_.failureDomain_)) {
      joined[instance->service_].push_back(instance->backendServer_);
    }
  }
  std::vector<Service> services;
  services.reserve(document.services_.size());
  for (const auto& service : document.services_) {
    auto backendServers = service.backendServers_;
    for (const auto& server : joined[service.name_]) {
      backendServers.push_back(server);
    }
    services.push_back({ .name_ = service.name_,
                         .slots_ = service.slots_,
                         .connections_ = service.connections_,
                         .coldRatePerSecond_ = service.coldRatePerSecond_,
                         .coldTime_ = service.coldTime_,
                         .healthPath_ = service.healthPath_,
                         .backendServers_ = std::move(backendServers) });
  }
  return services;
}

} // namespace geraniumpin
