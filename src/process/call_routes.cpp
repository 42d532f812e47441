#include "geraniumpin/process/call_routes.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace geraniumpin {

std::vector<NodeService>
FindNodeServices(const Snapshot& aSnapshot, const std::string& aFailureDomain)
{
  std::vector<NodeService> nodes;
  for (const auto* service : aSnapshot.Services()) {
    for (const auto& server : service->backendServers_) {
      if (server.failureDomain_ == aFailureDomain) {
        nodes.push_back({ server.node_, service->name_ });
      }
    }
  }
  return nodes;
}

void
CallRoutes::SetNodes(std::vector<NodeService> aNodes)
{
  std::sort(aNodes.begin(), aNodes.end());
  if (aNodes == nodes_) {
    return;
  }
  nodes_ = std::move(aNodes);
  nodeShares_.clear();
  for (const auto& node : nodes_) {
    nodeShares_[node.service_] += 1.0 / static_cast<double>(nodes_.size());
  }
}

void
CallRoutes::Record(const std::string& aRoute, const NodeAddress& aEntryNode)
{
  const auto node = std::lower_bound(
    nodes_.begin(),
    nodes_.end(),
    aEntryNode,
    [](const NodeService& aItem, const NodeAddress& aKey) { return aItem.node_ < aKey; });
  if (node == nodes_.end() || node->node_ != aEntryNode) {
    return;
  }
  if (routes_.size() >= kMaxRoutes && !routes_.contains(aRoute)) {
    routes_.erase(
      std::min_element(routes_.begin(), routes_.end(), [](const auto& aA, const auto& aB) {
        return aA.second.total_ < aB.second.total_;
      }));
  }
  auto& counts = routes_[aRoute];
  counts.total_ += 1;
  counts.byService_[node->service_] += 1;
  if (counts.total_ > kMaxCounted) {
    counts.total_ /= 2;
    for (auto& [service, count] : counts.byService_) {
      count /= 2;
    }
  }
}

bool
CallRoutes::IsCallRoute(const std::string& aRoute) const
{
  const auto found = routes_.find(aRoute);
  if (found == routes_.end()) {
    return false;
  }
  const auto& counts = found->second;
  double silentNodes = 0; // share of the nodes whose services send no requests
  for (const auto& [service, share] : nodeShares_) {
    const auto count = counts.byService_.find(service);
    const double sent = count == counts.byService_.end() ? 0 : count->second;
    silentNodes += sent <= kMaxSilentShare * share * counts.total_ ? share : 0;
  }
  return std::pow(1 - silentNodes, counts.total_) < kMaxCoincidence;
}

} // namespace geraniumpin
