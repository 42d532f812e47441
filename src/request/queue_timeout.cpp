#include "geraniumpin/request/queue_timeout.hpp"

#include <algorithm>

namespace geraniumpin {

Duration
ComputeCallQueueTimeout(Duration aRemaining) noexcept
{
  return std::chrono::duration_cast<Duration>(aRemaining * kQueueShareOfRemaining);
}

Duration
ComputeQueueTimeout(const Route& aRoute,
                    bool aHasTeams,
                    Duration aElapsed,
                    Duration aRemaining) noexcept
{
  if (aRoute.access_ == Access::Open && aHasTeams) {
    return ComputeCallQueueTimeout(aRemaining);
  }
  const auto target = aRoute.targetLatency_.count() > 0 ? aRoute.targetLatency_ : aRoute.timeout_;
  const auto budget = std::chrono::duration_cast<Duration>(target * kQueueShareOfTarget);
  return std::min(aRemaining, std::max<Duration>(budget - aElapsed, kMinQueueTimeout));
}

} // namespace geraniumpin
