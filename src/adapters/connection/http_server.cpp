#include "http_server.hpp"

#include "pipelined_connections.hpp"
#include "stream_state.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <glog/logging.h>
#include <h2o.h>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace geraniumpin {

namespace impl {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxAcceptsPerEvent = 16; // leaves time for the requests of open connections
constexpr std::uint64_t kRequestTimeoutMs = 30000; // to receive a request after its first byte
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::size_t kBodyLimitMargin = 1; // lets the handler itself refuse an oversized body
// Delay before a pending request's connection is watched for its end, so that fast requests are
// spared the cost.
constexpr std::uint64_t kDisconnectWatchDelayMs = 20;
// Interval of the checks of a connection that cannot be watched, and of attempts to accept while no
// descriptor is left.
constexpr std::uint64_t kRetryDelayMs = 100;

std::string
ToText(const h2o_iovec_t& aVector)
{
  return { aVector.base, aVector.len };
}

HeaderFields
MakeHeaderFields(const h2o_req_t& aRequest)
{
  HeaderFields fields;
  fields.reserve(aRequest.headers.size);
  for (std::size_t i = 0; i < aRequest.headers.size; ++i) {
    const auto& header = aRequest.headers.entries[i];
    fields.push_back({ ToText(*header.name), ToText(header.value) });
  }
  return fields;
}

int
Listen(const NodeAddress& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  PCHECK(fd >= 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.Port());
  inet_pton(AF_INET, aAddress.Ip().c_str(), &address.sin_addr);
  PCHECK(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    << "event=listen_failed address=" << aAddress.Text();
  PCHECK(listen(fd, kListenBacklog) == 0);
  return fd;
}

} // namespace
} // namespace impl

/// \brief Connects h2o's callbacks with the handlers.
struct HttpServer::Impl
{
  struct Exchange;

  /// A timer with a pointer to its request; h2o passes its first member to the callback.
  struct WatchDelay
  {
    h2o_timeout_entry_t entry_{};
    Exchange* exchange_ = nullptr;
  };

  /// One request, allocated in h2o's memory pool of the request and destroyed with it.
  struct Exchange
  {
    Impl* server_;
    ExchangeId id_;
    h2o_req_t* request_;
    TimePoint arrivedAt_{};
    bool responded_ = false;
    Body body_; ///< holds the response body until h2o has sent it
    h2o_generator_t generator_{};
    WatchDelay watchDelay_{};
    std::unique_ptr<FdWatch> disconnectWatch_;
  };
  /// A timer with a pointer to its server.
  struct AcceptPause
  {
    h2o_timeout_entry_t entry_{};
    Impl* server_ = nullptr;
  };

  /// Deleted when its socket closes.
  struct Connection
  {
    Impl* server_ = nullptr;
    bool hasSentRequest_ = false;
  };
  struct Handler
  {
    h2o_handler_t base_;
    Impl* server_;
  };

