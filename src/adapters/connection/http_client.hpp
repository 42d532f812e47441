#pragma once

#include "../process/event_loop.hpp"
#include "../request/http_message.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace geraniumpin {

/// \brief How an HTTP exchange ended.
enum class HttpOutcome
{
  Complete,      ///< the whole response arrived
  ConnectFailed, ///< no connection, so nothing was sent
  /// The request was sent, at least in part; the response is missing, malformed or truncated.
  Broken
};

/// \brief Outcome of an HTTP exchange and its response.
struct HttpResult
{
  const HttpOutcome outcome_ = HttpOutcome::Broken;
  const HttpResponse response_; ///< empty unless Complete
  const std::string detail_;    ///< why there is no response, for logs; empty if Complete
};

/// \brief A header field that the server must repeat in its response.
struct EchoedHeader
{
  std::string name_; ///< lower case; empty: no field is expected
  std::string value_;
};

/// \brief Which connections an exchange may use.
enum class ConnectionUse
{
  Any, ///< an idle connection, or else a new one
  New  ///< for a repeated request: its echoed field may be in a late response on an earlier one
};

/// \brief Identifies an exchange of an HttpClient.
using ClientExchangeId = std::uint64_t;

/// \brief Limits of an HTTP client.
struct HttpClientLimits
{
  /// Idle time after which a connection is not reused, unless the server states a shorter one.
  /// Also the time for the rest of a request body whose response has arrived.
  const std::chrono::milliseconds idleTimeout_{};
  const std::size_t maxBodyBytes_ = 0; ///< a response with a larger body is Broken
};

/// \brief An HTTP client on the event loop, built on h2o's sockets and Boost.Beast's parser.
///
/// It keeps connections open and reuses the one that was idle for the shortest time, for one
/// request at a time. A response without the expected header field belongs to an earlier request
/// and is discarded. Bytes after a response, or without a pending request, close the connection. A
/// response without length is complete only if its connection ends without a reset. A response that
/// HTTP/1.1 does not allow, or that exceeds a limit in header, body or framing, and too many
/// discarded responses are Broken. An exchange has no timeout: the caller of Start cancels.
///
/// \code
/// client.Start(address, request, {}, [](const HttpResult& result) { ... });
/// \endcode
class HttpClient
{
public:
  using Callback = std::function<void(const HttpResult&)>;

  HttpClient(EventLoop& aLoop, const HttpClientLimits& aLimits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends a request.
  /// \param aDone Called once, from the event loop, unless the exchange is cancelled.
  ClientExchangeId Start(const NodeAddress& aServer,
                         const HttpRequest& aRequest,
                         const EchoedHeader& aEchoedHeader,
                         Callback aDone,
                         ConnectionUse aUse = ConnectionUse::Any);

  /// \brief Cancels an exchange that has not ended, and closes its connection.
  void Cancel(ClientExchangeId aId);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
