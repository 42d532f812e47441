#include "system_clock.hpp"

#include <ctime>

namespace geraniumpin {

namespace impl {
namespace {

std::chrono::nanoseconds
Read(clockid_t aClock) noexcept
{
  timespec time{};
  clock_gettime(aClock, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace
} // namespace impl

TimePoint
SystemClock::Now() const noexcept
{
  return TimePoint(impl::Read(CLOCK_BOOTTIME));
}

std::uint64_t
MakeIncarnation() noexcept
{
  return static_cast<std::uint64_t>(impl::Read(CLOCK_REALTIME).count());
}

} // namespace geraniumpin
