#pragma once

#include "geraniumpin/process/log_event.hpp"
#include "system_clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace geraniumpin {

/// \brief Starts glog, which reports broken invariants on standard error.
void
StartLogging(const char* aProgram);

/// \brief Writes events to a descriptor, one line each, without ever blocking; satisfies Log.
///
/// A line is "ts=TIME level=LEVEL event=NAME key=value ...". Each level has a budget of bytes a
/// second, so that routine lines are left out before others. A reader that stops reading costs
/// lines as well. A line "event=log_dropped" says how many were left out.
///
/// \code
/// LineLog log(STDOUT_FILENO);
/// log.Write(LogEvent("node_start"));
/// log.Flush();
/// \endcode
class LineLog
{
public:
  /// Bytes a second of lines about routine successes.
  static constexpr double kRoutineBytesPerSecond = 8 * 1024;
  /// Bytes a second of all other lines.
  static constexpr double kOtherBytesPerSecond = 48 * 1024;
  /// Time whose budget may be used at once.
  static constexpr double kBurstSeconds = 2;
  /// Bytes kept while the reader does not read.
  static constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } * 1024;

  /// Least time between two lines about dropped lines.
  static constexpr std::chrono::seconds kDroppedReportPeriod{ 1 };

  /// \param aDescriptor Made non-blocking.
  explicit LineLog(int aDescriptor);

  void Write(const LogEvent& aEvent);

  /// \brief Writes as much as the descriptor takes at once.
  void Flush();

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
