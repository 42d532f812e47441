#pragma once

#include "geraniumpin/request/call.hpp"

#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Identifies one attempt of a request.
struct AttemptId
{
  CallId call_;
  std::uint32_t attempt_ = 0;

  auto operator<=>(const AttemptId&) const = default;
};

/// \brief A request as it is sent to the backend server: without the caller's key.
struct BackendRequest
{
  const AttemptId id_;
  const std::string requestId_;
  const std::string instance_; ///< the instance that must execute it
  const std::string team_;     ///< empty on open routes
  const std::string method_;
  const std::string host_;
  const std::string path_;
  const HeaderFields headers_;
  const Body body_;
  const std::string callToken_; ///< authenticates further calls of the backend server for the team
  const Duration remaining_{};  ///< time until the deadline
  /// An earlier attempt of the request may have been sent with the same request id.
  const bool isRepeated_ = false;
};

/// \brief How an exchange with the backend server ended.
enum class BackendResult
{
  Answered,
  Shed,          ///< it refused the request without executing it
  OtherInstance, ///< another instance has the address; nothing was executed
  ConnectFailed, ///< the request was not sent
  Broken         ///< the request was sent; the response is missing, malformed or truncated
};

/// \brief Result of an exchange with the backend server, with the response if it is complete.
struct BackendCompletion
{
  const AttemptId id_;
  const BackendResult result_ = BackendResult::Broken;
  const int status_ = 0;
  const HeaderFields headers_;
  const Body body_;
  const std::string detail_; ///< why there is no response, for logs
};

/// \brief Sends requests to the backend server of this VM.
template<class B>
concept BackendPort = requires(B& aPort, const BackendRequest& aRequest, const AttemptId& aId)
{
  aPort.Start(aRequest);
  aPort.Cancel(aId);
};

/// \brief Returns answers to callers.
template<class P>
concept CallerPort = requires(P& aPort, const CallId& aId, const Answer& aAnswer)
{
  aPort.Reply(aId, aAnswer);
};

} // namespace geraniumpin
