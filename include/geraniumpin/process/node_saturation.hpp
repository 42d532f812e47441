#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/settings.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>

namespace geraniumpin {

/// \brief Returns the processor time that the process has used; tests pass a fake.
template<class P>
concept ProcessorClock = requires(const P& aProcessor)
{
  {
    aProcessor.Used()
    } -> std::same_as<Duration>;
};

/// \brief Measures the processor time used, in cores.
template<ProcessorClock ClockType>
class ProcessorMeter
{
public:
  /// Minimum time between two samples: the period for which a quota is granted.
  static constexpr std::chrono::milliseconds kInterval{ 100 };

  explicit ProcessorMeter(const ClockType& aClock)
    : clock_(aClock)
  {
  }

  /// \returns The cores used since the last sample; nothing if that is too recent.
  [[nodiscard]] std::optional<double> Sample(TimePoint aNow)
  {
    if (sampledAt_ && aNow - *sampledAt_ < kInterval) {
      return std::nullopt;
    }
    const auto used = clock_.Used();
    std::optional<double> cores;
    if (sampledAt_) {
      cores = std::chrono::duration<double>(used - used_) /
              std::chrono::duration<double>(aNow - *sampledAt_);
    }
    sampledAt_ = aNow;
    used_ = used;
    return cores;
  }

private:
  const ClockType& clock_;
  std::optional<TimePoint> sampledAt_;
  Duration used_{};
};

/// \brief What a node measured in one turn of its event loop.
struct SaturationInputs
{
  Duration wait_{}; ///< longest wait of a request or message between its arrival and its reading
  Duration turn_{}; ///< duration of the turn
  std::optional<double> coresUsed_{}; ///< a new sample of the processor time used
  std::uint64_t queuedLinkBytes_ = 0; ///< that wait to be sent

  auto operator<=>(const SaturationInputs&) const = default;
};

/// \brief Saturation of a node: 0 if it has capacity, 1 if its requests are late.
///
/// For the load patterns "load beyond the processor share" and "quota used up". The level is that
/// of the scarcest resource, follows it with a time constant of kTimeConstant in both directions,
/// and falls while the node has nothing to do.
///
/// \code
/// saturation = saturation.AfterTurn(inputs, settings.Machine(), now);
/// \endcode
class NodeSaturation
{
public:
  /// 95 % of a change are visible after 300 ms, so that peers see it within a second.
  static constexpr std::chrono::milliseconds kTimeConstant{ 100 };
  /// Waits that count as 0 and as 1: with a quota, pauses of some ten milliseconds are normal; with
  /// 200 ms the shortest target latency of the deployments (200 ms) is missed.
  static constexpr std::chrono::milliseconds kMinWait{ 20 };
  static constexpr std::chrono::milliseconds kMaxWait{ 200 };
  /// Durations of a turn that count as 0 (TurnMonitor::kSlowTurn) and as 1.
  static constexpr std::chrono::milliseconds kMinTurn{ 50 };
  static constexpr std::chrono::milliseconds kMaxTurn{ 200 };
  /// Shares of the processor share that count as 0 and as 1. Measured use varies by a tenth between
  /// samples of 100 ms.
  static constexpr double kMinUse = 0.7;
  static constexpr double kMaxUse = 1.0;
  /// Times to send what waits for the link that count as 0 and as 1.
  static constexpr std::chrono::milliseconds kMinLinkTime{ 50 };
  static constexpr std::chrono::milliseconds kMaxLinkTime{ 200 };
  /// Time for which a sample of the processor is used; a node without load takes no new ones.
  static constexpr std::chrono::milliseconds kMaxSampleAge{ 250 };

  NodeSaturation() = default;

  /// \brief Returns the saturation after a turn that ended at the given time.
  [[nodiscard]] NodeSaturation AfterTurn(const SaturationInputs& aInputs,
                                         const MachineLimits& aMachine,
                                         TimePoint aNow) const
  {
    auto next = *this;
    if (aInputs.coresUsed_ && aMachine.processorShare_ > 0) {
      next.use_ = Scale(*aInputs.coresUsed_ / aMachine.processorShare_, kMinUse, kMaxUse);
      next.usedAt_ = aNow;
    }
    const double use = aNow - next.usedAt_ <= kMaxSampleAge ? next.use_ : 0;
    const double now = std::max({ use,
                                  ScaleTime(aInputs.wait_, kMinWait, kMaxWait),
                                  ScaleTime(aInputs.turn_, kMinTurn, kMaxTurn),
                                  ScaleLink(aInputs.queuedLinkBytes_, aMachine) });
    // In the rest of the time since the last turn the node had nothing to do.
    const auto elapsed = std::max(Duration{}, aNow - at_);
    const auto busy = use > 0 ? elapsed : std::min(elapsed, std::max(aInputs.wait_, aInputs.turn_));
    const double before = level_ * Decay(elapsed - busy);
    next.level_ = now + (before - now) * Decay(busy);
    next.at_ = aNow;
    return next;
  }

  /// \brief Returns the level from 0 to 1, if no turn was necessary since the last one.
  [[nodiscard]] double Level(TimePoint aNow) const
  {
    return std::clamp(level_ * Decay(std::max(Duration{}, aNow - at_)), 0.0, 1.0);
  }

  auto operator<=>(const NodeSaturation&) const = default;

private:
  [[nodiscard]] static double Scale(double aValue, double aMin, double aMax) noexcept
  {
    return std::clamp((aValue - aMin) / (aMax - aMin), 0.0, 1.0);
  }

  [[nodiscard]] static double ScaleTime(Duration aTime, Duration aMin, Duration aMax) noexcept
  {
    return Scale(static_cast<double>(aTime.count()),
                 static_cast<double>(aMin.count()),
                 static_cast<double>(aMax.count()));
  }

  [[nodiscard]] static double ScaleLink(std::uint64_t aBytes,
                                        const MachineLimits& aMachine) noexcept
  {
    constexpr double kBitsPerByte = 8;
    if (aMachine.linkBitsPerSecond_ == 0) {
      return 0;
    }
    const std::chrono::duration<double> time(static_cast<double>(aBytes) * kBitsPerByte /
                                             static_cast<double>(aMachine.linkBitsPerSecond_));
    return Scale(time.count(),
                 std::chrono::duration<double>(kMinLinkTime).count(),
                 std::chrono::duration<double>(kMaxLinkTime).count());
  }

  [[nodiscard]] static double Decay(Duration aTime) noexcept
  {
    return std::exp(-std::chrono::duration<double>(aTime) /
                    std::chrono::duration<double>(kTimeConstant));
  }

  double level_ = 0; ///< at the end of the last turn
  TimePoint at_{};   ///< of that end
  double use_ = 0;   ///< level of the last sample of the processor
  TimePoint usedAt_{};
};

} // namespace geraniumpin
