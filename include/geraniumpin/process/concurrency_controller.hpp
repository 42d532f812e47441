#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <concepts>
#include <cstdint>
#include <variant>

namespace geraniumpin {

/// \brief Result of a request at a backend server, as a load signal.
enum class WorkResult
{
  Success,
  Shed,   ///< the backend server refused, timed out or broke the connection
  Failed, ///< it answered with a server error, possibly at once
  Ignored ///< no load signal, for example a cancelled request
};

/// \brief One finished request.
struct WorkSample
{
  const WorkResult result_ = WorkResult::Success;
  const TimePoint startedAt_;
  const TimePoint endedAt_;
  const std::uint32_t inFlight_ = 0; ///< requests that ran when this one ended, itself included

  auto operator<=>(const WorkSample&) const = default;
};

/// \brief Adapts the number of requests that a backend server runs at once; immutable.
template<class C>
concept ConcurrencyController = requires(C aController, const C& aConst, const WorkSample& aSample)
{
  {
    aConst.Limit()
    } -> std::same_as<double>;
  {
    aConst.After(aSample)
    } -> std::same_as<C>;
  {
    aConst.WithCeiling(std::uint32_t{})
    } -> std::same_as<C>;
};

/// Initial concurrency limit of an instance of unknown capacity.
inline constexpr double kInitialConcurrency = 1;

/// \brief Additive increase on fast successes, multiplicative decrease on refusals and high
/// latency.
///
/// \code
/// controller = controller.After(sample);
/// \endcode
class AimdController
{
public:
  static constexpr double kShedFactor = 0.6;
  static constexpr double kSlowFactor = 0.85;
  static constexpr double kSlowRatio = 1.25; ///< latency over the baseline that counts as slow
  static constexpr double kSmoothing = 0.3;  ///< weight of the newest latency
  /// Minimum time in which the limit grows by one.
  static constexpr std::chrono::milliseconds kGrowthPeriod{ 200 };

  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] AimdController After(const WorkSample& aSample) const noexcept;
  [[nodiscard]] AimdController WithCeiling(std::uint32_t aMax) const noexcept;

  auto operator<=>(const AimdController&) const = default;

private:
  void Decrease(double aFactor, TimePoint aNow) noexcept;
  void Grow(TimePoint aNow) noexcept;

  double limit_ = kInitialConcurrency;
  double ceiling_ = kInitialConcurrency;
  double baselineSeconds_ = 0; ///< lowest latency, rising slowly
  double recentSeconds_ = 0;   ///< smoothed latency
  TimePoint decreasedAt_;
  TimePoint grownAt_;
};

/// \brief Runs as many requests as the instance has slots, and fewer after refusals.
///
/// For instances that state their slots. Latency is no load signal here: service times differ by a
/// factor of a hundred between requests, and an instance with free slots does not slow down.
class SlotController
{
public:
  static constexpr double kShedFactor = 0.9;
  /// Minimum limit as a share of the slots: if an instance refuses below its slots, the cause is
  /// not the number of requests.
  static constexpr double kMinSlotShare = 0.5;
  /// Time in which the limit grows by one after a decrease.
  static constexpr std::chrono::milliseconds kGrowthPeriod{ 100 };

  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] SlotController After(const WorkSample& aSample) const noexcept;
  /// \brief Sets the slots of the instance; the limit follows unless it was lowered.
  [[nodiscard]] SlotController WithCeiling(std::uint32_t aMax) const noexcept;

  auto operator<=>(const SlotController&) const = default;

private:
  double limit_ = 0;
  double ceiling_ = 0;
  TimePoint changedAt_;
};

/// \brief Scales the limit by the ratio of the long-term to the recent latency.
class GradientController
{
public:
  static constexpr double kTolerance = 1.5; ///< latency growth that does not lower the limit
  static constexpr double kSmoothing = 0.2;

  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] GradientController After(const WorkSample& aSample) const noexcept;
  [[nodiscard]] GradientController WithCeiling(std::uint32_t aMax) const noexcept;

  auto operator<=>(const GradientController&) const = default;

private:
  double limit_ = kInitialConcurrency;
  double ceiling_ = kInitialConcurrency;
  double longTermSeconds_ = 0; ///< lowest latency, rising slowly
};

/// \brief The controller of one instance: SlotController if it states its slots, else AIMD.
class InstanceController
{
public:
  [[nodiscard]] static InstanceController Make(bool aHasSlots)
  {
    InstanceController controller;
    if (aHasSlots) {
      controller.inner_ = SlotController{};
    }
    return controller;
  }

  [[nodiscard]] double Limit() const noexcept
  {
    return std::visit([](const auto& aInner) { return aInner.Limit(); }, inner_);
  }
  [[nodiscard]] InstanceController After(const WorkSample& aSample) const noexcept
  {
    auto next = *this;
    std::visit([&](auto& aInner) { aInner = aInner.After(aSample); }, next.inner_);
    return next;
  }
  [[nodiscard]] InstanceController WithCeiling(std::uint32_t aMax) const noexcept
  {
    auto next = *this;
    std::visit([&](auto& aInner) { aInner = aInner.WithCeiling(aMax); }, next.inner_);
    return next;
  }

  auto operator<=>(const InstanceController&) const = default;

private:
  std::variant<AimdController, SlotController> inner_;
};

} // namespace geraniumpin
