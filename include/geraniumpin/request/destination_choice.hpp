#pragma once

#include "geraniumpin/version/document.hpp"

#include <map>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Distributes the requests of each route over its destinations by their weights.
///
/// Smooth weighted round robin: unlike with random choice, the shares also hold over few requests.
/// Nodes start at different positions, so that their first requests do not all go to the same
/// destination.
///
/// \code
/// const auto& service = choice.Next(route, 0.3); // name of a service
/// \endcode
class DestinationChoice
{
public:
  /// \brief Chooses the destination of the next request.
  /// \param aStart Start position in the sequence of destinations, from 0 to 1; used when the route
  /// is new or its destinations changed.
  /// \returns The name of the service, as a reference into aRoute.
  [[nodiscard]] const std::string& Next(const Route& aRoute, double aStart);

private:
  struct WeightedRoundRobin
  {
    std::vector<Destination> destinations_;
    std::vector<double> credits_;
  };

  static std::size_t Advance(WeightedRoundRobin& aRoundRobin);

  std::map<std::string, WeightedRoundRobin> roundRobins_; ///< by route name
};

} // namespace geraniumpin
