#pragma once

#include "geraniumpin/process/clock.hpp"

#include <ctime>

namespace geraniumpin {

/// \brief The processor time of this process, all threads; satisfies ProcessorClock.
class ProcessProcessorClock
{
public:
  [[nodiscard]] Duration Used() const noexcept
  {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used); // cannot fail for the own process
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
  }
};

} // namespace geraniumpin