  Impl(EventLoop& aLoop,
       const NodeAddress& aAddress,
       std::size_t aMaxBodyBytes,
       HttpHandlers aHandlers,
       const std::optional<PipelineLimits>& aPipeline,
       const HoldLimits& aHold)
    : loop_(aLoop)
    , handlers_(std::move(aHandlers))
    , budget_(aHold.budget_)
  {
    if (aPipeline) {
      StartPipelining(aMaxBodyBytes, *aPipeline, aHold);
    }
    h2o_config_init(&config_);
    config_.max_request_entity_size = aMaxBodyBytes + impl::kBodyLimitMargin;
    config_.http1.req_timeout = impl::kRequestTimeoutMs;
    config_.server_name = { nullptr, 0 };
    auto* host = h2o_config_register_host(&config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    handler->base_.on_req = OnRequest;
    handler->server_ = this;
    h2o_context_init(&context_, loop_.Native(), &config_);
    accept_.ctx = &context_;
    accept_.hosts = config_.hosts;
    h2o_timeout_init(loop_.Native(), &watchDelay_, impl::kDisconnectWatchDelayMs);
    h2o_timeout_init(loop_.Native(), &retryDelay_, impl::kRetryDelayMs);
    listener_ =
      h2o_evloop_socket_create(loop_.Native(), impl::Listen(aAddress), H2O_SOCKET_FLAG_DONT_READ);
    listener_->data = this;
    acceptPause_.server_ = this;
    acceptPause_.entry_.cb = OnAcceptPauseEnd;
    h2o_socket_read_start(listener_, OnAccept);
  }

  void StartPipelining(std::size_t aMaxBodyBytes,
                       const PipelineLimits& aLimits,
                       const HoldLimits& aHold)
  {
    pipelined_.emplace(
      loop_,
      ReceiveLimits{ .maxBodyBytes_ = aMaxBodyBytes + impl::kBodyLimitMargin,
                     .requestTimeout_ = std::chrono::milliseconds(impl::kRequestTimeoutMs),
                     .pipeline_ = aLimits },
      aHold,
      PipelineCallbacks{
        .makeId_ = [this](h2o_socket_t* aSocket) { return CountRequest(aSocket); },
        .onRequest_ = [this](ExchangeId aId,
                             const HttpRequest& aRequest) { handlers_.onRequest_(aId, aRequest); },
        .onDisconnect_ =
          [this](ExchangeId aId) {
            ++counters_.disconnects_;
            if (handlers_.onDisconnect_) {
              handlers_.onDisconnect_(aId);
            }
          },
        .mayRunAhead_ =
          [this](const RequestTarget& aTarget) { return handlers_.mayRunAhead_(aTarget); },
        .acceptHttp2_ = [this](h2o_socket_t* aSocket) { h2o_accept(&accept_, aSocket); },
        .makeOverloaded_ =
          [this](const HttpRequest& aRequest) {
            return handlers_.makeOverloaded_
                     ? handlers_.makeOverloaded_(aRequest)
                     : HttpResponse{ .status_ = impl::kUnavailable, .headers_ = {}, .body_ = {} };
          },
        .onHoldEnd_ = [this](HoldEnd aEnd,
                             const std::string& aClient,
                             std::size_t aBytes) { OnHoldEnd(aEnd, aClient, aBytes); } });
  }

  void OnHoldEnd(HoldEnd aEnd, const std::string& aClient, std::size_t aBytes)
  {
    const auto [name, counter] = [&]() -> std::pair<const char*, std::uint64_t&> {
      switch (aEnd) {
        case HoldEnd::BodyRefused:
          return { "body_refused", counters_.bodiesRefused_ };
        case HoldEnd::ConnectionClosed:
          return { "holding_connection_closed", counters_.connectionsClosed_ };
        case HoldEnd::BodyTimedOut:
          return { "body_timed_out", counters_.bodiesTimedOut_ };
        case HoldEnd::ResponseDropped:
          break;
      }
      return { "response_dropped", counters_.responsesDropped_ };
    }();
    ++counter;
    if (handlers_.log_) {
      handlers_.log_(LogEvent(name, Severity::Warning)
                       .With("client", aClient)
                       .With("bytes", aBytes)
                       .With("held_bytes", budget_ != nullptr ? budget_->HeldBytes() : 0));
    }
  }

  static void OnAccept(h2o_socket_t* aListener, const char* aError)
  {
    if (aError != nullptr) {
      return;
    }
    auto* server = static_cast<Impl*>(aListener->data);
    for (int i = 0; i < impl::kMaxAcceptsPerEvent && server->AcceptOne(); ++i) {
    }
  }

  /// \returns True if a connection was in the backlog.
  bool AcceptOne()
  {
    auto* socket = h2o_evloop_socket_accept(listener_);
    if (socket == nullptr) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        PauseAccepting();
      }
      return false;
    }
    ++counters_.acceptedConnections_;
    ++counters_.openConnections_;
    socket->on_close.cb = OnConnectionClosed;
    socket->on_close.data = new Connection{ this };
    if (pipelined_) {
      pipelined_->Accept(socket);
    } else {
      h2o_accept(&accept_, socket);
    }
    return true;
  }

  /// The listener stays readable while its backlog cannot be accepted, which would keep the loop
  /// from sleeping.
  void PauseAccepting()
  {
    ++counters_.acceptFailures_;
    h2o_socket_read_stop(listener_);
    if (!h2o_timeout_is_linked(&acceptPause_.entry_)) {
      h2o_timeout_link(loop_.Native(), &retryDelay_, &acceptPause_.entry_);
    }
  }

  static void OnAcceptPauseEnd(h2o_timeout_entry_t* aEntry)
  {
    h2o_socket_read_start(reinterpret_cast<AcceptPause*>(aEntry)->server_->listener_, OnAccept);
  }

  static void OnConnectionClosed(void* aConnection)
  {
    const std::unique_ptr<Connection> connection(static_cast<Connection*>(aConnection));
    auto& counters = connection->server_->counters_;
    --counters.openConnections_;
    if (!connection->hasSentRequest_) {
      ++counters.unusedConnections_;
    }
  }

  static int OnRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest)
  {
    auto* server = reinterpret_cast<Handler*>(aHandler)->server_;
    server->Receive(aRequest);
    return 0;
  }

  /// \param aSocket Null if it is not known.
  ExchangeId CountRequest(h2o_socket_t* aSocket)
  {
    ++counters_.requests_;
    if (aSocket != nullptr) {
      static_cast<Connection*>(aSocket->on_close.data)->hasSentRequest_ = true;
    }
    return nextId_++;
  }

  void Receive(h2o_req_t* aRequest)
  {
    auto* memory = h2o_mem_alloc_shared(&aRequest->pool, sizeof(Exchange), OnDispose);
    auto* socket = aRequest->conn->callbacks->get_socket(aRequest->conn);
    auto* exchange = new (memory) Exchange{ this, CountRequest(socket), aRequest };
    exchange->arrivedAt_ = loop_.EarliestArrival();
    exchanges_.emplace(exchange->id_, exchange);
    if (handlers_.onDisconnect_) {
      exchange->watchDelay_.exchange_ = exchange;
      exchange->watchDelay_.entry_.cb = OnWatchDelay;
      h2o_timeout_link(loop_.Native(), &watchDelay_, &exchange->watchDelay_.entry_);
    }
    const auto& entity = aRequest->entity;
    const HttpRequest request{ .method_ = impl::ToText(aRequest->method),
                               .host_ = impl::ToText(aRequest->authority),
                               .path_ = impl::ToText(aRequest->path),
                               .headers_ = impl::MakeHeaderFields(*aRequest),
                               .body_ = MakeBody({ entity.base, entity.len }) };
    handlers_.onRequest_(exchange->id_, request);
  }

  /// h2o does not read from a connection while its request is pending, so the descriptor is watched
  /// for the end of the stream.
  static void OnWatchDelay(h2o_timeout_entry_t* aEntry)
  {
    auto* exchange = reinterpret_cast<WatchDelay*>(aEntry)->exchange_;
    if (const int fd = FindHttp1Connection(*exchange); fd >= 0) {
      exchange->server_->WatchForDisconnect(*exchange, fd);
    }
  }

  /// \returns The descriptor; -1 if the request came over HTTP/2, whose connections h2o reads.
  static int FindHttp1Connection(const Exchange& aExchange)
  {
    auto* connection = aExchange.request_->conn;
    auto* socket = connection->callbacks->get_socket(connection);
    const bool isHttp1 = socket != nullptr && aExchange.request_->version < 0x200;
    return isHttp1 ? h2o_socket_get_fd(socket) : -1;
  }

  /// Unread bytes keep the descriptor readable, so the connection is then checked at intervals, as
  /// it is if no descriptor is left for a watch.
  void WatchForDisconnect(Exchange& aExchange, int aFd)
  {
    aExchange.disconnectWatch_.reset();
    const auto state = FindStreamState(aFd);
    if (state == StreamState::Closed) {
      OnClientGone(aExchange);
      return;
    }
    if (state == StreamState::Empty) {
      aExchange.disconnectWatch_ = FdWatch::TryCreate(
        loop_, aFd, [&aExchange, aFd] { aExchange.server_->WatchForDisconnect(aExchange, aFd); });
    }
    if (!aExchange.disconnectWatch_) {
      h2o_timeout_link(loop_.Native(), &retryDelay_, &aExchange.watchDelay_.entry_);
    }
  }

  /// Reports a disconnect and ends the exchange, since h2o releases a connection only after a
  /// response. A client that has merely ended its stream receives it, so the status must not
  /// promise that the request has not run.
  void OnClientGone(Exchange& aExchange)
  {
    const auto id = aExchange.id_;
    ++counters_.disconnects_;
    aExchange.request_->http1_is_persistent = 0;
    Send(aExchange, { .status_ = impl::kBadGateway, .headers_ = {}, .body_ = {} });
    handlers_.onDisconnect_(id);
  }

  static void OnDispose(void* aMemory)
  {
    auto* exchange = static_cast<Exchange*>(aMemory);
    auto* server = exchange->server_;
    if (h2o_timeout_is_linked(&exchange->watchDelay_.entry_)) {
      h2o_timeout_unlink(&exchange->watchDelay_.entry_);
    }
    const int fd = FindHttp1Connection(*exchange);
    if (fd >= 0 && exchange->request_->http1_is_persistent == 0) {
      DiscardUnread(fd); // h2o closes the connection next
    }
    server->exchanges_.erase(exchange->id_);
    if (!exchange->responded_) {
      ++server->counters_.disconnects_;
      if (server->handlers_.onDisconnect_) {
        server->handlers_.onDisconnect_(exchange->id_);
      }
    }
    exchange->~Exchange();
  }

  void Respond(ExchangeId aId, const HttpResponse& aResponse)
  {
    if (pipelined_ && pipelined_->Contains(aId)) {
      pipelined_->Respond(aId, aResponse);
      return;
    }
    const auto found = exchanges_.find(aId);
    if (found != exchanges_.end() && !found->second->responded_) {
      Send(*found->second, aResponse);
    }
  }

  void Send(Exchange& aExchange, const HttpResponse& aResponse)
  {
    loop_.SkipSleep();
    aExchange.responded_ = true;
    aExchange.disconnectWatch_.reset();
    if (h2o_timeout_is_linked(&aExchange.watchDelay_.entry_)) {
      h2o_timeout_unlink(&aExchange.watchDelay_.entry_);
    }
    aExchange.body_ = aResponse.body_ ? aResponse.body_ : MakeBody("");
    auto* request = aExchange.request_;
    if (keepAliveDisabled_) {
      request->http1_is_persistent = 0;
    }
    request->res.status = aResponse.status_;
    request->res.reason = ReasonPhrase(aResponse.status_);
    request->res.content_length = aExchange.body_->size();
    for (const auto& field : aResponse.headers_) {
      const auto name = h2o_strdup(&request->pool, field.name_.data(), field.name_.size());
      const auto value = h2o_strdup(&request->pool, field.value_.data(), field.value_.size());
      h2o_add_header_by_str(&request->pool,
                            &request->res.headers,
                            name.base,
                            name.len,
                            1,
                            nullptr,
                            value.base,
                            value.len);
    }
    h2o_start_response(request, &aExchange.generator_);
    h2o_iovec_t buffer{ const_cast<char*>(aExchange.body_->data()), aExchange.body_->size() };
    h2o_send(request, &buffer, 1, H2O_SEND_STATE_FINAL);
  }

  EventLoop& loop_;
  HttpHandlers handlers_;
  const MemoryBudget* budget_;
  HttpServerCounters counters_;
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_{};
  h2o_timeout_t watchDelay_{};
  h2o_timeout_t retryDelay_{};
  AcceptPause acceptPause_;
  h2o_socket_t* listener_ = nullptr;
  bool keepAliveDisabled_ = false;
  ExchangeId nextId_ = 1;
  std::map<ExchangeId, Exchange*> exchanges_; ///< of h2o's connections
  std::optional<PipelinedConnections> pipelined_;
};

