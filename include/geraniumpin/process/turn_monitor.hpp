#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/log_event.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <utility>

namespace geraniumpin {

/// \brief What the event loop did between two waits for events.
struct LoopTurn
{
  Duration duration_{};
  TimePoint endedAt_{};
  std::uint64_t calls_ = 0;       ///< requests of callers
  std::uint64_t messages_ = 0;    ///< from peers
  std::uint64_t backendEnds_ = 0; ///< attempts that ended at the backend server
  std::uint64_t platformReads_ = 0;
  std::uint64_t versions_ = 0; ///< versions applied

  auto operator<=>(const LoopTurn&) const = default;
};

/// \brief Makes the log event of a slow turn.
[[nodiscard]] LogEvent
MakeLoopLagEvent(const LoopTurn& aTurn, TimePoint aNow);

/// \brief Reports the longest turn of the event loop, once a period and only if it was slow.
class TurnMonitor
{
public:
  /// Duration from which on a turn is slow.
  static constexpr std::chrono::milliseconds kSlowTurn{ 50 };
  /// Time between two reports.
  static constexpr std::chrono::seconds kPeriod{ 1 };

  /// \brief Records a turn that just ended.
  /// \returns The longest turn since the last report, if a report is due.
  [[nodiscard]] std::optional<LoopTurn> OnTurn(const LoopTurn& aTurn)
  {
    longest_ = std::max(longest_, aTurn);
    if (longest_.duration_ < kSlowTurn || aTurn.endedAt_ < nextReport_) {
      return std::nullopt;
    }
    nextReport_ = aTurn.endedAt_ + kPeriod;
    return std::exchange(longest_, {});
  }

private:
  LoopTurn longest_;
  TimePoint nextReport_{};
};

} // namespace geraniumpin
