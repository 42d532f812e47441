#include "geraniumpin/version/node_index.hpp"

#include <algorithm>
#include <iterator>

namespace geraniumpin {

const std::vector<NodeAddress>&
NodeIndex::FindNodes(std::string_view aFailureDomain) const
{
  static const NodeList kNone;
  const auto found = lists_.find(aFailureDomain);
  return found == lists_.end() ? kNone : *found->second;
}

NodeIndex::NodesByDomain
NodeIndex::GroupByDomain(const std::vector<const Service*>& aServices)
{
  NodesByDomain grouped;
  for (const auto* service : aServices) {
    for (const auto& backendServer : service->backendServers_) {
      grouped[backendServer.failureDomain_].push_back(backendServer.node_);
    }
  }
  for (auto& [failureDomain, nodes] : grouped) {
    std::sort(nodes.begin(), nodes.end());
  }
  return grouped;
}

NodeIndex
NodeIndex::With(const std::vector<const Service*>& aServices) const
{
  auto next = *this;
  for (const auto& [failureDomain, added] : GroupByDomain(aServices)) {
    const auto& before = FindNodes(failureDomain);
    NodeList merged;
    merged.reserve(before.size() + added.size());
    std::merge(
      before.begin(), before.end(), added.begin(), added.end(), std::back_inserter(merged));
    next.lists_[failureDomain] = std::make_shared<const NodeList>(std::move(merged));
  }
  return next;
}

NodeIndex
NodeIndex::Without(const std::vector<const Service*>& aServices) const
{
  auto next = *this;
  for (const auto& [failureDomain, removed] : GroupByDomain(aServices)) {
    const auto& before = FindNodes(failureDomain);
    NodeList rest;
    rest.reserve(before.size());
    std::set_difference(
      before.begin(), before.end(), removed.begin(), removed.end(), std::back_inserter(rest));
    next.lists_[failureDomain] = std::make_shared<const NodeList>(std::move(rest));
  }
  return next;
}

} // namespace geraniumpin