HttpServer::HttpServer(EventLoop& aLoop,
                       const NodeAddress& aAddress,
                       std::size_t aMaxBodyBytes,
                       HttpHandlers aHandlers,
                       const std::optional<PipelineLimits>& aPipeline,
                       const HoldLimits& aHold)
  : impl_(std::make_unique<Impl>(aLoop,
                                 aAddress,
                                 aMaxBodyBytes,
                                 std::move(aHandlers),
                                 aPipeline,
                                 aHold))
{
}

HttpServer::~HttpServer()
{
  // Leaked: open connections point to the server until the process ends.
  StopAccepting();
  impl_->handlers_ = { [](ExchangeId, const HttpRequest&) {},
                       {},
                       [](const RequestTarget&) { return false; } };
  (void)impl_.release();
}

void
HttpServer::Respond(ExchangeId aId, const HttpResponse& aResponse)
{
  impl_->Respond(aId, aResponse);
}

bool
HttpServer::HasClientClosed(ExchangeId aId) const
{
  if (impl_->pipelined_ && impl_->pipelined_->Contains(aId)) {
    return impl_->pipelined_->HasClientClosed(aId);
  }
  const auto found = impl_->exchanges_.find(aId);
  if (found == impl_->exchanges_.end()) {
    return true;
  }
  const int fd = Impl::FindHttp1Connection(*found->second);
  return fd >= 0 && FindStreamState(fd) == StreamState::Closed;
}

