#pragma once

#include "geraniumpin/process/clock.hpp"

#include <cstdint>

namespace geraniumpin {

/// \brief The monotonic clock that keeps counting while the VM is suspended; satisfies Clock.
class SystemClock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept;
};

/// \brief Returns a number that increases from one start of a process to the next.
[[nodiscard]] std::uint64_t
MakeIncarnation() noexcept;

} // namespace geraniumpin
