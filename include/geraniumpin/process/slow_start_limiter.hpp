#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

namespace geraniumpin {

/// \brief Limits the requests that start per second while an instance is cold.
///
/// For the load pattern "cold return": an instance that starts under traffic would be overloaded by
/// its full share.
///
/// \code
/// slowStart.SetRate(32);
/// slowStart.SetColdUntil(now + 3s);
/// if (slowStart.Allows(now)) { slowStart.RecordStart(now); }
/// \endcode
class SlowStartLimiter
{
public:
  static constexpr std::chrono::seconds kWindow{ 1 };

  /// \brief Sets the rate limit of a cold instance.
  /// \param aPerSecond Requests per second; 0: no limit.
  void SetRate(double aPerSecond) noexcept { perSecond_ = aPerSecond; }

  /// \brief Marks the instance as cold at least until that time.
  void SetColdUntil(TimePoint aTime) noexcept { coldUntil_ = std::max(coldUntil_, aTime); }

  /// \brief Sets whether the platform reports the instance as cold.
  void SetReportedCold(bool aCold) noexcept { reportedCold_ = aCold; }

  /// \brief Marks the instance as warm.
  void SetWarm() noexcept
  {
    coldUntil_ = {};
    reportedCold_ = false;
  }

  [[nodiscard]] bool IsCold(TimePoint aNow) const noexcept
  {
    return reportedCold_ || aNow < coldUntil_;
  }

  /// \brief Returns true if another request may start.
  [[nodiscard]] bool Allows(TimePoint aNow) const { return aNow >= NextStartAt(aNow); }

  /// \brief Records the start of a request; also while the instance is warm, since it may turn
  /// cold.
  void RecordStart(TimePoint aNow)
  {
    starts_.push_back(aNow);
    while (starts_.front() <= aNow - kWindow) {
      starts_.pop_front();
    }
  }

  /// \brief Returns when the next request may start; nothing if one may start now.
  [[nodiscard]] std::optional<TimePoint> NextDeadline(TimePoint aNow) const
  {
    const auto allowedAt = NextStartAt(aNow);
    return allowedAt <= aNow ? std::nullopt : std::optional(allowedAt);
  }

  /// \brief Starts of the last second as a share of the rate limit; 0 while it does not apply.
  [[nodiscard]] double Load(TimePoint aNow) const
  {
    return IsLimiting(aNow) ? static_cast<double>(CountSince(aNow - kWindow)) / perSecond_ : 0;
  }

private:
  /// Requests that may start at once after an idle phase, as a share of the rate per second.
  static constexpr double kBurstShare = 0.25;

  [[nodiscard]] bool IsLimiting(TimePoint aNow) const noexcept
  {
    return perSecond_ > 0 && IsCold(aNow);
  }

  /// Spreads the starts over the second and keeps any second within the rate.
  [[nodiscard]] TimePoint NextStartAt(TimePoint aNow) const
  {
    if (!IsLimiting(aNow)) {
      return aNow;
    }
    const auto perWindow = std::max<std::size_t>(1, static_cast<std::size_t>(perSecond_));
    const auto burst = std::max<std::size_t>(1, static_cast<std::size_t>(perSecond_ * kBurstShare));
    const auto burstTime = std::chrono::duration_cast<Duration>(kWindow * kBurstShare);
    auto allowedAt = std::max(FewerStartsAt(perWindow, kWindow), FewerStartsAt(burst, burstTime));
    if (!reportedCold_) {
      allowedAt = std::min(allowedAt, std::max(coldUntil_, aNow));
    }
    return allowedAt;
  }

  /// Returns when fewer than aMax starts will lie within the preceding aTime.
  [[nodiscard]] TimePoint FewerStartsAt(std::size_t aMax, Duration aTime) const
  {
    return starts_.size() < aMax ? TimePoint{} : starts_[starts_.size() - aMax] + aTime;
  }

  [[nodiscard]] std::size_t CountSince(TimePoint aTime) const
  {
    const auto first = std::upper_bound(starts_.begin(), starts_.end(), aTime);
    return static_cast<std::size_t>(starts_.end() - first);
  }

  double perSecond_ = 0;
  TimePoint coldUntil_;
  bool reportedCold_ = false;
  std::deque<TimePoint> starts_; ///< within kWindow before the last start
};

} // namespace geraniumpin
