#pragma once

#include "geraniumpin/process/clock.hpp"

#include <compare>
#include <concepts>
#include <cstdint>

namespace geraniumpin {

/// \brief How a request at a backend server ended, as far as its load is concerned.
enum class WorkResult
{
  Success,
  Shed,   ///< the backend server refused, timed out or broke the connection
  Ignored ///< says nothing about load, for example a cancelled request
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

/// \brief Adapts how many requests a backend server runs at once.
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

/// Concurrency limit of an instance of which nothing is known yet.
inline constexpr double kInitialConcurrency = 1;

/// \brief Additive increase on fast successes, multiplicative decrease on refusals and slowness.
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
  /// Least time in which the limit grows by one.
  static constexpr std::chrono::milliseconds kGrowthPeriod{ 200 };

  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] AimdController After(const WorkSample& aSample) const noexcept;
  [[nodiscard]] AimdController WithCeiling(std::uint32_t aMost) const noexcept;

  auto operator<=>(const AimdController&) const = default;

private:
  void Decrease(double aFactor, TimePoint aNow) noexcept;
  void Grow(TimePoint aNow) noexcept;

  double limit_ = kInitialConcurrency;
  double ceiling_ = kInitialConcurrency;
  double baseline_ = 0; ///< seconds
  double recent_ = 0;   ///< seconds
  TimePoint decreasedAt_;
  TimePoint grownAt_;
};

/// \brief Scales the limit by the ratio of the long-term to the recent latency.
class GradientController
{
public:
  static constexpr double kTolerance = 1.5; ///< latency growth that does not lower the limit
  static constexpr double kSmoothing = 0.2;

  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] GradientController After(const WorkSample& aSample) const noexcept;
  [[nodiscard]] GradientController WithCeiling(std::uint32_t aMost) const noexcept;

  auto operator<=>(const GradientController&) const = default;

private:
  double limit_ = kInitialConcurrency;
  double ceiling_ = kInitialConcurrency;
  double longTerm_ = 0; ///< seconds
};

} // namespace geraniumpin
