#pragma once

#include "geraniumpin/process/log_event.hpp"
#include "system_clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace geraniumpin {

/// \brief Initializes glog, which reports violated invariants on standard error.
void
StartLogging(const char* aProgram);

/// \brief Writes events to a descriptor, one line each, without ever blocking; satisfies Log.
///
/// A line is "ts=TIME level=LEVEL event=NAME key=value ...". Routine lines and all others have
/// separate budgets of bytes per second, so that routine lines are dropped first. Lines are also
/// dropped while the reader of the descriptor is stalled and the buffer is full. A line
/// "event=log_dropped" reports how many were dropped.
///
/// \code
/// LineLog log(STDOUT_FILENO);
/// log.Write(LogEvent("node_start"));
/// log.Flush();
/// \endcode
class LineLog
{
public:
  /// Budget of lines of Severity::Routine, in bytes per second.
  static constexpr double kRoutineBytesPerSecond = 8 * 1024;
  /// Budget of all other lines, in bytes per second.
  static constexpr double kOtherBytesPerSecond = 48 * 1024;
  /// Unused budget accumulates for this many seconds.
  static constexpr double kBurstSeconds = 2;
  /// Bytes buffered while the descriptor does not accept them.
  static constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } * 1024;

  /// Minimum time between two "event=log_dropped" lines.
  static constexpr std::chrono::seconds kDroppedReportPeriod{ 1 };

  /// \param aDescriptor Made non-blocking.
  explicit LineLog(int aDescriptor);

  /// \brief Buffers the line of an event, or drops it if its budget or the buffer is exhausted.
  void Write(const LogEvent& aEvent);

  /// \brief Writes as much as the descriptor accepts without blocking.
  void Flush();

  /// \brief Number of lines dropped so far.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return dropped_; }

private:
  /// A token bucket in bytes.
  struct ByteBudget
  {
    double perSecond_ = 0;
    double available_ = 0;
    TimePoint refilledAt_{};
  };

  static bool TryConsume(ByteBudget& aBudget, std::size_t aBytes, TimePoint aNow);
  void Append(const std::string& aLine);

  SystemClock clock_;
  int descriptor_;
  ByteBudget routine_{ kRoutineBytesPerSecond, kRoutineBytesPerSecond* kBurstSeconds };
  ByteBudget other_{ kOtherBytesPerSecond, kOtherBytesPerSecond* kBurstSeconds };
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t droppedSinceReport_ = 0;
  TimePoint nextDroppedReport_{};
};

} // namespace geraniumpin
