#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace geraniumpin {

/// \brief Circuit breaker for an instance that fails most of its requests.
///
/// For the load pattern "instance that fails its work, among many entry nodes": the entry nodes
/// learn of it one by one, and each one loses a request or two. The owner sees all results. While
/// the breaker is open, the owner refuses first attempts, which then run elsewhere, and tries one
/// request at intervals. Further attempts pass, so that requests still run if all instances fail.
///
/// \code
/// breaker = breaker.AfterResult(failed, now);
/// if (isFirstAttempt && !breaker.AllowsFirstAttempt(now)) { refuse }
/// \endcode
class FailureBreaker
{
public:
  /// Smoothed share of failures from which the breaker opens: four failures in a row, or most of a
  /// longer series.
  static constexpr double kOpenShare = 0.5;
  /// Weight of the newest result in the smoothed share.
  static constexpr double kSmoothing = 0.2;
  /// Time between two trials after a failure.
  static constexpr std::chrono::milliseconds kTrialInterval{ 1000 };
  /// Time between two trials after a success.
  static constexpr std::chrono::milliseconds kTrialIntervalAfterSuccess{ 100 };
  /// Successes in a row that close the breaker.
  static constexpr std::uint32_t kClosingSuccesses = 3;

  /// \brief Returns true if a first attempt may be sent to the instance.
  [[nodiscard]] bool AllowsFirstAttempt(TimePoint aNow) const noexcept
  {
    return !nextTrialAt_ || aNow >= *nextTrialAt_;
  }

  /// \brief Returns the breaker after an attempt was admitted, which is a trial while it is open.
  [[nodiscard]] FailureBreaker AfterAdmission(TimePoint aNow) const noexcept
  {
    auto next = *this;
    if (nextTrialAt_) {
      next.nextTrialAt_ = aNow + kTrialInterval;
    }
    return next;
  }

  /// \brief Returns the breaker after a result of the instance.
  [[nodiscard]] FailureBreaker AfterResult(bool aFailed, TimePoint aNow) const noexcept
  {
    auto next = *this;
    next.failureShare_ += kSmoothing * ((aFailed ? 1 : 0) - failureShare_);
    next.successes_ = aFailed ? 0 : successes_ + 1;
    if (!nextTrialAt_) {
      if (next.failureShare_ >= kOpenShare) {
        next.nextTrialAt_ = aNow + kTrialInterval;
      }
      return next;
    }
    if (next.successes_ >= kClosingSuccesses) {
      return {};
    }
    next.nextTrialAt_ = aNow + (aFailed ? kTrialInterval : kTrialIntervalAfterSuccess);
    return next;
  }

  [[nodiscard]] bool IsOpen() const noexcept { return nextTrialAt_.has_value(); }

  auto operator<=>(const FailureBreaker&) const = default;

private:
  double failureShare_ = 0;
  std::uint32_t successes_ = 0;            ///< in a row
  std::optional<TimePoint> nextTrialAt_{}; ///< set while the breaker is open
};

} // namespace geraniumpin
