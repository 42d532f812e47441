#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Smoothed time that requests of one kind take at one instance, with its mean deviation.
///
/// \code
/// time = time.After(elapsed);
/// \endcode
class ServiceTime
{
public:
  /// Samples after which the newest one has the weight 1/kSmoothing; fewer have equal weights, so
  /// that the time is known from the first one.
  static constexpr std::uint32_t kSmoothing = 8;

  [[nodiscard]] ServiceTime After(Duration aSample) const noexcept
  {
    auto next = *this;
    next.samples_ = std::min(samples_ + 1, kSmoothing);
    const auto difference = aSample - mean_;
    next.mean_ += difference / next.samples_;
    if (samples_ > 0) {
      const auto distance = difference < Duration{} ? -difference : difference;
      next.deviation_ += (distance - deviation_) / next.samples_;
    }
    return next;
  }

  [[nodiscard]] bool IsKnown() const noexcept { return samples_ > 0; }
  [[nodiscard]] Duration Mean() const noexcept { return mean_; }
  [[nodiscard]] Duration Deviation() const noexcept { return deviation_; }

  auto operator<=>(const ServiceTime&) const = default;

private:
  Duration mean_{};
  Duration deviation_{};
  std::uint32_t samples_ = 0;
};

/// \brief What is known about an instance when a request is to be sent to it.
struct CompletionInputs
{
  const double load_ = 0;      ///< running and queued requests as a share of the concurrency limit
  const ServiceTime ofRoute_;  ///< of the request's route at the instance
  const ServiceTime ofAll_;    ///< of all requests at the instance
  const Duration roundTrip_{}; ///< of the messages to its node

  auto operator<=>(const CompletionInputs&) const = default;
};

/// \brief Weight of the deviation in the expected completion: a request that is late by it costs
/// its caller more than one that is early by it saves.
inline constexpr double kDeviationWeight = 0.5;

/// \brief Computes the expected wait for a slot, in service times of one request.
///
/// With all slots in use, the queue moves up by the concurrency limit in each service time. Below
/// that, the chance that the last slots are taken meanwhile rises with the square of the load; both
/// parts meet with the same slope.
[[nodiscard]] constexpr double
ComputeWaitFactor(double aLoad) noexcept
{
  return aLoad < 1 ? aLoad * aLoad / 2 : aLoad - 0.5;
}

/// \brief Computes the time until the response of a request, if it is sent to the instance now.
///
/// For the load patterns "uneven speeds" and "slow period": at equal load a fast instance responds
/// earlier than a slow one, and still does with a short queue.
[[nodiscard]] inline Duration
ComputeExpectedCompletion(const CompletionInputs& aInputs) noexcept
{
  const auto wait = aInputs.ofAll_.Mean() * ComputeWaitFactor(aInputs.load_);
  const auto deviation = aInputs.ofRoute_.Deviation() * kDeviationWeight;
  return aInputs.roundTrip_ + aInputs.ofRoute_.Mean() +
         std::chrono::duration_cast<Duration>(wait + deviation);
}

} // namespace geraniumpin
