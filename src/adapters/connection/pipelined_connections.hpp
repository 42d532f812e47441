#pragma once

#include "../process/event_loop.hpp"
#include "../request/http_message.hpp"
#include "geraniumpin/connection/holding_connection.hpp"
#include "geraniumpin/connection/request_pipeline.hpp"
#include "geraniumpin/process/memory_budget.hpp"
#include "http_server.hpp"

#include <functional>
#include <memory>

namespace geraniumpin {

/// \brief Limits of the requests that a PipelinedConnections instance receives.
struct ReceiveLimits
{
  const std::size_t maxBodyBytes_ = 0;
  const std::chrono::milliseconds requestTimeout_{}; ///< to receive a request, idle time included
  const PipelineLimits pipeline_;

  auto operator<=>(const ReceiveLimits&) const = default;
};

/// \brief Why bytes were not kept, or a connection was closed for the bytes that it holds.
enum class HoldEnd
{
  BodyRefused,      ///< no memory was left; the request is not run
  ConnectionClosed, ///< it made the least progress when memory was short
  BodyTimedOut,     ///< it made too little progress for too long
  ResponseDropped   ///< no memory was left; a failure was sent in its place
};

/// \brief What the owner of PipelinedConnections provides.
struct PipelineCallbacks
{
  /// Counts a request that was received on a socket, and numbers it.
  std::function<ExchangeId(st_h2o_socket_t*)> makeId_;
  std::function<void(ExchangeId, const HttpRequest&)> onRequest_;
  std::function<void(ExchangeId)> onDisconnect_;
  /// Returns true if a request without a body may run beside the ones before it.
  std::function<bool(const RequestTarget&)> mayRunAhead_;
  /// Takes over a socket on which the client begins HTTP/2, with all received bytes unconsumed.
  std::function<void(st_h2o_socket_t*)> acceptHttp2_;
  /// Makes the response to a request, given without its body, for which no memory is left.
  std::function<HttpResponse(const HttpRequest&)> makeOverloaded_;
  /// \param aHeldBytes Bytes of memory that the connection held or asked for.
  std::function<void(HoldEnd, const std::string& aClient, std::size_t aHeldBytes)> onHoldEnd_;
};

/// \brief The HTTP/1 connections of a server that start further requests before the ones before
/// them are answered; on h2o's sockets, with the request parser of Boost.Beast.
///
/// h2o's own HTTP/1 reads the next request only after the response to the former one.
class PipelinedConnections
{
public:
  PipelinedConnections(EventLoop& aLoop,
                       const ReceiveLimits& aLimits,
                       const HoldLimits& aHold,
                       PipelineCallbacks aCallbacks);
  ~PipelinedConnections();
  PipelinedConnections(const PipelinedConnections&) = delete;
  PipelinedConnections& operator=(const PipelinedConnections&) = delete;

  /// \brief Begins to read requests from an accepted socket, and owns it until it closes.
  void Accept(st_h2o_socket_t* aSocket);

  /// \brief Sends a response when its turn has come; does nothing if the client has disconnected.
  void Respond(ExchangeId aId, const HttpResponse& aResponse);

  /// \brief Returns true if the request came over one of these connections and its response is not
  /// sent.
  [[nodiscard]] bool Contains(ExchangeId aId) const;

  /// \brief Returns true if the client has closed its connection, perhaps behind unread bytes.
  /// \param aId A request that Contains.
  [[nodiscard]] bool HasClientClosed(ExchangeId aId) const;

  /// \brief Returns the earliest time at which the last byte of a request can have arrived.
  /// \param aId A request that Contains.
  [[nodiscard]] TimePoint ArrivedAt(ExchangeId aId) const;

  /// \brief Makes the request that was started last the last one of each connection.
  void DisableKeepAlive();

  /// \brief Returns true if no request is pending and no response is being sent.
  [[nodiscard]] bool IsIdle() const;

  /// \brief Returns the number of requests without a response.
  [[nodiscard]] std::size_t UnansweredRequests() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
