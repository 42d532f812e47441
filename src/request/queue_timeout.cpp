#include "geraniumpin/request/queue_timeout.hpp"

#include <algorithm>

namespace geraniumpin {

Duration
QueuePatience(const Route& aRoute, Duration aElapsed, Duration aRemaining) noexcept
{
  if (aRoute.access_ == Access::Open) {
    return std::chrono::duration_cast<Duration>(aRemaining * kQueueShareOfCall);
  }
  const auto target = aRoute.targetLatency_.count() > 0 ? aRoute.targetLatency_ : aRoute.timeout_;
  const auto whole = std::chrono::duration_cast<Duration>(target * kQueueShareOfTarget);
  return std::min(aRemaining, std::max<Duration>(whole - aElapsed, kLeastPatience));
}

} // namespace geraniumpin
