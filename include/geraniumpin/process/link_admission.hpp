#pragma once

#include "geraniumpin/process/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace geraniumpin {

/// \brief Minimum size of a body that is admitted by the state of the link, in bytes.
inline constexpr std::size_t kMinLinkAdmissionBytes = 16384;

/// \brief Delay of a message by others on the link above which large bodies are refused.
///
/// Messages that distribute a version wait behind the same bodies, through several nodes, and the
/// version must be in force within two to three seconds.
inline constexpr std::chrono::milliseconds kMaxLinkDelay{ 150 };

/// \brief Returns true if a large body arrived over a link that carries more than it can.
///
/// For the load pattern "uploads beyond the link": the bytes of this body have been transferred,
/// but its refusal lowers the share of such requests that entry nodes send. \param aDelay Transit
/// time of the message above the lowest one of its link. \param aLinkBitsPerSecond Of this machine;
/// 0: unknown, nothing is refused.
[[nodiscard]] inline bool
ExceedsLink(std::size_t aBodyBytes, Duration aDelay, std::uint64_t aLinkBitsPerSecond) noexcept
{
  if (aLinkBitsPerSecond == 0 || aBodyBytes < kMinLinkAdmissionBytes) {
    return false;
  }
  const std::chrono::duration<double> transfer{ static_cast<double>(aBodyBytes) * 8 /
                                                static_cast<double>(aLinkBitsPerSecond) };
  return aDelay > transfer + kMaxLinkDelay;
}

} // namespace geraniumpin
