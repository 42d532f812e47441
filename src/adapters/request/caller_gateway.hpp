#pragma once

#include "../connection/http_server.hpp"
#include "../process/system_clock.hpp"
#include "geraniumpin/request/call.hpp"

#include <functional>
#include <map>
#include <string>

namespace geraniumpin {

/// \brief What the gateway tells the node.
struct CallerEvents
{
  std::function<void(const Call&)> onCall_;
  std::function<void(const CallId&)> onGone_;
};

/// \brief Turns callers' HTTP requests into calls and answers into responses; satisfies CallerPort.
///
/// The key comes in "authorization: Bearer KEY" or in "x-api-key"; neither is passed on. Each
/// response names the outcome in "geraniumpin-outcome" and the reason in "geraniumpin-reason".
class CallerGateway
{
public:
  CallerGateway(EventLoop& aLoop,
                const NodeAddress& aAddress,
                std::size_t aMostBodyBytes,
                std::uint64_t aIncarnation,
                CallerEvents aEvents);

  void Reply(const CallId& aId, const Answer& aAnswer);

  /// \brief From now on, closes each connection after its response.
  void BeginClosing() { server_.BeginClosing(); }

  /// \brief Says whether no caller waits for a response.
  [[nodiscard]] bool IsIdle() const { return server_.IsIdle(); }

  /// \brief Accepts no further connections.
  void StopAccepting() { server_.StopAccepting(); }

private:
  void OnRequest(ExchangeId aId, const HttpRequest& aRequest);

  SystemClock clock_;
  std::size_t mostBodyBytes_;
  std::uint64_t incarnation_;
  CallerEvents events_;
  HttpServer server_;
};

/// \brief Maps the end of a request to an HTTP status.
[[nodiscard]] int
StatusOf(const Answer& aAnswer) noexcept;

/// \brief Reads the key that a caller showed; empty if there is none.
[[nodiscard]] std::string
KeyOf(const HeaderFields& aHeaders);

} // namespace geraniumpin
