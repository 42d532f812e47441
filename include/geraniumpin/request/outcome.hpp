#pragma once

#include <string_view>

namespace geraniumpin {

/// \brief What is known about the execution of a request when it ends.
enum class Outcome
{
  Answered, ///< the backend server ran it and its answer is complete
  NotRun,   ///< no backend server started it or will start it
  Unknown   ///< it may have run; the answer is missing or incomplete
};

/// \brief Cause of the outcome of a request.
enum class Reason
{
  None,
  NotReady,          ///< the node has no confirmed configuration yet
  NoRoute,           ///< no route allows the method and path
  KeyMissing,        ///< the route requires a key and the request has none
  KeyUnknown,        ///< the key is unknown or was revoked
  TokenUnknown,      ///< the call token is unknown or its request has ended
  CutOff,            ///< the configuration is not recent enough to authenticate keys
  OverRate,          ///< the team has no tokens left
  LimitUnavailable,  ///< no node that grants tokens of the team answered in time
  NoInstance,        ///< no backend server of the service accepts requests
  Overloaded,        ///< the queue of the backend server is full
  DeadlinePassed,    ///< the deadline passed or cannot be met
  Draining,          ///< the node or backend server is stopping
  OutOfService,      ///< the failure domain of the backend server is out of service
  WrongNode,         ///< the request was sent to an earlier incarnation of the node
  VersionBehind,     ///< the owner runs an older configuration without the route or key
  BodyTooLarge,      ///< the body exceeds the size limit
  Shed,              ///< the backend server refused the request before running it
  ConnectFailed,     ///< the connection to the backend server failed
  ConnectionBroken,  ///< the request was sent; its answer is missing, malformed or truncated
  PeerSilent,        ///< no contact with the owner node since the attempt was sent
  DuplicateInFlight, ///< a request with the same idempotency key is running
  Cancelled,         ///< the caller closed its connection
  ServiceNotHere,    ///< the instance of the owner does not serve the route or service
  Misdirected,       ///< another instance at the address of the expected one refused the request
  InstanceReplaced,  ///< not sent: another instance has refused earlier requests at the address
  InstanceFailing    ///< not sent: the instance fails most of its requests
};

/// \brief The reason with the highest number, for decoders.
inline constexpr Reason kLastReason = Reason::InstanceFailing;

/// \brief Returns true if the instance accepts no requests at all for now.
///
/// False for a full queue and for a single refusal or broken connection of the instance: the load
/// report in the reply already covers these.
[[nodiscard]] bool
IsInstanceUnavailable(Reason aReason) noexcept;

/// \brief Returns true if an HTTP status means a failure of the instance.
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
