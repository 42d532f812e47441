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
enum class HttpEnd
{
  Complete,      ///< the whole response is at hand
  ConnectFailed, ///< nothing was sent
  Broken         ///< the request was sent, at least in part; the response is missing or cut off
};

/// \brief The end of an HTTP exchange.
struct HttpResult
{
  const HttpEnd end_ = HttpEnd::Broken;
  const HttpResponse response_;
};

/// \brief Names an exchange that an HttpClient started.
using ClientExchangeId = std::uint64_t;

/// \brief Limits of an HTTP client.
struct HttpClientLimits
{
  const std::chrono::milliseconds ioTimeout_{}; ///< longest silence of the server
  const std::size_t mostBodyBytes_ = 0;
  const std::size_t mostIdleConnections_ = 0; ///< per server
};

/// \brief An HTTP client on the event loop, built on h2o; it keeps connections open.
///
/// \code
/// client.Start(address, request, [](const HttpResult& result) { ... });
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
  ClientExchangeId Start(const NodeAddress& aServer, const HttpRequest& aRequest, Callback aDone);

  /// \brief Closes the connection of an exchange; its callback is not called.
  void Cancel(ClientExchangeId aId);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
