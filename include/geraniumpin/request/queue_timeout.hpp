#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/document.hpp"

namespace geraniumpin {

/// \brief Share of a route's target latency that a request may spend in queues.
///
/// Answers the load pattern "burst": under lasting overload a short queue serves as many requests
/// as a long one, in time instead of late, and those it refuses can still go elsewhere or come
/// back.
inline constexpr double kQueueShareOfTarget = 0.3;

/// \brief Share of the remaining time that a call of a backend server may spend in a queue.
///
/// A refused call fails its parent, whose work is then lost, so it waits longer than new work.
inline constexpr double kQueueShareOfRemaining = 0.5;

/// \brief Least time that a request may spend in a queue, for requests that arrive late.
inline constexpr std::chrono::milliseconds kMinQueueTimeout{ 5 };

/// \brief Decides how long a request may wait in its owner's queue.
/// \param aElapsed Time since the request arrived at its entry node.
/// \param aRemaining Time until its deadline.
[[nodiscard]] Duration
ComputeQueueTimeout(const Route& aRoute, Duration aElapsed, Duration aRemaining) noexcept;

} // namespace geraniumpin
