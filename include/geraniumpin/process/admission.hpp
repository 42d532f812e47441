#pragma once

#include "geraniumpin/process/concurrency_controller.hpp"
#include "geraniumpin/process/ranked_queue.hpp"
#include "geraniumpin/process/slow_start_limiter.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/request/outcome.hpp"

#include <algorithm>
#include <cmath>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumpin {

/// \brief Whether an admitted request starts now or waits.
enum class AdmissionResult
{
  Start,
  Queued
};

/// \brief Requests to start and to end after a request ended or time passed.
template<class Ticket>
struct AdmissionActions
{
  const std::vector<Ticket> start_;
  const std::vector<Ticket> expired_; ///< left the queue at their deadline; did not run
};

/// \brief Admission control of the backend server of this VM.
///
/// Limits the requests that run at once, by an adaptive concurrency limit and by slow start, and
/// queues the others by rank and team.
///
/// \tparam Ticket Id of a request.
/// \tparam Controller Adapts the concurrency limit.
template<class Ticket, ConcurrencyController Controller = AimdController>
class Admission
{
public:
  static constexpr std::size_t kMaxQueuedPerTeam = 64;
  /// Weight of the newest request in the smoothed share of refused and failed requests.
  static constexpr double kFailureSmoothing = 0.2;
  /// Minimum success share in Load; bounds the load of a backend server that refuses all requests.
  static constexpr double kMinSuccessShare = 0.05;

  /// \param aSlots Requests that the backend server can run at once when warm.
  explicit Admission(std::uint32_t aSlots)
    : controller_(Controller{}.WithCeiling(aSlots))
    , queue_(kMaxQueuedPerTeam)
  {
  }

  void SetSlots(std::uint32_t aSlots) { controller_ = controller_.WithCeiling(aSlots); }

  /// \brief Resets the concurrency limit, for a new instance.
  /// \param aController Adapts the limit from now on.
  void Restart(const Controller& aController, std::uint32_t aSlots)
  {
    controller_ = aController.WithCeiling(aSlots);
  }

  /// \brief Returns the limiter of starts while the backend server is cold.
  [[nodiscard]] SlowStartLimiter& SlowStart() noexcept { return slowStart_; }
  [[nodiscard]] const SlowStartLimiter& SlowStart() const noexcept { return slowStart_; }

  /// \brief Starts, queues or refuses a request.
  /// \returns DeadlinePassed if the request would miss its deadline or queue deadline, Overloaded
  /// if the queue of its team is full.
  [[nodiscard]] tl::expected<AdmissionResult, Reason> Admit(const QueuedWork<Ticket>& aWork,
                                                            TimePoint aNow)
  {
    if (MayStartNow(aNow)) {
      OnStart(aNow);
      return AdmissionResult::Start;
    }
    if (const auto refusal = FindRefusal(aWork, aNow)) {
      return tl::make_unexpected(*refusal);
    }
    if (!queue_.Push(aWork)) {
      return tl::make_unexpected(Reason::Overloaded);
    }
    return AdmissionResult::Queued;
  }

  /// \brief Returns why a request would miss its deadline or queue deadline; nothing if it would
  /// meet them.
  [[nodiscard]] std::optional<Reason> FindRefusal(const QueuedWork<Ticket>& aWork,
                                                  TimePoint aNow) const
  {
    if (MayStartNow(aNow)) {
      return std::nullopt;
    }
    const auto startsAt = aNow + ExpectedWait(aWork.rank_, aNow);
    const bool isLate =
      startsAt > aWork.ExpiresAt() || startsAt + aWork.expectedServiceTime_ > aWork.deadline_;
    return isLate ? std::optional(Reason::DeadlinePassed) : std::nullopt;
  }

