#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>

namespace geraniumpin {

/// \brief Times at which the phases of a planned stop end.
///
/// \code
/// const auto schedule = StopSchedule::Make(clock.Now(), settings.DrainTimeout());
/// \endcode
struct StopSchedule
{
  /// Longest time for which a stopping node accepts connections: longer than two periods of
  /// readiness checks.
  static constexpr std::chrono::milliseconds kMaxAcceptTime{ 2500 };

  const TimePoint acceptUntil_; ///< until then the node is not ready, but serves new requests
  const TimePoint endAt_; ///< until then it finishes pending requests; then it answers those left

  /// \brief Computes the schedule of a stop.
  /// \param aTimeout Longest duration of the stop. Requests are accepted for half of it at most, so
  /// that each one has the other half to finish.
  [[nodiscard]] static StopSchedule Make(TimePoint aBegin, Duration aTimeout) noexcept
  {
    return { .acceptUntil_ = aBegin + std::min<Duration>(kMaxAcceptTime, aTimeout / 2),
             .endAt_ = aBegin + aTimeout };
  }

  auto operator<=>(const StopSchedule&) const = default;
};

} // namespace geraniumpin
