#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/request/call.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief A request of a caller that was read and not started yet; the lowest rank is first.
struct HeldRequest
{
  std::uint32_t rank_ = 0;
  TimePoint arrivedAt_;
  CallId id_;
  Duration maxWait_{}; ///< see ComputeMaxIntakeWait

  auto operator<=>(const HeldRequest&) const = default;
};

/// \brief Share of its target latency that a request may wait before it is started.
///
/// The mean work of a request takes 0.22 to 0.38 of its target in both deployments of
/// docs/OVERLOAD.md; a quarter leaves as much again for the queue of the instance.
inline constexpr double kMaxIntakeWaitShare = 0.25;

/// \brief Wait up to which no request is refused.
///
/// A quota of processor time is granted for each tenth of a second, so a node that has used it up
/// pauses for up to that time without being overloaded.
inline constexpr std::chrono::milliseconds kMinIntakeWait{ 100 };

/// \brief Computes how long a request may wait between its arrival and its start.
/// \param aTarget Target latency of its route; zero if it has none.
/// \param aTimeout Timeout of its route, used in place of the target if there is none.
[[nodiscard]] inline Duration
ComputeMaxIntakeWait(Duration aTarget, Duration aTimeout) noexcept
{
  const auto base = aTarget > Duration{} ? aTarget : aTimeout;
  return std::max<Duration>(kMinIntakeWait,
                            std::chrono::duration_cast<Duration>(base * kMaxIntakeWaitShare));
}

/// \brief Computes the Retry-After of a request that is refused for lack of capacity.
/// \param aTarget Target latency of its route; zero if it has none.
/// \param aRemaining Time until its deadline.
/// \param aFraction From 0 to 1, drawn for each request, so that callers return spread over time.
[[nodiscard]] inline Duration
ComputeIntakeRetryAfter(Duration aTarget, Duration aRemaining, double aFraction) noexcept
{
  // Callers honour a Retry-After of up to a third of the remaining time; 0.6 of a half is below it.
  constexpr double kMinShare = 0.2;
  constexpr double kMaxShare = 0.6;
  const auto half = std::max(Duration{}, aRemaining / 2);
  const auto base = aTarget > Duration{} ? std::min(aTarget, half) : half;
  const auto share = kMinShare + (kMaxShare - kMinShare) * aFraction;
  return std::chrono::duration_cast<Duration>(base * share);
}

/// \brief Holds new requests until the other events of a turn are handled, and bounds their wait.
///
/// For the load pattern "load beyond the processor share": requests are started by rank and
/// arrival. What cannot be started within its maximum wait is refused, the least urgent first. A
/// less urgent request may not wait longer than a more urgent one, so that it is not served more
/// often. A rank that is served much less often than all requests is started first.
///
/// \code
/// for (const auto& late : queue.TakeLate(now)) { Refuse(late); }
/// if (const auto next = queue.TakeNext(now)) { Start(*next); }
/// \endcode
class IntakeQueue
{
public:
  /// Share of the service of all requests that each rank gets: a quarter is required, and the
  /// margin covers the delay with which the counts follow the load.
  static constexpr double kMinServedShare = 0.3;
  /// Number of requests after which all counts are halved; enough for a share of a few percent.
  static constexpr std::uint64_t kMaxCounted = 512;
  /// Weight of a new sample of the interval between starts. A pause of 90 ms, when a quota is used
  /// up, then moves the estimate by less than 3 ms.
  static constexpr int kIntervalSamples = 32;

  void Push(const HeldRequest& aRequest)
  {
    held_.insert(aRequest);
    LearnMaxWait(aRequest);
  }

  /// \brief Removes a request, whose caller has disconnected.
  /// \returns True if it was held.
  bool Remove(const CallId& aId)
  {
    return std::erase_if(held_, [&](const auto& aHeld) { return aHeld.id_ == aId; }) > 0;
  }

  /// \brief Removes the requests that have waited too long, and those that would have before their
  /// turn comes.
  /// \returns The removed requests, which must be refused.
  [[nodiscard]] std::vector<HeldRequest> TakeLate(TimePoint aNow)
  {
    std::vector<HeldRequest> late;
    std::int64_t ahead = 0;
    auto maxWait = Duration::max();
    auto rank = ranks_.begin();
    for (auto held = held_.begin(); held != held_.end();) {
      for (; rank != ranks_.end() && rank->first <= held->rank_; ++rank) {
        const auto ofRank = rank->second.maxWait_;
        maxWait = ofRank > Duration{} ? std::min(maxWait, ofRank) : maxWait;
      }
      const auto waited = aNow - held->arrivedAt_;
      const auto expected = IsUnderserved(held->rank_) ? waited : waited + ahead * interval_;
      if (expected > maxWait) {
        late.push_back(*held);
        held = held_.erase(held);
      } else {
        ++ahead;
        ++held;
      }
    }
    for (const auto& request : late) {
      Count(request.rank_, false);
    }
    return late;
  }

