#include "http_client.hpp"

#include "../process/system_clock.hpp"
#include "../request/lower_case.hpp"
#include "response_check.hpp"
#include "stream_state.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <h2o.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <string_view>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10U;
// Bytes of a response besides its body (header, chunk sizes and extensions, trailers): this many in
// all, and this many for each byte of the body, which admits chunks of one byte.
constexpr std::size_t kMaxFramingBytes = std::size_t{ 2 } * kMaxResponseHeaderBytes;
constexpr std::size_t kMaxFramingPerBodyByte = 8;
// Interim responses and responses to other requests that one exchange discards; a server sends few
// of them. All of them together may be as large as one response.
constexpr std::size_t kMaxDiscardedResponses = 16;
// A connection is no longer reused this long before the server's keep-alive timeout.
constexpr std::chrono::milliseconds kKeepAliveMargin{ 1000 };
// Time without any byte of a response after which a cancelled exchange has shown that its
// connection may be silent.
constexpr std::chrono::milliseconds kMinSilence{ 200 };
// Unacknowledged bytes end a connection after this time, so that a dead link is detected.
constexpr unsigned kTcpUserTimeoutMs = 3000;

constexpr std::string_view kConnectFailed = "connect failed";

std::string
EncodeHead(const NodeAddress& aServer, const HttpRequest& aRequest)
{
  std::string head = aRequest.method_ + " " + aRequest.path_ + " HTTP/1.1\r\n";
  head += "host: " + (aRequest.host_.empty() ? aServer.Text() : aRequest.host_) + "\r\n";
  for (const auto& field : aRequest.headers_) {
    head += field.name_ + ": " + field.value_ + "\r\n";
  }
  const auto length = aRequest.body_ ? aRequest.body_->size() : 0;
  const bool bodyless = aRequest.method_ == "GET" || aRequest.method_ == "HEAD";
  if (length > 0 || !bodyless) {
    head += "content-length: " + std::to_string(length) + "\r\n";
  }
  return head + "\r\n";
}

/// Parses "timeout=N" of a Keep-Alive field.
std::optional<std::chrono::seconds>
ParseKeepAliveTimeout(std::string_view aText) noexcept
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = aText.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto text = aText.substr(at + kTimeout.size());
  std::int64_t seconds = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), seconds);
  return result.ec == std::errc{} ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace
} // namespace impl

/// \brief Connections and the exchanges on them.
struct HttpClient::Impl
{
  struct Exchange
  {
    ClientExchangeId id_ = 0;
    TimePoint startedAt_;
    bool isHead_ = false;
    EchoedHeader echoedHeader_;
    Callback done_;
    std::size_t discardedResponses_ = 0;
    std::size_t discardedBytes_ = 0;
  };

  struct Connection;

  /// A timer with a pointer to its connection; h2o passes its first member to the callback.
  struct WriteTimer
  {
    h2o_timeout_entry_t entry_{};
    Connection* connection_ = nullptr;
  };

  struct Connection
  {
    Impl* owner_ = nullptr;
    NodeAddress server_;
    h2o_socket_t* socket_ = nullptr;
    bool connected_ = false;
    bool writing_ = false;
    bool reusable_ = true;
    std::string head_;
    Body body_;
    std::optional<Exchange> exchange_;
    std::optional<ResponseParser> parser_;
    std::size_t parsedBytes_ = 0; ///< of the current response
    TimePoint readAt_;            ///< last bytes
    TimePoint idleUntil_;
    WriteTimer writeTimer_; ///< runs while a request body is written after its response
  };

  Impl(EventLoop& aLoop, const HttpClientLimits& aLimits)
    : loop_(aLoop)
    , limits_(aLimits)
  {
    h2o_timeout_init(loop_.Native(), &zeroDelay_, 0);
    h2o_timeout_init(
      loop_.Native(), &writeTimeout_, static_cast<std::uint64_t>(limits_.idleTimeout_.count()));
    failureTimer_.owner_ = this;
    failureTimer_.entry_.cb = OnFailureTimer;
  }

