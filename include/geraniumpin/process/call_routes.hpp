#pragma once

#include "geraniumpin/version/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief The service whose instance runs beside a node.
struct NodeService
{
  NodeAddress node_;
  std::string service_;

  auto operator<=>(const NodeService&) const = default;
};

/// \brief Lists the nodes of a failure domain with their services.
[[nodiscard]] std::vector<NodeService>
FindNodeServices(const Snapshot& aSnapshot, const std::string& aFailureDomain);

/// \brief Finds the routes that only backend servers use, from the nodes that send their requests.
///
/// Callers use all nodes of a failure domain, backend servers their own one. So requests of a route
/// that only come from nodes of some services are calls of these services' instances. Without teams
/// nothing in a request distinguishes a call from the request of a caller, and the refusal of a
/// call fails a request that has been started.
///
/// For the load pattern "started requests fail by their calls".
///
/// \code
/// callRoutes.SetNodes(nodesOfTheFailureDomain);
/// callRoutes.Record(route, entryNode);
/// if (callRoutes.IsCallRoute(route)) { ... }
/// \endcode
class CallRoutes
{
public:
  /// Probability below which it is no coincidence that no node of some services sent a request.
  static constexpr double kMaxCoincidence = 1e-6;
  /// Share of its expected requests below which a service counts as one that sends none; admits
  /// single requests of callers to a route of backend servers.
  static constexpr double kMaxSilentShare = 0.02;
  /// Recent requests of a route that are counted; older ones lose weight.
  static constexpr double kMaxCounted = 400;
  /// Routes that are counted at the same time.
  static constexpr std::size_t kMaxRoutes = 64;

  /// \brief Sets the nodes whose requests are counted: those of the failure domain, since others
  /// send requests of routes without local capacity only.
  void SetNodes(std::vector<NodeService> aNodes);

  /// \brief Counts a request of a route; has no effect for other nodes.
  void Record(const std::string& aRoute, const NodeAddress& aEntryNode);

  /// \brief Returns true if the recent requests of the route are calls of backend servers.
  [[nodiscard]] bool IsCallRoute(const std::string& aRoute) const;

private:
  struct Counts
  {
    double total_ = 0;
    std::map<std::string, double> byService_;
  };

  std::vector<NodeService> nodes_;           ///< sorted by node
  std::map<std::string, double> nodeShares_; ///< of the services
  std::map<std::string, Counts> routes_;
};

} // namespace geraniumpin
