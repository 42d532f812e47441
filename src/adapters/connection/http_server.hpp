#pragma once

#include "../process/event_loop.hpp"
#include "../request/http_message.hpp"
#include "geraniumpin/connection/holding_connection.hpp"
#include "geraniumpin/connection/request_pipeline.hpp"
#include "geraniumpin/process/log_event.hpp"
#include "geraniumpin/process/memory_budget.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace geraniumpin {

/// \brief Identifies a request that an HttpServer received.
using ExchangeId = std::uint64_t;

/// \brief Connections and requests of an HTTP server since its start.
struct HttpServerCounters
{
  std::uint64_t acceptedConnections_ = 0;
  std::uint64_t openConnections_ = 0;   ///< at present
  std::uint64_t unusedConnections_ = 0; ///< closed before a whole request was read
  std::uint64_t acceptFailures_ = 0;    ///< no descriptor or memory was left
  std::uint64_t requests_ = 0;
  std::uint64_t disconnects_ = 0;       ///< the client closed its connection before the response
  std::uint64_t bodiesRefused_ = 0;     ///< no memory was left; not run
  std::uint64_t connectionsClosed_ = 0; ///< with the least progress when memory was short
  std::uint64_t bodiesTimedOut_ = 0;    ///< too little progress for too long
  std::uint64_t responsesDropped_ = 0;  ///< no memory was left while they waited for their client

  auto operator<=>(const HttpServerCounters&) const = default;
};

/// \brief Bounds on what a server holds for its clients.
struct HoldLimits
{
  MemoryBudget* const budget_ = nullptr; ///< null: held bytes are not bounded
  const ProgressLimits progress_{};

  auto operator<=>(const HoldLimits&) const = default;
};

/// \brief Callbacks of an HTTP server.
struct HttpHandlers
{
  /// Called for each request; Respond must follow, at once or later.
  std::function<void(ExchangeId, const HttpRequest&)> onRequest_;
  /// Called if the client disconnects before the response is sent; may be empty.
  std::function<void(ExchangeId)> onDisconnect_;
  /// Returns true if a request without a body may run beside the requests before it on its
  /// connection; used with PipelineLimits only, and required then.
  std::function<bool(const RequestTarget&)> mayRunAhead_{};
  /// Makes the response to a request, given without its body, for which no memory is left; may be
  /// empty for one without content.
  std::function<HttpResponse(const HttpRequest&)> makeOverloaded_{};
  /// Gets an event for each connection that ends for the bytes that it holds; may be empty.
  std::function<void(const LogEvent&)> log_{};
};

/// \brief An HTTP server on the event loop, built on h2o.
///
/// \code
/// HttpServer server(loop, address, kMaxBodyBytes, { onRequest, {} });
/// \endcode
class HttpServer
{
public:
  /// \brief Starts to listen; terminates the process if the address cannot be bound.
  /// \param aMaxBodyBytes Largest request body. The handlers also get a body that is one byte
  /// larger, so that they can refuse it themselves; any larger one is refused with 413.
  /// \param aPipeline Limits of the requests of one HTTP/1 connection that are served at the same
  /// time; without them, a request is read after the response to the former one.
  /// \param aHold Bounds on what connections with PipelineLimits hold.
  HttpServer(EventLoop& aLoop,
             const NodeAddress& aAddress,
             std::size_t aMaxBodyBytes,
             HttpHandlers aHandlers,
             const std::optional<PipelineLimits>& aPipeline = std::nullopt,
             const HoldLimits& aHold = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Sends a response; does nothing if the client has disconnected.
  void Respond(ExchangeId aId, const HttpResponse& aResponse);

  /// \brief Returns true if the client of a pending HTTP/1 request has closed its connection.
  ///
  /// A request can be read long after it was sent; the disconnect itself is reported later.
  [[nodiscard]] bool HasClientClosed(ExchangeId aId) const;

  /// \brief Returns the earliest time at which the last byte of a pending request can have arrived.
  [[nodiscard]] TimePoint ArrivedAt(ExchangeId aId) const;

  /// \brief Closes each connection after the responses to the requests that are pending, or after
  /// its next response if there is none.
  void DisableKeepAlive();

  /// \brief Accepts the connections in the backlog, then stops listening.
  void StopAccepting();

  /// \brief Returns true if no request is pending.
  [[nodiscard]] bool IsIdle() const;

  /// \brief Returns the number of requests that were read and not answered, including those whose
  /// client has disconnected and whose connection is still open.
  [[nodiscard]] std::size_t UnansweredRequests() const;

  [[nodiscard]] const HttpServerCounters& Counters() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
