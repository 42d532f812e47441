#pragma once

#include "../process/event_loop.hpp"
#include "../request/http_message.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace geraniumpin {

/// \brief Names a request that an HttpServer received.
using ExchangeId = std::uint64_t;

/// \brief What an HTTP server does with requests.
struct HttpHandlers
{
  /// Called for each request; Respond must follow, at once or later.
  std::function<void(ExchangeId, const HttpRequest&)> onRequest_;
  /// Called if the client left before it had its response; may be empty.
  std::function<void(ExchangeId)> onDisconnect_;
};

/// \brief An HTTP server on the event loop, built on h2o.
///
/// \code
/// HttpServer server(loop, address, kMaxBodyBytes, { onRequest, {} });
/// \endcode
class HttpServer
{
public:
  /// \brief Listens at once; an address that cannot be bound ends the process.
  HttpServer(EventLoop& aLoop,
             const NodeAddress& aAddress,
             std::size_t aMaxBodyBytes,
             HttpHandlers aHandlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Sends a response; does nothing if the client has left.
  void Respond(ExchangeId aId, const HttpResponse& aResponse);

  /// \brief From now on, closes each connection after the response that it waits for.
  void DisableKeepAlive();

  /// \brief Serves the connections that wait to be accepted, and accepts no further ones.
  void StopAccepting();

  /// \brief Says whether no request waits for a response.
  [[nodiscard]] bool IsIdle() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
