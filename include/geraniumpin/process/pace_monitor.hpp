#pragma once

#include "geraniumpin/process/clock.hpp"

#include <chrono>
#include <compare>
#include <map>
#include <string>

namespace geraniumpin {

/// \brief Measures whether an instance is slower than usual at present.
///
/// For the load pattern "slow period": the times of the latest requests are compared with the usual
/// ones of their routes, so that a change of the mix of routes is not taken for a slow period.
///
/// \code
/// pace.Record(route, elapsed, now);
/// const auto load = usualLoad * pace.Factor(now);
/// \endcode
class PaceMonitor
{
public:
  /// Weight of the newest request in the present pace; ten requests show a change.
  static constexpr double kSmoothing = 0.2;
  /// Requests over which the usual time of a route is averaged: those of several seconds, so that a
  /// period of some tenths of a second hardly changes it.
  static constexpr int kUsualSamples = 512;
  /// Time without requests after which the instance counts as usual again, so that it gets some.
  static constexpr std::chrono::milliseconds kForgetTime{ 500 };
  /// Factor below which the times vary for reasons of their own: three standard deviations of the
  /// smoothed factor if single times deviate by half.
  static constexpr double kMinFactor = 1.5;
  static constexpr double kMaxFactor = 10;
  /// Routes with a stored time; another one does not count.
  static constexpr std::size_t kMaxRoutes = 64;

  /// \brief Records the time of a request at the instance.
  void Record(const std::string& aRoute, Duration aElapsed, TimePoint aNow);

  /// \brief Returns how many times slower than usual the instance is; 1 unless it is notably
  /// slower.
  [[nodiscard]] double Factor(TimePoint aNow) const noexcept;

private:
  struct Usual
  {
    Duration time_{};
    int samples_ = 0;
  };

  std::map<std::string, Usual> usual_; ///< by route
  double pace_ = 1;
  TimePoint recordedAt_{};
};

} // namespace geraniumpin
