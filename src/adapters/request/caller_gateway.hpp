#pragma once

#include "../connection/http_server.hpp"
#include "../process/system_clock.hpp"
#include "geraniumpin/request/call.hpp"
#include "header_names.hpp"

#include <functional>
#include <map>
#include <string>

namespace geraniumpin {

/// \brief What the gateway tells the node.
struct CallerEvents
{
  std::function<void(const Call&)> onCall_;
  std::function<void(const CallId&)> onDisconnect_;
};

/// \brief Turns callers' HTTP requests into calls and answers into responses; satisfies CallerPort.
///
/// HeaderNames says which header fields carry the key and the caller's timeout, and which name the
/// outcome and its reason in a response. Keys are not passed on.
class CallerGateway
{
public:
  CallerGateway(EventLoop& aLoop,
                const NodeAddress& aAddress,
                std::size_t aMaxBodyBytes,
                std::uint64_t aOrigin,
                HeaderNames aNames,
                std::string aOwnService,
                CallerEvents aEvents);

  void Reply(const CallId& aId, const Answer& aAnswer);

  /// \brief From now on, closes each connection after its response.
  void DisableKeepAlive() { server_.DisableKeepAlive(); }

  /// \brief Says whether no caller waits for a response.
  [[nodiscard]] bool IsIdle() const { return server_.IsIdle(); }

  /// \brief Accepts no further connections.
  void StopAccepting() { server_.StopAccepting(); }

private:
  void OnRequest(ExchangeId aId, const HttpRequest& aRequest);
  [[nodiscard]] HeaderFields SelectForwardedHeaders(const HeaderFields& aHeaders) const;

  SystemClock clock_;
  HeaderNames names_;
  std::string ownService_;
  std::map<ExchangeId, std::string> requestIds_; ///< of the calls that wait for their answer
  std::size_t maxBodyBytes_;
  std::uint64_t origin_;
  CallerEvents events_;
  HttpServer server_;
};

/// \brief Maps the end of a request to an HTTP status.
[[nodiscard]] int
ToHttpStatus(const Answer& aAnswer) noexcept;

/// \brief Reads the key that a caller showed; empty if there is none.
[[nodiscard]] std::string
FindCallerKey(const HeaderFields& aHeaders, const HeaderNames& aNames);

} // namespace geraniumpin
