#pragma once

#include <chrono>
#include <concepts>

namespace geraniumpin {

/// \brief Time of the process's monotonic clock; not comparable with that of other processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// \brief A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// \brief Returns the current time; tests use a clock that they set.
template<class C>
concept Clock = requires(const C& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<TimePoint>;
};

} // namespace geraniumpin