  /// \brief Records the end of a running request.
  [[nodiscard]] AdmissionActions<Ticket> OnEnd(WorkResult aResult,
                                               TimePoint aStartedAt,
                                               TimePoint aNow)
  {
    controller_ = controller_.After({ aResult, aStartedAt, aNow, inFlight_ });
    --inFlight_;
    if (aResult != WorkResult::Ignored) {
      const double failure = aResult == WorkResult::Success ? 0 : 1;
      failureShare_ += (hasSample_ ? kFailureSmoothing : 1) * (failure - failureShare_);
      hasSample_ = true;
    }
    if (aResult == WorkResult::Success) {
      const auto sample = aNow - aStartedAt;
      serviceTime_ = serviceTime_ == Duration{} ? sample : (serviceTime_ * 7 + sample) / 8;
    }
    return Advance(aNow);
  }

  /// \brief Removes expired requests from the queue and starts others within the limits.
  [[nodiscard]] AdmissionActions<Ticket> Advance(TimePoint aNow)
  {
    auto expired = queue_.RemoveExpired(aNow);
    std::vector<Ticket> start;
    while (CanStart(aNow)) {
      auto work = queue_.Pop();
      if (!work) {
        break;
      }
      OnStart(aNow);
      start.push_back(std::move(work->ticket_));
    }
    return { .start_ = std::move(start), .expired_ = std::move(expired) };
  }

  /// \returns True if the request was queued.
  bool RemoveQueued(const Ticket& aTicket) { return queue_.Remove(aTicket); }

  [[nodiscard]] std::optional<TimePoint> NextDeadline(TimePoint aNow) const
  {
    auto next = queue_.NextDeadline();
    if (next && HasSlot()) {
      if (const auto allowedAt = slowStart_.NextDeadline(aNow)) {
        next = std::min(*next, *allowedAt);
      }
    }
    return next;
  }
  [[nodiscard]] std::uint32_t InFlight() const noexcept { return inFlight_; }
  [[nodiscard]] std::size_t Queued() const { return queue_.Size(); }
  [[nodiscard]] double Limit() const noexcept { return controller_.Limit(); }
  [[nodiscard]] Duration ServiceTime() const noexcept { return serviceTime_; }

  /// \brief Returns the expected time until a request of the rank could start.
  [[nodiscard]] Duration RetryAfter(std::uint32_t aRank, TimePoint aNow) const
  {
    return ExpectedWait(aRank, aNow);
  }

  /// \brief Running and queued requests as a share of the concurrency limit, times the expected
  /// attempts per success.
  ///
  /// The factor is for the load patterns "instance that refuses" and "instance that fails part of
  /// its work": such an instance answers so fast that it would seem idle and be preferred to a busy
  /// one.
  [[nodiscard]] double Load(TimePoint aNow) const
  {
    const double share = (inFlight_ + static_cast<double>(queue_.Size())) / controller_.Limit();
    const double successShare = std::max(kMinSuccessShare, 1 - failureShare_);
    return (std::max(share, slowStart_.Load(aNow)) + failureShare_) / successShare;
  }

private:
  void OnStart(TimePoint aNow)
  {
    ++inFlight_;
    slowStart_.RecordStart(aNow);
  }

  [[nodiscard]] bool HasSlot() const noexcept
  {
    return inFlight_ < std::floor(controller_.Limit());
  }

  [[nodiscard]] bool MayStartNow(TimePoint aNow) const
  {
    return queue_.Size() == 0 && CanStart(aNow);
  }

  [[nodiscard]] bool CanStart(TimePoint aNow) const { return HasSlot() && slowStart_.Allows(aNow); }

  [[nodiscard]] Duration ExpectedWait(std::uint32_t aRank, TimePoint aNow) const
  {
    const auto ahead = static_cast<double>(queue_.CountAhead(aRank));
    const double rounds = HasSlot() ? 0 : (ahead + 1) / controller_.Limit();
    const auto wait = std::chrono::duration_cast<Duration>(serviceTime_ * rounds);
    const auto allowedAt = slowStart_.NextDeadline(aNow);
    return allowedAt ? std::max(wait, *allowedAt - aNow) : wait;
  }

  Controller controller_;
  RankedQueue<Ticket> queue_;
  SlowStartLimiter slowStart_;
  std::uint32_t inFlight_ = 0;
  Duration serviceTime_{};
  bool hasSample_ = false;
  double failureShare_ = 0; ///< smoothed share of refused and failed requests
};

} // namespace geraniumpin
