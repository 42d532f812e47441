#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace geraniumpin {

/// \brief Time of the process's monotonic clock; not comparable with that of other processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// \brief A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// \brief Returns whole microseconds, as log events and messages state them.
[[nodiscard]] constexpr std::int64_t
Microseconds(Duration aDuration) noexcept
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
}

/// \brief Returns whole milliseconds, as log events state them.
[[nodiscard]] constexpr std::int64_t
Milliseconds(Duration aDuration) noexcept
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// \brief Returns the current time; tests use a clock that they set.
template<class C>
concept Clock = requires(const C& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<TimePoint>;
};

} // namespace geraniumpin