  /// \brief Removes and returns the request to start next; nothing if none is held.
  [[nodiscard]] std::optional<HeldRequest> TakeNext(TimePoint aNow)
  {
    if (held_.empty()) {
      return std::nullopt;
    }
    const auto next = FindNext();
    const auto request = *next;
    held_.erase(next);
    Count(request.rank_, true);
    if (lastStartAt_) {
      interval_ += (aNow - *lastStartAt_ - interval_) / kIntervalSamples;
    }
    lastStartAt_ = aNow;
    if (held_.empty()) {
      // The time until the next start depends on arrivals from here on. An emptied queue also shows
      // that there is capacity, so an estimate from an earlier overload loses weight.
      lastStartAt_.reset();
      interval_ /= 2;
    }
    return request;
  }

  [[nodiscard]] bool Empty() const noexcept { return held_.empty(); }
  [[nodiscard]] std::size_t Size() const noexcept { return held_.size(); }

private:
  /// Requests of one rank; old ones lose weight.
  struct RankCounts
  {
    Duration maxWait_{}; ///< the shortest of its recent requests; zero: unknown
    std::uint64_t ended_ = 0;
    std::uint64_t started_ = 0;
  };

  [[nodiscard]] std::set<HeldRequest>::iterator FindNext() const
  {
    auto next = held_.begin();
    while (next != held_.end() && !IsUnderserved(next->rank_)) {
      HeldRequest afterRank{};
      if (next->rank_ == std::numeric_limits<std::uint32_t>::max()) {
        break;
      }
      afterRank.rank_ = next->rank_ + 1;
      afterRank.arrivedAt_ = TimePoint::min();
      next = held_.lower_bound(afterRank);
    }
    return next == held_.end() || !IsUnderserved(next->rank_) ? held_.begin() : next;
  }

  /// Returns true if a rank is served too little, and after one more of its requests still less
  /// than each more urgent rank.
  [[nodiscard]] bool IsUnderserved(std::uint32_t aRank) const
  {
    const auto found = ranks_.find(aRank);
    if (found == ranks_.end()) {
      return false;
    }
    const auto& counts = found->second;
    const auto share = kMinServedShare * static_cast<double>(counts.ended_);
    return static_cast<double>(counts.started_) * static_cast<double>(ended_) <
             share * static_cast<double>(started_) &&
           std::all_of(ranks_.begin(), found, [&](const auto& aUrgent) {
             const auto& urgent = aUrgent.second;
             return (counts.started_ + 1) * urgent.ended_ <= urgent.started_ * (counts.ended_ + 1);
           });
  }

  void Count(std::uint32_t aRank, bool aStarted)
  {
    const std::uint64_t started = aStarted ? 1 : 0;
    auto& counts = ranks_[aRank];
    ++counts.ended_;
    counts.started_ += started;
    ++ended_;
    started_ += started;
    if (ended_ >= kMaxCounted) {
      Halve();
    }
  }

  void LearnMaxWait(const HeldRequest& aRequest)
  {
    auto& maxWait = ranks_[aRequest.rank_].maxWait_;
    maxWait = maxWait == Duration{} ? aRequest.maxWait_ : std::min(maxWait, aRequest.maxWait_);
  }

  void Halve()
  {
    ended_ = 0;
    started_ = 0;
    for (auto& [rank, counts] : ranks_) {
      counts = { .maxWait_ = {}, .ended_ = counts.ended_ / 2, .started_ = counts.started_ / 2 };
      ended_ += counts.ended_;
      started_ += counts.started_;
    }
    // Learned again, since a new version may have changed the targets.
    for (const auto& request : held_) {
      LearnMaxWait(request);
    }
    std::erase_if(ranks_, [](const auto& aRank) {
      return aRank.second.ended_ == 0 && aRank.second.maxWait_ == Duration{};
    });
  }

  std::set<HeldRequest> held_;
  std::map<std::uint32_t, RankCounts> ranks_;
  std::uint64_t ended_ = 0;   ///< started or refused
  std::uint64_t started_ = 0; ///< of these
  Duration interval_{};       ///< between starts, while requests are waiting
  std::optional<TimePoint> lastStartAt_;
};

} // namespace geraniumpin
