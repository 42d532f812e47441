#pragma once

#include "../connection/http_server.hpp"
#include "../process/system_clock.hpp"
#include "geraniumpin/request/call.hpp"
#include "header_names.hpp"

#include <functional>
#include <map>
#include <string>

namespace geraniumpin {

/// \brief Callbacks from the gateway to the node.
struct CallerEvents
{
  std::function<void(const Call&)> onCall_;
  std::function<void(const CallId&)> onDisconnect_;
  /// Returns true if a call may run beside the ones before it on its connection.
  std::function<bool(const RequestTarget&)> mayRunAhead_;
  std::function<void(const LogEvent&)> log_;
};

/// \brief Converts HTTP requests into calls and answers into responses; satisfies CallerPort.
///
/// HeaderNames defines the header fields of the key and the caller's timeout, and those of the
/// outcome and its reason in a response. Keys are not forwarded.
class CallerGateway
{
public:
  CallerGateway(EventLoop& aLoop,
                const NodeAddress& aAddress,
                std::size_t aMaxBodyBytes,
                const PipelineLimits& aPipeline,
                const HoldLimits& aHold,
                std::uint64_t aOrigin,
                HeaderNames aNames,
                std::string aOwnService,
                CallerEvents aEvents);

  /// \brief Sends the answer of a call; does nothing if the caller has disconnected.
  void Reply(const CallId& aId, const Answer& aAnswer);

  /// \brief Closes each connection after its next response.
  void DisableKeepAlive() { server_.DisableKeepAlive(); }

  /// \brief Returns true if no request is pending.
  [[nodiscard]] bool IsIdle() const { return server_.IsIdle(); }

  /// \brief Returns the number of requests that were read and not answered.
  [[nodiscard]] std::size_t UnansweredRequests() const { return server_.UnansweredRequests(); }

  [[nodiscard]] const HttpServerCounters& Counters() const noexcept { return server_.Counters(); }

  /// \brief Accepts the connections in the backlog, then stops listening.
  void StopAccepting() { server_.StopAccepting(); }

private:
  void OnRequest(ExchangeId aId, const HttpRequest& aRequest);
  /// Makes the response to a request whose body finds no memory.
  [[nodiscard]] HttpResponse MakeOverloaded(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse MakeResponse(const Answer& aAnswer,
                                          const std::string& aRequestId) const;
  [[nodiscard]] HeaderFields SelectForwardedHeaders(const HeaderFields& aHeaders) const;

  HeaderNames names_;
  std::string ownService_;
  std::map<ExchangeId, std::string> requestIds_; ///< of the pending calls
  std::size_t maxBodyBytes_;
  std::uint64_t origin_;
  std::uint64_t overloads_ = 0; ///< requests whose body found no memory
  CallerEvents events_;
  HttpServer server_;
};

/// \brief Maps an answer to an HTTP status.
[[nodiscard]] int
ToHttpStatus(const Answer& aAnswer) noexcept;

/// \brief Finds the key in the header fields of a request; empty if there is none.
[[nodiscard]] std::string
FindCallerKey(const HeaderFields& aHeaders, const HeaderNames& aNames);

} // namespace geraniumpin
