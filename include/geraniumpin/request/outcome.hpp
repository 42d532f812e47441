#pragma once

#include <string_view>

namespace geraniumpin {

/// \brief What is known about the execution of a request when it ends.
enum class Outcome
{
  Answered, ///< the backend server ran it and its whole answer is at hand
  NotRun,   ///< no backend server has begun it or ever will
  Unknown   ///< it may have run; the answer is missing or incomplete
};

/// \brief Why a request ended as it did.
enum class Reason
{
  None,
  NotReady,          ///< the node has no confirmed configuration yet
  NoRoute,           ///< no route allows the method and path
  KeyMissing,        ///< the route wants a key and none came
  KeyUnknown,        ///< the key is unknown or was withdrawn
  TokenUnknown,      ///< the call token is unknown or its request has ended
  CutOff,            ///< the node has heard of no configuration for longer than allowed
  OverRate,          ///< the team has no tokens left
  LimitUnavailable,  ///< no node that grants tokens of the team answered in time
  NoInstance,        ///< no backend server of the service takes new work
  Overloaded,        ///< the queue of the backend server is full
  DeadlinePassed,    ///< the deadline had passed or could not be met
  Draining,          ///< the node or backend server is stopping
  OutOfService,      ///< the failure domain of the backend server is out of service
  WrongNode,         ///< the node does not own the instance, or is a later incarnation
  VersionBehind,     ///< the owner runs an older configuration that lacks the route
  BodyTooLarge,      ///< the body exceeds the cap
  Shed,              ///< the backend server refused before it started
  ConnectFailed,     ///< no connection to the backend server could be made
  ConnectionBroken,  ///< the connection to the backend server broke after the request was sent
  PeerSilent,        ///< the owner node did not answer before the deadline
  DuplicateInFlight, ///< a request with the same idempotency key is running
  Cancelled          ///< the caller left
};

/// \brief Says whether a reason means that the instance takes no work at all for now.
///
/// A full queue does not, nor does a single refusal or broken connection of the instance: the load
/// that comes with the reply tells that already.
[[nodiscard]] bool
IsInstanceUnavailable(Reason aReason) noexcept;

/// \brief Says whether an HTTP status tells a failure of the instance.
[[nodiscard]] constexpr bool
IsServerError(int aStatus) noexcept
{
  return aStatus >= 500;
}

/// \brief Returns the outcome as a lower-case word with underscores.
[[nodiscard]] std::string_view
ToString(Outcome aOutcome) noexcept;

/// \brief Returns the reason as a lower-case word with underscores.
[[nodiscard]] std::string_view
ToString(Reason aReason) noexcept;

} // namespace geraniumpin
