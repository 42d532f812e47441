#pragma once

#include "geraniumpin/version/document.hpp"

#include <map>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Deals the requests of each route to its destinations in proportion to their weights.
///
/// Smooth weighted round robin: the shares hold over short runs too, which random draws do not
/// give. Nodes start at different points, so that their first requests do not all go the same way.
///
/// \code
/// const auto& service = choice.Next(route, 0.3);
/// \endcode
class DestinationChoice
{
public:
  /// \param aStart Where the dealing of a route that is new here starts, from 0 to 1.
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
