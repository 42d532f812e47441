#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/document.hpp"

namespace geraniumpin {

/// \brief Share of a route's target latency that a request may wait in the owner's queue.
///
/// For the load pattern "burst": under lasting overload a short queue serves as many requests as a
/// long one, but in time, and refused requests can still be sent to another instance or retried by
/// the caller.
inline constexpr double kQueueShareOfTarget = 0.3;

/// \brief Share of the remaining time that a call of a backend server may wait in a queue.
///
/// Such a call waits longer than a new request, since its refusal fails the parent request, whose
/// work is then lost.
inline constexpr double kQueueShareOfRemaining = 0.5;

/// \brief Minimum queue timeout, for requests whose share is used up when they reach the owner.
inline constexpr std::chrono::milliseconds kMinQueueTimeout{ 5 };

/// \brief Computes the longest wait of a call of a backend server in its owner's queue.
/// \param aRemaining Time until its deadline.
[[nodiscard]] Duration
ComputeCallQueueTimeout(Duration aRemaining) noexcept;

/// \brief Computes the longest wait of a request in its owner's queue.
/// \param aHasTeams True if the document has teams: its open routes then carry the calls of backend
/// servers. Without teams all routes are open, and the owner finds those of calls (CallRoutes).
/// \param aElapsed Time since the request arrived at its entry node.
/// \param aRemaining Time until its deadline.
[[nodiscard]] Duration
ComputeQueueTimeout(const Route& aRoute,
                    bool aHasTeams,
                    Duration aElapsed,
                    Duration aRemaining) noexcept;

} // namespace geraniumpin