TimePoint
HttpServer::ArrivedAt(ExchangeId aId) const
{
  if (impl_->pipelined_ && impl_->pipelined_->Contains(aId)) {
    return impl_->pipelined_->ArrivedAt(aId);
  }
  return impl_->exchanges_.at(aId)->arrivedAt_;
}

void
HttpServer::StopAccepting()
{
  if (impl_->listener_ == nullptr) {
    return;
  }
  while (impl_->AcceptOne()) {
  }
  if (h2o_timeout_is_linked(&impl_->acceptPause_.entry_)) {
    h2o_timeout_unlink(&impl_->acceptPause_.entry_);
  }
  h2o_socket_close(impl_->listener_);
  impl_->listener_ = nullptr;
  h2o_context_request_shutdown(&impl_->context_);
}

void
HttpServer::DisableKeepAlive()
{
  impl_->keepAliveDisabled_ = true;
  if (impl_->pipelined_) {
    impl_->pipelined_->DisableKeepAlive();
  }
}

bool
HttpServer::IsIdle() const
{
  return impl_->exchanges_.empty() && (!impl_->pipelined_ || impl_->pipelined_->IsIdle());
}

std::size_t
HttpServer::UnansweredRequests() const
{
  const auto& exchanges = impl_->exchanges_;
  const auto unanswered = std::count_if(exchanges.begin(), exchanges.end(), [](const auto& aEntry) {
    return !aEntry.second->responded_;
  });
  return static_cast<std::size_t>(unanswered) +
         (impl_->pipelined_ ? impl_->pipelined_->UnansweredRequests() : 0);
}

const HttpServerCounters&
HttpServer::Counters() const noexcept
{
  return impl_->counters_;
}

} // namespace geraniumpin