  ClientExchangeId Start(const NodeAddress& aServer,
                         const HttpRequest& aRequest,
                         const EchoedHeader& aEchoedHeader,
                         Callback aDone,
                         ConnectionUse aUse)
  {
    loop_.SkipSleep();
    const auto id = nextId_++;
    auto* connection = aUse == ConnectionUse::Any ? TakeIdleConnection(aServer) : nullptr;
    if (connection == nullptr) {
      connection = Connect(aServer);
    }
    connection->head_ = impl::EncodeHead(aServer, aRequest);
    connection->body_ = aRequest.body_;
    connection->exchange_ =
      Exchange{ id, clock_.Now(), aRequest.method_ == "HEAD", aEchoedHeader, std::move(aDone) };
    byExchange_.emplace(id, connection);
    ResetParser(*connection);
    if (connection->socket_ == nullptr) {
      ScheduleFailure(id); // the callback must not run within this call
    } else if (connection->connected_) {
      SendRequest(*connection);
    }
    return id;
  }

  void Cancel(ClientExchangeId aId)
  {
    loop_.SkipSleep();
    const auto found = byExchange_.find(aId);
    if (found == byExchange_.end()) {
      return;
    }
    auto* connection = found->second;
    byExchange_.erase(found);
    const auto server = connection->server_;
    const auto startedAt = connection->exchange_->startedAt_;
    const bool wasSilent =
      connection->readAt_ < startedAt && clock_.Now() - startedAt >= impl::kMinSilence;
    connection->exchange_.reset();
    Close(connection);
    if (wasSilent) {
      CloseIdleConnections(server, startedAt);
    }
  }

private:
  /// A timer with a pointer to its client; h2o passes its first member to the callback.
  struct FailureTimer
  {
    h2o_timeout_entry_t entry_{};
    Impl* owner_ = nullptr;
  };

  void ScheduleFailure(ClientExchangeId aId)
  {
    failedExchanges_.push_back(aId);
    if (!h2o_timeout_is_linked(&failureTimer_.entry_)) {
      h2o_timeout_link(loop_.Native(), &zeroDelay_, &failureTimer_.entry_);
    }
  }

  static void OnFailureTimer(h2o_timeout_entry_t* aEntry)
  {
    auto* owner = reinterpret_cast<FailureTimer*>(aEntry)->owner_;
    for (const auto id : std::exchange(owner->failedExchanges_, {})) {
      const auto found = owner->byExchange_.find(id);
      if (found != owner->byExchange_.end()) {
        owner->Fail(found->second, HttpOutcome::ConnectFailed, impl::kConnectFailed);
      }
    }
  }

  /// Closes the idle connections on which nothing arrived since a time. For the fault that all
  /// connections of a server become silent: each of them would take a request until its deadline.
  void CloseIdleConnections(const NodeAddress& aServer, TimePoint aReadBefore)
  {
    const auto idle = idle_[aServer];
    for (auto* connection : idle) {
      if (connection->readAt_ < aReadBefore) {
        Close(connection);
      }
    }
  }

  Connection* TakeIdleConnection(const NodeAddress& aServer)
  {
    const auto now = clock_.Now();
    auto& idle = idle_[aServer];
    while (!idle.empty()) {
      auto* connection = idle.back();
      idle.pop_back();
      if (connection->idleUntil_ > now) {
        return connection;
      }
      Close(connection);
    }
    return nullptr;
  }

