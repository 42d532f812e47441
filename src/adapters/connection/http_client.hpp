#pragma once

#include "../process/event_loop.hpp"
#include "../request/http_message.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace geraniumpin {

/// \brief How an HTTP exchange ended.
enum class HttpOutcome
{
  Complete,      ///< the whole response is at hand
  ConnectFailed, ///< nothing was sent
  Broken         ///< the request was sent, at least in part; the response is missing or cut off
};

/// \brief The end of an HTTP exchange.
struct HttpResult
{
  const HttpOutcome outcome_ = HttpOutcome::Broken;
  const HttpResponse response_;
};

/// \brief A header field that the server must repeat in its response.
struct EchoedHeader
{
  std::string name_; ///< lower case; empty: no field is expected
  std::string value_;
};

/// \brief Names an exchange that an HttpClient started.
using ClientExchangeId = std::uint64_t;

/// \brief Limits of an HTTP client.
struct HttpClientLimits
{
  /// Idle time after which a connection is not used again, unless the server states a shorter one.
  const std::chrono::milliseconds idleTimeout_{};
  const std::size_t maxBodyBytes_ = 0;
};

/// \brief An HTTP client on the event loop: h2o's sockets, Boost.Beast's parser.
///
/// It keeps connections open and uses the one that was idle for the shortest time. It sends one
/// request at a time on a connection. A response that does not echoedHeader the request's field
/// belongs to an earlier request and is dropped. Bytes after a response, or without a request,
/// close the connection. A response without length is complete only if its connection ends without
/// a reset. There is no timeout: the caller of Start cancels.
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

  /// \brief Sends a request; the callback is called once, unless the exchange is cancelled.
  ClientExchangeId Start(const NodeAddress& aServer,
                         const HttpRequest& aRequest,
                         const EchoedHeader& aEchoedHeader,
                         Callback aDone);

  /// \brief Gives up an exchange and closes its connection.
  void Cancel(ClientExchangeId aId);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
