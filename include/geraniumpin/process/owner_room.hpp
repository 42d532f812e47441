#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace geraniumpin {

/// \brief Capacity of an owner node for new requests, as it states it in its replies.
struct OwnerRoom
{
  /// Least urgent rank for which there is capacity; 0 is the most urgent one.
  std::uint32_t admittedRank_ = std::numeric_limits<std::uint32_t>::max();
  double admittedShare_ = 1; ///< of the requests of that rank; 0 to 1
  Duration roomAfter_{};     ///< time until there is capacity for that rank; 0: now

  auto operator<=>(const OwnerRoom&) const = default;
};

/// \brief A service that the executions of a route call.
struct CalledService
{
  std::string service_;
  double callsPerRun_ = 0; ///< mean number of calls of one execution

  auto operator<=>(const CalledService&) const = default;
};

} // namespace geraniumpin