  Connection* Connect(const NodeAddress& aServer)
  {
    auto owned = std::make_unique<Connection>();
    auto* connection = owned.get();
    connection->owner_ = this;
    connection->server_ = aServer;
    connection->writeTimer_.connection_ = connection;
    connection->writeTimer_.entry_.cb = OnWriteTimeout;
    connections_.emplace(connection, std::move(owned));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aServer.Port());
    inet_pton(AF_INET, aServer.Ip().c_str(), &address.sin_addr);
    connection->socket_ = h2o_socket_connect(
      loop_.Native(), reinterpret_cast<sockaddr*>(&address), sizeof address, OnConnect);
    if (connection->socket_ != nullptr) {
      connection->socket_->data = connection;
    }
    return connection;
  }

  static void OnConnect(h2o_socket_t* aSocket, const char* aError)
  {
    auto* connection = static_cast<Connection*>(aSocket->data);
    auto* owner = connection->owner_;
    if (aError != nullptr) {
      owner->Fail(connection, HttpOutcome::ConnectFailed, impl::kConnectFailed);
      return;
    }
    connection->connected_ = true;
    const int fd = h2o_socket_get_fd(aSocket);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(
      fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &impl::kTcpUserTimeoutMs, sizeof impl::kTcpUserTimeoutMs);
    h2o_socket_read_start(aSocket, OnRead);
    owner->SendRequest(*connection);
  }

  void SendRequest(Connection& aConnection)
  {
    std::array<h2o_iovec_t, 2> buffers{};
    std::size_t count = 1;
    buffers[0] = { aConnection.head_.data(), aConnection.head_.size() };
    if (aConnection.body_ && !aConnection.body_->empty()) {
      buffers[1] = { const_cast<char*>(aConnection.body_->data()), aConnection.body_->size() };
      count = 2;
    }
    aConnection.writing_ = true;
    h2o_socket_write(aConnection.socket_, buffers.data(), count, OnWritten);
  }

  /// A failed write does not end the exchange: an early response may still be unread.
  static void OnWritten(h2o_socket_t* aSocket, const char* aError)
  {
    auto* connection = static_cast<Connection*>(aSocket->data);
    connection->writing_ = false;
    connection->reusable_ = connection->reusable_ && aError == nullptr;
    if (!connection->exchange_) {
      h2o_timeout_unlink(&connection->writeTimer_.entry_);
      connection->owner_->ReleaseConnection(connection);
    }
  }

  static void OnWriteTimeout(h2o_timeout_entry_t* aEntry)
  {
    auto* connection = reinterpret_cast<WriteTimer*>(aEntry)->connection_;
    connection->owner_->Close(connection);
  }

  static void OnRead(h2o_socket_t* aSocket, const char* aError)
  {
    auto* connection = static_cast<Connection*>(aSocket->data);
    auto* owner = connection->owner_;
    owner->loop_.RecordWakeUp();
    if (aError != nullptr) {
      owner->OnStreamEnd(connection, aError == h2o_socket_error_closed);
      return;
    }
    connection->readAt_ = owner->clock_.Now();
    if (!connection->exchange_) {
      owner->Close(connection); // bytes without a pending request
      return;
    }
    (void)owner->Parse(connection);
  }

  /// Parses what has arrived. Returns true if the exchange goes on; otherwise it has ended, and the
  /// connection may be destroyed.
  bool Parse(Connection* aConnection)
  {
    auto& input = aConnection->socket_->input;
    while (input->size > 0) {
      boost::system::error_code error;
      const auto used = ParseResponse(*aConnection->parser_, { input->bytes, input->size }, error);
      h2o_buffer_consume(&input, used);
      aConnection->parsedBytes_ += used;
      const bool needsMore = error == boost::beast::http::error::need_more;
      if (ExceedsFramingLimit(*aConnection, needsMore ? input->size : 0)) {
        Fail(aConnection, HttpOutcome::Broken, "framing limit exceeded");
        return false;
      }
      if (needsMore) {
        return true;
      }
      if (error) {
        Fail(aConnection, HttpOutcome::Broken, error.message());
        return false;
      }
      if (!aConnection->parser_->is_done()) {
        if (used == 0) {
          return true;
        }
        continue;
      }
      if (IsInterim(*aConnection) || IsStaleResponse(*aConnection)) {
        if (!DiscardResponse(*aConnection)) {
          Fail(aConnection, HttpOutcome::Broken, "too many responses to discard");
          return false;
        }
        continue;
      }
      aConnection->reusable_ = aConnection->reusable_ && input->size == 0;
      Complete(aConnection);
      return false;
    }
    return true;
  }

  /// Returns true if a response has too many bytes besides its body, or too many that the parser
  /// needs the rest of, such as an unfinished line or trailer section.
  static bool ExceedsFramingLimit(const Connection& aConnection, std::size_t aIncompleteBytes)
  {
    const auto bodyBytes = aConnection.parser_->get().body().size();
    const auto framingBytes = aConnection.parsedBytes_ + aIncompleteBytes - bodyBytes;
    return aIncompleteBytes > impl::kMaxResponseHeaderBytes ||
           framingBytes > impl::kMaxFramingBytes + impl::kMaxFramingPerBodyByte * bodyBytes;
  }

  /// Prepares for the next response. Returns false if too many responses have been discarded.
  bool DiscardResponse(Connection& aConnection)
  {
    auto& exchange = *aConnection.exchange_;
    exchange.discardedResponses_ += 1;
    exchange.discardedBytes_ += aConnection.parsedBytes_;
    ResetParser(aConnection);
    return exchange.discardedResponses_ <= impl::kMaxDiscardedResponses &&
           exchange.discardedBytes_ <= impl::kMaxFramingBytes + limits_.maxBodyBytes_;
  }

  static bool IsInterim(const Connection& aConnection)
  {
    return IsInterimStatus(static_cast<int>(aConnection.parser_->get().result_int()));
  }

  static bool IsStaleResponse(const Connection& aConnection)
  {
    const auto& echoedHeader = aConnection.exchange_->echoedHeader_;
    if (echoedHeader.name_.empty()) {
      return false;
    }
    const auto& response = aConnection.parser_->get();
    const auto found = response.find(echoedHeader.name_);
    return found == response.end() ||
           std::string_view(found->value().data(), found->value().size()) != echoedHeader.value_;
  }

  void OnStreamEnd(Connection* aConnection, bool aOrderly)
  {
    aConnection->reusable_ = false;
    if (!aConnection->exchange_) {
      Close(aConnection);
      return;
    }
    // The last bytes can arrive together with the end of the stream.
    if (!Parse(aConnection)) {
      return;
    }
    auto& parser = *aConnection->parser_;
    boost::system::error_code error;
    const bool isInOrder = aOrderly && !IsReset(h2o_socket_get_fd(aConnection->socket_));
    if (isInOrder && parser.is_header_done() && parser.need_eof()) {
      parser.put_eof(error);
      if (!error && parser.is_done() && !IsStaleResponse(*aConnection)) {
        Complete(aConnection);
        return;
      }
    }
    Fail(aConnection, HttpOutcome::Broken, DescribeEnd(parser, isInOrder));
  }

  [[nodiscard]] static std::string_view DescribeEnd(const ResponseParser& aParser,
                                                    bool aOrderly) noexcept
  {
    if (!aOrderly) {
      return "connection reset or timed out";
    }
    return aParser.got_some() ? "closed within the response" : "closed without a response";
  }

  /// Passes the response to the callback; the rest of an unfinished request body is still sent, for
  /// the idle timeout at most.
  void Complete(Connection* aConnection)
  {
    auto& response = aConnection->parser_->get();
    HeaderFields headers;
    for (const auto& field : response) {
      headers.push_back({ LowerCase({ field.name_string().data(), field.name_string().size() }),
                          { field.value().data(), field.value().size() } });
    }
    auto lifetime = std::chrono::duration_cast<Duration>(limits_.idleTimeout_);
    if (const auto keepAliveTimeout =
          impl::ParseKeepAliveTimeout(FindHeader(headers, "keep-alive"))) {
      lifetime = std::min<Duration>(lifetime, *keepAliveTimeout - impl::kKeepAliveMargin);
    }
    aConnection->idleUntil_ = clock_.Now() + lifetime;
    aConnection->reusable_ = aConnection->reusable_ && aConnection->parser_->keep_alive();
    const HttpResult result{ .outcome_ = HttpOutcome::Complete,
                             .response_ = { .status_ = static_cast<int>(response.result_int()),
                                            .headers_ = std::move(headers),
                                            .body_ = MakeBody(std::move(response.body())) } };
    const auto done = TakeExchange(*aConnection);
    if (aConnection->writing_) {
      h2o_timeout_link(loop_.Native(), &writeTimeout_, &aConnection->writeTimer_.entry_);
    } else {
      ReleaseConnection(aConnection);
    }
    done(result);
  }

  Callback TakeExchange(Connection& aConnection)
  {
    byExchange_.erase(aConnection.exchange_->id_);
    auto done = std::move(aConnection.exchange_->done_);
    aConnection.exchange_.reset();
    return done;
  }

  void Fail(Connection* aConnection, HttpOutcome aEnd, std::string_view aDetail)
  {
    if (!aConnection->exchange_) {
      Close(aConnection);
      return;
    }
    const auto done = TakeExchange(*aConnection);
    Close(aConnection);
    done({ .outcome_ = aEnd, .response_ = {}, .detail_ = std::string(aDetail) });
  }

  void ReleaseConnection(Connection* aConnection)
  {
    if (!aConnection->reusable_ || aConnection->idleUntil_ <= clock_.Now()) {
      Close(aConnection);
      return;
    }
    aConnection->body_.reset();
    idle_[aConnection->server_].push_back(aConnection);
  }

  void Close(Connection* aConnection)
  {
    auto& idle = idle_[aConnection->server_];
    idle.erase(std::remove(idle.begin(), idle.end(), aConnection), idle.end());
    h2o_timeout_unlink(&aConnection->writeTimer_.entry_);
    if (aConnection->socket_ != nullptr) {
      h2o_socket_close(aConnection->socket_);
    }
    connections_.erase(aConnection);
  }

  void ResetParser(Connection& aConnection)
  {
    aConnection.parser_.emplace();
    aConnection.parsedBytes_ = 0;
    SetUpParser(*aConnection.parser_,
                { impl::kMaxResponseHeaderBytes, limits_.maxBodyBytes_ },
                aConnection.exchange_->isHead_);
  }

  EventLoop& loop_;
  SystemClock clock_;
  HttpClientLimits limits_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<NodeAddress, std::vector<Connection*>> idle_;
  std::map<ClientExchangeId, Connection*> byExchange_;
  std::vector<ClientExchangeId> failedExchanges_; ///< exchanges whose socket could not be created
  h2o_timeout_t zeroDelay_{};
  h2o_timeout_t writeTimeout_{};
  FailureTimer failureTimer_;
  ClientExchangeId nextId_ = 1;
};

HttpClient::HttpClient(EventLoop& aLoop, const HttpClientLimits& aLimits)
  : impl_(std::make_unique<Impl>(aLoop, aLimits))
{
}

HttpClient::~HttpClient()
{
  (void)impl_.release(); // leaked: open sockets point to it until the process ends
}

ClientExchangeId
HttpClient::Start(const NodeAddress& aServer,
                  const HttpRequest& aRequest,
                  const EchoedHeader& aEchoedHeader,
                  Callback aDone,
                  ConnectionUse aUse)
{
  return impl_->Start(aServer, aRequest, aEchoedHeader, std::move(aDone), aUse);
}

void
HttpClient::Cancel(ClientExchangeId aId)
{
  impl_->Cancel(aId);
}

} // namespace geraniumpin
