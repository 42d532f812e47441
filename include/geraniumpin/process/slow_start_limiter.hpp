#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

namespace geraniumpin {

/// \brief Limits the requests that start in any second while an instance is cold.
///
/// Answers the load pattern "cold return": an instance that starts while traffic runs would fall
/// over under its full share.
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

  /// \param aPerSecond Requests that a cold instance bears; 0: no limit.
  void SetRate(double aPerSecond) noexcept { perSecond_ = aPerSecond; }

  /// \brief Says that the instance counts as cold until that time at least.
  void SetColdUntil(TimePoint aTime) noexcept { coldUntil_ = std::max(coldUntil_, aTime); }

  /// \brief Says whether the platform reports the instance as cold.
  void SetReportedCold(bool aCold) noexcept { reportedCold_ = aCold; }

  /// \brief Says that the instance is known to be warm.
  void Open() noexcept
  {
    coldUntil_ = {};
    reportedCold_ = false;
  }

  [[nodiscard]] bool IsCold(TimePoint aNow) const noexcept
  {
    return reportedCold_ || aNow < coldUntil_;
  }

  /// \brief Says whether another request may start.
  [[nodiscard]] bool Allows(TimePoint aNow) const { return aNow >= NextStartAt(aNow); }

  /// \brief Notes that a request starts; also while the instance is warm, since it may turn cold.
  void RecordStart(TimePoint aNow)
  {
    starts_.push_back(aNow);
    while (starts_.front() <= aNow - kWindow) {
      starts_.pop_front();
    }
  }

  /// \brief When another request may start, if none may now.
  [[nodiscard]] std::optional<TimePoint> NextDeadline(TimePoint aNow) const
  {
    const auto allowedAt = NextStartAt(aNow);
    return allowedAt <= aNow ? std::nullopt : std::optional(allowedAt);
  }

  /// \brief Starts of the last second as a share of what a cold instance bears; 0 while it is warm.
  [[nodiscard]] double Load(TimePoint aNow) const
  {
    return IsLimiting(aNow) ? static_cast<double>(CountSince(aNow - kWindow)) / perSecond_ : 0;
  }

private:
  /// Requests that may start without a pause after a quiet moment, as a share of the rate.
  static constexpr double kBurstShare = 0.25;

  [[nodiscard]] bool IsLimiting(TimePoint aNow) const noexcept
  {
    return perSecond_ > 0 && IsCold(aNow);
  }

  /// Paces the starts over the second, and keeps each second within the rate.
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

  /// When fewer than that many starts lie within the time.
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
  std::deque<TimePoint> starts_; ///< of the last second
};

} // namespace geraniumpin
