#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>

namespace geraniumpin {

/// \brief Times of a node's reads of the platform, derived from the bounds that it has to keep.
///
/// \code
/// const auto timing = ReaderTiming::Make(settings.ApplyBound(), settings.ContactBound());
/// \endcode
struct ReaderTiming
{
  /// Timeout of a read; that of a watch is longer by the time for which it waits.
  static constexpr std::chrono::milliseconds kReadTimeout{ 700 };
  /// Timeout of a read of the changes after a failure, which does not wait for changes.
  static constexpr std::chrono::milliseconds kRetryReadTimeout{ 1300 };
  /// Range of the random delay that spreads the reads of nodes that have the same reason to read.
  static constexpr std::chrono::milliseconds kStartJitter{ 300 };
  /// Time for the answer to the read that replaces a silent connection, and for its version.
  static constexpr std::chrono::milliseconds kAnswerAndApply{ 350 };
  /// Shortest time for which a watch waits.
  static constexpr std::chrono::milliseconds kMinWatchWait{ 200 };
  /// Shortest and longest time between two reads. A burst of changes costs one read in this time.
  static constexpr std::chrono::milliseconds kMinReadInterval{ 150 };
  static constexpr std::chrono::milliseconds kMaxReadInterval{ 300 };
  /// The read interval as a share of the bound for applying a version.
  static constexpr int kReadIntervalsPerApplyBound = 14;

  const Duration readInterval_; ///< shortest time between two reads
  const Duration watchWait_;    ///< time for which one watch waits for changes
  /// Longest time between the starts of two reads of a watcher after failures, apart from
  /// readInterval_, unless a read takes longer.
  const Duration maxBackoff_;

  /// \param aApplyBound Longest time from the acknowledgement of a version until it is in force.
  /// \param aContactBound Time in which a node must have recovered from a connection that became
  /// silent.
  [[nodiscard]] static ReaderTiming Make(Duration aApplyBound, Duration aContactBound) noexcept
  {
    const auto interval = std::clamp<Duration>(
      aApplyBound / kReadIntervalsPerApplyBound, kMinReadInterval, kMaxReadInterval);
    const auto wait = aContactBound - kReadTimeout - interval - kAnswerAndApply;
    return { .readInterval_ = interval,
             .watchWait_ = std::max<Duration>(wait, kMinWatchWait),
             .maxBackoff_ = aApplyBound / 2 };
  }

  auto operator<=>(const ReaderTiming&) const = default;
};

} // namespace geraniumpin
