#include "pipelined_connections.hpp"

#include "../request/lower_case.hpp"
#include "stream_state.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <h2o.h>
#include <map>
#include <utility>
#include <vector>

namespace geraniumpin {

namespace impl {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kMaxRequestHeaderBytes = 64U << 10U;
// Received bytes that may wait until their request may start; reading stops above it.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
// Interval at which a connection is checked for its end while reading is stopped.
constexpr std::uint64_t kCloseCheckMs = 100;
// Bytes passed to a socket at once; shows the progress of a client that reads a large response.
constexpr std::size_t kMaxWriteBytes = 256U << 10U;
// Steps in which memory for a chunked body is reserved, so that small chunks cost few calls.
constexpr std::size_t kReservationStep = 64U << 10U;
// Bodies up to this size are received although memory is short: any connection that makes less
// progress for its bytes closes first. The largest body of a route in use is 60 KB.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;
constexpr std::string_view kHttp2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr ExchangeId kNoExchange = 0; // of a response to a request that no handler gets

/// A response without content after which the connection closes.
HttpResponse
MakeLastResponse(int aStatus)
{
  return { .status_ = aStatus, .headers_ = {}, .body_ = {} };
}

std::string
EncodeHead(const HttpResponse& aResponse, std::size_t aBodyBytes, bool aIsLast)
{
  std::string head =
    "HTTP/1.1 " + std::to_string(aResponse.status_) + " " + ReasonPhrase(aResponse.status_);
  head += aIsLast ? "\r\nConnection: close\r\n" : "\r\nConnection: keep-alive\r\n";
  if (aResponse.status_ != 204 && aResponse.status_ != 304) {
    head += "Content-Length: " + std::to_string(aBodyBytes) + "\r\n";
  }
  for (const auto& field : aResponse.headers_) {
    head += field.name_ + ": " + field.value_ + "\r\n";
  }
  return head + "\r\n";
}

/// The status that tells a client why its request cannot be read.
int
ToRefusalStatus(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  return aError == http::error::header_limit ? 431 : 400;
}

/// Returns the address of a socket's client, for logs.
std::string
FindClientAddress(h2o_socket_t* aSocket)
{
  sockaddr_in address{};
  std::array<char, INET_ADDRSTRLEN> text{};
  if (h2o_socket_getpeername(aSocket, reinterpret_cast<sockaddr*>(&address)) == 0 ||
      address.sin_family != AF_INET ||
      inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) == nullptr) {
    return "unknown";
  }
  return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

std::string_view
ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace
} // namespace impl

struct PipelinedConnections::Impl
{
  using Parser = impl::http::request_parser<impl::http::string_body>;

  struct Connection;

  /// A timer with a pointer to its connection; h2o passes its first member to the callback.
  struct Timer
  {
    h2o_timeout_entry_t entry_{};
    Connection* connection_ = nullptr;
  };

  /// A response that waits for its turn.
  struct HeldResponse
  {
    HttpResponse response_;
    bool isHead_ = false; ///< of a HEAD request, so that no body is sent
    MemoryReservation memory_{};
  };

  /// Bytes that are being sent.
  struct Chunk
  {
    std::string head_;
    Body body_;
    MemoryReservation memory_{};
  };

  /// A timer with a pointer to its owner.
  struct ProgressTimer
  {
    h2o_timeout_entry_t entry_{};
    Impl* owner_ = nullptr;
  };

  struct Connection
  {
    Connection(Impl* aOwner, h2o_socket_t* aSocket, const PipelineLimits& aLimits)
      : owner_(aOwner)
      , socket_(aSocket)
      , pipeline_(aLimits)
    {
    }

    Impl* owner_;
    h2o_socket_t* socket_;
    RequestPipeline<HeldResponse> pipeline_;
    std::optional<Parser> parser_;
    std::size_t headerBytes_ = 0; ///< received bytes that the parser has read as a header
    bool isFirstRequest_ = true;
    bool isReading_ = false;
    bool isAdvancing_ = false;
    bool hasStopped_ = false;       ///< no further request is read
    bool closesWhenSent_ = false;   ///< the client has ended its stream
    bool needsContinue_ = false;    ///< the client waits before it sends the body
    bool receivesBody_ = false;     ///< memory for it is reserved
    std::vector<Chunk> sending_;    ///< passed to the socket, or next
    std::size_t passedBytes_ = 0;   ///< of sending_, to the socket
    std::size_t reportedBytes_ = 0; ///< of passedBytes_, that the socket has sent
    std::size_t waitingBytes_ = 0;  ///< reserved for responses that are not sent
    std::size_t movedBytes_ = 0;    ///< of bodies and responses, since the start
    MemoryReservation bodyMemory_;
    ProgressMeter progress_;
    TimePoint arrivedAt_; ///< earliest time at which the last bytes can have arrived
    Timer requestTimer_;  ///< runs while no request is pending
    Timer closeCheck_;    ///< runs while reading is stopped
  };

  /// A request whose response is not sent.
  struct Exchange
  {
    Connection* connection_ = nullptr;
    TimePoint arrivedAt_;
    bool isHead_ = false;
    bool isAnswered_ = false;
    MemoryReservation bodyMemory_{};
  };

  Impl(EventLoop& aLoop,
       const ReceiveLimits& aLimits,
       const HoldLimits& aHold,
       PipelineCallbacks aCallbacks)
    : loop_(aLoop)
    , limits_(aLimits)
    , hold_(aHold)
    , callbacks_(std::move(aCallbacks))
  {
    h2o_timeout_init(loop_.Native(),
                     &progressInterval_,
                     static_cast<std::uint64_t>(ProgressMeter::kInterval.count()));
    progressTimer_ = { .entry_ = { .cb = OnProgressCheck }, .owner_ = this };
    h2o_timeout_init(loop_.Native(),
                     &requestTimeout_,
                     static_cast<std::uint64_t>(limits_.requestTimeout_.count()));
    h2o_timeout_init(loop_.Native(), &closeCheckDelay_, impl::kCloseCheckMs);
  }

  void Accept(h2o_socket_t* aSocket)
  {
    auto owned = std::make_unique<Connection>(this, aSocket, limits_.pipeline_);
    auto& connection = *owned;
    connections_.emplace(&connection, std::move(owned));
    aSocket->data = &connection;
    connection.requestTimer_ = { .entry_ = { .cb = OnRequestTimeout }, .connection_ = &connection };
    connection.closeCheck_ = { .entry_ = { .cb = OnCloseCheck }, .connection_ = &connection };
    if (keepAliveDisabled_) {
      connection.pipeline_.BeginEnding();
    }
    ResetParser(connection);
    StartTimer(requestTimeout_, connection.requestTimer_);
    SetReading(connection, true);
  }

  void Respond(ExchangeId aId, const HttpResponse& aResponse)
  {
    const auto found = exchanges_.find(aId);
    if (found == exchanges_.end() || found->second.isAnswered_) {
      return;
    }
    loop_.SkipSleep();
    found->second.isAnswered_ = true;
    found->second.bodyMemory_ = {};
    auto& connection = *found->second.connection_;
    const auto isHead = found->second.isHead_;
    const auto bytes = aResponse.body_ ? aResponse.body_->size() : 0;
    auto memory = MakeReservation(MemoryKind::WaitingResponses);
    if (Reserve(connection, memory, bytes, true)) {
      connection.waitingBytes_ += memory.Bytes();
      connection.pipeline_.OnResponse(aId, { aResponse, isHead, std::move(memory) }, bytes);
    } else {
      ReportHoldEnd(HoldEnd::ResponseDropped, connection, bytes);
      connection.pipeline_.OnResponse(aId, { impl::MakeLastResponse(502), isHead }, 0);
    }
    Advance(connection);
  }

  void DisableKeepAlive()
  {
    keepAliveDisabled_ = true;
    for (auto& [connection, owned] : connections_) {
      connection->pipeline_.BeginEnding();
    }
  }

  EventLoop& loop_;
  ReceiveLimits limits_;
  HoldLimits hold_;
  PipelineCallbacks callbacks_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<ExchangeId, Exchange> exchanges_;
  bool keepAliveDisabled_ = false;
  h2o_timeout_t requestTimeout_{};
  h2o_timeout_t closeCheckDelay_{};
  h2o_timeout_t progressInterval_{};
  ProgressTimer progressTimer_; ///< runs while a body is received or a response is sent

private:
  static void OnRead(h2o_socket_t* aSocket, const char* aError)
  {
    auto& connection = *static_cast<Connection*>(aSocket->data);
    auto* owner = connection.owner_;
    owner->loop_.RecordWakeUp();
    if (aError != nullptr) {
      owner->OnStreamEnd(connection, aError == h2o_socket_error_closed);
      return;
    }
    connection.arrivedAt_ = owner->loop_.EarliestArrival();
    owner->Advance(connection);
  }

  /// Sends and starts what may be sent and started.
  void Advance(Connection& aConnection)
  {
    if (std::exchange(aConnection.isAdvancing_, true)) {
      return; // a response within OnRequest; the outer call goes on
    }
    auto* connection = &aConnection;
    do {
      Send(*connection);
    } while (connection->socket_ != nullptr && ParseNext(*connection));
    if (connection->socket_ == nullptr) { // HTTP/2 has begun
      connections_.erase(connection);
      return;
    }
    connection->isAdvancing_ = false;
    UpdateReading(*connection);
  }

  /// \returns True if a request was started or refused.
  bool ParseNext(Connection& aConnection)
  {
    auto& input = aConnection.socket_->input;
    auto& parser = *aConnection.parser_;
    while (!aConnection.hasStopped_) {
      if (!parser.is_header_done() && !ParseHeader(aConnection)) {
        return aConnection.socket_ != nullptr && aConnection.hasStopped_;
      }
      const auto mayRunAhead = MayRunAhead(aConnection);
      switch (aConnection.pipeline_.Evaluate(mayRunAhead)) {
        case StartDecision::Wait:
          return false;
        case StartDecision::Never:
          aConnection.hasStopped_ = true;
          return false;
        case StartDecision::Start:
          break;
      }
      if (parser.is_done()) {
        Start(aConnection, mayRunAhead);
        return true;
      }
      if (!ReserveBody(aConnection)) {
        RefuseForMemory(aConnection);
        return true;
      }
      if (aConnection.needsContinue_ && input->size == 0 && aConnection.sending_.empty()) {
        aConnection.needsContinue_ = false;
        Write(aConnection, MakeChunks(std::string(impl::kContinue)));
      }
      if (input->size == 0 || !ParseBody(aConnection)) {
        return aConnection.hasStopped_;
      }
    }
    return false;
  }

  /// Parses the start line and header of the next request. Their bytes stay in the input until they
  /// are complete, so that h2o gets them all if HTTP/2 begins.
  /// \returns True if they are complete and valid.
  bool ParseHeader(Connection& aConnection)
  {
    auto& input = aConnection.socket_->input;
    if (aConnection.headerBytes_ == 0 && !SkipEmptyLines(input)) {
      return false;
    }
    if (aConnection.isFirstRequest_ && MayBeginHttp2(aConnection)) {
      return false;
    }
    boost::system::error_code error;
    aConnection.headerBytes_ +=
      aConnection.parser_->put(boost::asio::buffer(input->bytes + aConnection.headerBytes_,
                                                   input->size - aConnection.headerBytes_),
                               error);
    const bool isDone = aConnection.parser_->is_header_done();
    // Beast applies its limit to the bytes of one call.
    const auto headerBytes = isDone ? aConnection.headerBytes_ : input->size;
    if (!HasFailed(error) && headerBytes > impl::kMaxRequestHeaderBytes) {
      error = impl::http::error::header_limit;
    }
    if (HasFailed(error)) {
      RefuseAndStop(aConnection, impl::ToRefusalStatus(error));
      return false;
    }
    if (!isDone) {
      return false;
    }
    if (aConnection.isFirstRequest_ && RequestsHttp2(aConnection)) {
      PassToHttp2(aConnection); // with all bytes, this header included
      return false;
    }
    h2o_buffer_consume(&input, aConnection.headerBytes_);
    const auto& request = aConnection.parser_->get();
    const auto hosts = request.count(impl::http::field::host);
    if (hosts > 1 || (hosts == 0 && request.version() >= 11)) {
      RefuseAndStop(aConnection, 400);
      return false;
    }
    aConnection.needsContinue_ =
      LowerCase(impl::ToView(request[impl::http::field::expect])) == "100-continue";
    return true;
  }

  /// Drops empty lines, which have no meaning before a request. Within a request the same bytes end
  /// its header.
  /// \returns True if a request begins.
  static bool SkipEmptyLines(h2o_buffer_t*& aInput)
  {
    while (aInput->size >= 2 && aInput->bytes[0] == '\r' && aInput->bytes[1] == '\n') {
      h2o_buffer_consume(&aInput, 2);
    }
    const std::string_view received(aInput->bytes, aInput->size);
    return !received.empty() && received != "\r";
  }

  static bool HasFailed(const boost::system::error_code& aError)
  {
    return aError && aError != impl::http::error::need_more;
  }

  /// Passes received bytes of a body to the parser.
  /// \returns True if bytes were parsed and the request is valid so far.
  bool ParseBody(Connection& aConnection)
  {
    auto& input = aConnection.socket_->input;
    boost::system::error_code error;
    const auto used =
      aConnection.parser_->put(boost::asio::buffer(input->bytes, input->size), error);
    h2o_buffer_consume(&input, used);
    aConnection.movedBytes_ += used;
    if (HasFailed(error)) {
      RefuseAndStop(aConnection, impl::ToRefusalStatus(error));
      return false;
    }
    return used > 0;
  }

  void Start(Connection& aConnection, bool aMayRunAhead)
  {
    auto& message = aConnection.parser_->get();
    const auto keepsAlive = message.keep_alive();
    const HttpRequest request = MakeRequest(message, MakeBody(std::move(message.body())));
    const auto id = callbacks_.makeId_(aConnection.socket_);
    exchanges_.emplace(id,
                       Exchange{ .connection_ = &aConnection,
                                 .arrivedAt_ = aConnection.arrivedAt_,
                                 .isHead_ = request.method_ == "HEAD",
                                 .bodyMemory_ = std::move(aConnection.bodyMemory_) });
    aConnection.pipeline_.OnStarted(id, aMayRunAhead, keepsAlive);
    aConnection.isFirstRequest_ = false;
    StopTimer(aConnection.requestTimer_);
    ResetParser(aConnection);
    callbacks_.onRequest_(id, request);
  }

  static HttpRequest MakeRequest(const Parser::value_type& aMessage, Body aBody)
  {
    HeaderFields headers;
    for (const auto& field : aMessage) {
      const bool isForConnection =
        field.name() == impl::http::field::host || field.name() == impl::http::field::expect;
      if (!isForConnection) {
        headers.push_back({ LowerCase(impl::ToView(field.name_string())),
                            std::string(impl::ToView(field.value())) });
      }
    }
    return { .method_ = std::string(impl::ToView(aMessage.method_string())),
             .host_ = std::string(impl::ToView(aMessage[impl::http::field::host])),
             .path_ = std::string(impl::ToView(aMessage.target())),
             .headers_ = std::move(headers),
             .body_ = std::move(aBody) };
  }

  /// Safe methods only (RFC 9112, 9.3.2), of requests without a body.
  [[nodiscard]] bool MayRunAhead(const Connection& aConnection) const
  {
    const auto& parser = *aConnection.parser_;
    const auto method = parser.get().method();
    const bool isSafe = method == impl::http::verb::get || method == impl::http::verb::head;
    return isSafe && parser.is_done() &&
           callbacks_.mayRunAhead_({ .method_ = impl::ToView(parser.get().method_string()),
                                     .host_ = impl::ToView(parser.get()[impl::http::field::host]),
                                     .path_ = impl::ToView(parser.get().target()) });
  }

  /// Answers in the place of a request that cannot be read.
  void RefuseAndStop(Connection& aConnection, int aStatus)
  {
    aConnection.hasStopped_ = true;
    if (aConnection.pipeline_.Evaluate(false) == StartDecision::Never) {
      return;
    }
    aConnection.pipeline_.OnStarted(impl::kNoExchange, false, false);
    aConnection.pipeline_.OnResponse(
      impl::kNoExchange, { impl::MakeLastResponse(aStatus), false }, 0);
  }

  void Send(Connection& aConnection)
  {
    if (!aConnection.sending_.empty()) {
      return;
    }
    std::vector<Chunk> chunks;
    for (auto& [id, held, isLast] : aConnection.pipeline_.TakeSendable()) {
      const auto& body = held.response_.body_;
      const auto bytes = body ? body->size() : 0;
      chunks.push_back({ impl::EncodeHead(held.response_, bytes, isLast),
                         held.isHead_ || bytes == 0 ? Body{} : body,
                         std::move(held.memory_) });
      exchanges_.erase(id);
    }
    if (!chunks.empty()) {
      Write(aConnection, std::move(chunks));
    }
  }

  /// A head without a body.
  static std::vector<Chunk> MakeChunks(std::string aHead)
  {
    std::vector<Chunk> chunks;
    chunks.push_back({ std::move(aHead), {} });
    return chunks;
  }

  void Write(Connection& aConnection, std::vector<Chunk> aChunks)
  {
    aConnection.sending_ = std::move(aChunks);
    aConnection.passedBytes_ = 0;
    aConnection.reportedBytes_ = 0;
    BeginProgress(aConnection);
    WriteNext(aConnection);
  }

  /// Passes the next bytes to the socket.
  /// \returns False if there are none.
  static bool WriteNext(Connection& aConnection)
  {
    std::vector<h2o_iovec_t> buffers;
    auto passed = aConnection.passedBytes_;
    std::size_t bytes = 0;
    const auto add = [&](const std::string_view aText) {
      const auto skipped = std::min(passed, aText.size());
      passed -= skipped;
      const auto taken = std::min(aText.size() - skipped, impl::kMaxWriteBytes - bytes);
      if (taken > 0) {
        buffers.push_back({ const_cast<char*>(aText.data() + skipped), taken });
        bytes += taken;
      }
    };
    for (const auto& chunk : aConnection.sending_) {
      add(chunk.head_);
      if (chunk.body_) {
        add(*chunk.body_);
      }
    }
    if (buffers.empty()) {
      return false;
    }
    aConnection.passedBytes_ += bytes;
    h2o_socket_write(aConnection.socket_, buffers.data(), buffers.size(), OnWritten);
    return true;
  }

  static void OnWritten(h2o_socket_t* aSocket, const char* aError)
  {
    auto& connection = *static_cast<Connection*>(aSocket->data);
    auto* owner = connection.owner_;
    if (aError == nullptr) {
      connection.movedBytes_ += connection.passedBytes_ - connection.reportedBytes_;
      connection.reportedBytes_ = connection.passedBytes_;
      if (WriteNext(connection)) {
        return;
      }
    }
    for (const auto& chunk : connection.sending_) {
      connection.waitingBytes_ -= chunk.memory_.Bytes();
    }
    connection.sending_.clear();
    connection.pipeline_.OnSent();
    if (aError != nullptr) {
      owner->Abandon(connection);
      owner->Close(connection);
      return;
    }
    if (connection.closesWhenSent_ || connection.pipeline_.HasEnded()) {
      owner->Close(connection);
      return;
    }
    if (connection.pipeline_.IsEmpty()) {
      owner->StartTimer(owner->requestTimeout_, connection.requestTimer_);
    }
    owner->Advance(connection);
  }

  /// A client that has ended its stream may still read: it gets the responses that are being sent
  /// and one failure in place of those that are due, which makes no promise about its requests.
  void OnStreamEnd(Connection& aConnection, bool aOrderly)
  {
    SetReading(aConnection, false);
    StopTimer(aConnection.closeCheck_);
    const bool hadUnanswered = Abandon(aConnection);
    if (!aOrderly || (!hadUnanswered && aConnection.sending_.empty())) {
      Close(aConnection);
      return;
    }
    aConnection.hasStopped_ = true;
    aConnection.closesWhenSent_ = true;
    if (aConnection.sending_.empty()) {
      Write(aConnection, MakeChunks(impl::EncodeHead(impl::MakeLastResponse(502), 0, true)));
    }
  }

  /// Reports all unanswered requests as disconnected.
  /// \returns True if there were any.
  bool Abandon(Connection& aConnection)
  {
    bool hadUnanswered = false;
    for (const auto id : aConnection.pipeline_.Unsent()) {
      const auto exchange = exchanges_.extract(id);
      if (!exchange.empty() && !exchange.mapped().isAnswered_) {
        hadUnanswered = true;
        callbacks_.onDisconnect_(id);
      }
    }
    return hadUnanswered;
  }

  /// Reads while the bytes that wait are few; else checks whether the client leaves.
  void UpdateReading(Connection& aConnection)
  {
    const bool isFull = aConnection.socket_->input->size > impl::kMaxReadAheadBytes;
    if (aConnection.closesWhenSent_) {
      return;
    }
    SetReading(aConnection, !isFull);
    if (isFull && !aConnection.pipeline_.IsEmpty()) {
      StartTimer(closeCheckDelay_, aConnection.closeCheck_);
    } else {
      StopTimer(aConnection.closeCheck_);
    }
  }

  static void OnCloseCheck(h2o_timeout_entry_t* aEntry)
  {
    auto& connection = *reinterpret_cast<Timer*>(aEntry)->connection_;
    auto* owner = connection.owner_;
    if (FindStreamState(h2o_socket_get_fd(connection.socket_)) == StreamState::Closed) {
      owner->OnStreamEnd(connection, true);
    } else {
      owner->StartTimer(owner->closeCheckDelay_, connection.closeCheck_);
    }
  }

  static void OnRequestTimeout(h2o_timeout_entry_t* aEntry)
  {
    auto& connection = *reinterpret_cast<Timer*>(aEntry)->connection_;
    connection.owner_->Close(connection);
  }

  /// Returns true if the received bytes are the beginning of HTTP/2, perhaps an unfinished one.
  bool MayBeginHttp2(Connection& aConnection)
  {
    const auto& input = aConnection.socket_->input;
    const std::string_view received(input->bytes, input->size);
    if (received.starts_with(impl::kHttp2Preface)) {
      PassToHttp2(aConnection);
      return true;
    }
    return impl::kHttp2Preface.starts_with(received);
  }

  static bool RequestsHttp2(const Connection& aConnection)
  {
    const auto upgrade = aConnection.parser_->get()[impl::http::field::upgrade];
    return impl::http::token_list(upgrade).exists("h2c");
  }

  /// The connection is removed once Advance ends.
  void PassToHttp2(Connection& aConnection)
  {
    SetReading(aConnection, false);
    StopTimer(aConnection.requestTimer_);
    StopTimer(aConnection.closeCheck_);
    callbacks_.acceptHttp2_(std::exchange(aConnection.socket_, nullptr));
  }

  void Close(Connection& aConnection)
  {
    StopTimer(aConnection.requestTimer_);
    StopTimer(aConnection.closeCheck_);
    DiscardUnread(h2o_socket_get_fd(aConnection.socket_));
    h2o_socket_close(aConnection.socket_);
    connections_.erase(&aConnection);
  }

  void ResetParser(Connection& aConnection)
  {
    aConnection.parser_.emplace();
    // Header and body are parsed in separate steps: a request with a body waits before its body.
    aConnection.parser_->eager(false);
    aConnection.parser_->header_limit(impl::kMaxRequestHeaderBytes);
    aConnection.parser_->body_limit(limits_.maxBodyBytes_);
    aConnection.headerBytes_ = 0;
    aConnection.needsContinue_ = false;
    aConnection.receivesBody_ = false;
    aConnection.bodyMemory_ = MakeReservation(MemoryKind::IncomingBodies);
  }

  [[nodiscard]] MemoryReservation MakeReservation(MemoryKind aKind) const
  {
    return hold_.budget_ != nullptr ? MemoryReservation(*hold_.budget_, aKind)
                                    : MemoryReservation();
  }

  /// Reserves memory for a body before its next bytes are parsed: for the whole of it if its length
  /// is stated, else for what has been received.
  /// \returns False if there is none.
  bool ReserveBody(Connection& aConnection)
  {
    if (!std::exchange(aConnection.receivesBody_, true)) {
      BeginProgress(aConnection);
    }
    const auto& parser = *aConnection.parser_;
    const auto stated = parser.content_length();
    const auto received = parser.get().body().size() + aConnection.socket_->input->size;
    const auto steps = received / impl::kReservationStep + 1;
    const auto bytes = stated ? static_cast<std::size_t>(*stated)
                              : std::min(steps * impl::kReservationStep, limits_.maxBodyBytes_);
    const auto cost = MemoryBudget::BodyCost(bytes);
    return cost <= aConnection.bodyMemory_.Bytes() ||
           Reserve(aConnection, aConnection.bodyMemory_, cost, bytes <= impl::kSmallBodyBytes);
  }

  /// Changes the size of a reservation; closes other connections if memory is short.
  /// \param aMayCloseAny True to close also connections that make progress.
  bool Reserve(const Connection& aConnection,
               MemoryReservation& aReservation,
               std::size_t aBytes,
               bool aMayCloseAny)
  {
    while (!aReservation.Resize(aBytes)) {
      const auto added = aBytes - aReservation.Bytes();
      const auto kind = aReservation.Kind();
      const bool needsKind = added > hold_.budget_->Limit(kind) - hold_.budget_->HeldBytes(kind);
      const auto heldBytes =
        needsKind && kind == MemoryKind::WaitingResponses ? WaitingBytes : HeldBytes;
      if (!CloseHolding(aConnection, heldBytes, false) &&
          !(aMayCloseAny && CloseHolding(aConnection, heldBytes, true))) {
        return false;
      }
    }
    return true;
  }

  /// Closes the connection with the least progress for the bytes that it holds.
  /// \param aHeldBytes Returns the bytes of a connection that are of use.
  /// \returns False if there is none that may close.
  bool CloseHolding(const Connection& aExcept,
                    std::size_t (*aHeldBytes)(const Connection&),
                    bool aMayCloseAny)
  {
    std::vector<Connection*> connections;
    std::vector<HoldingConnection> holding;
    for (auto& [connection, owned] : connections_) {
      const auto moved = connection->movedBytes_;
      const auto& progress = connection->progress_;
      const bool isChosen =
        aMayCloseAny || progress.HasStalled(moved, hold_.progress_.minBytesPerSecond_);
      connections.push_back(connection);
      holding.push_back({ .heldBytes_ = aHeldBytes(*connection),
                          .recentBytes_ = progress.RecentBytes(moved),
                          .mayClose_ = connection != &aExcept && isChosen &&
                                       !connection->isAdvancing_ && !HasRunning(*connection) });
    }
    const auto found = FindConnectionToClose(holding);
    if (!found) {
      return false;
    }
    auto& connection = *connections[*found];
    ReportHoldEnd(HoldEnd::ConnectionClosed, connection, HeldBytes(connection));
    Abandon(connection);
    Close(connection);
    return true;
  }

  [[nodiscard]] static std::size_t WaitingBytes(const Connection& aConnection)
  {
    return aConnection.waitingBytes_;
  }

  [[nodiscard]] static std::size_t HeldBytes(const Connection& aConnection)
  {
    return aConnection.bodyMemory_.Bytes() + aConnection.waitingBytes_;
  }

  /// Returns true if a request of the connection was started and is not answered.
  [[nodiscard]] bool HasRunning(const Connection& aConnection) const
  {
    const auto ids = aConnection.pipeline_.Unsent();
    return std::any_of(ids.begin(), ids.end(), [this](ExchangeId aId) {
      const auto found = exchanges_.find(aId);
      return found != exchanges_.end() && !found->second.isAnswered_;
    });
  }

  /// Answers a request whose body finds no memory; it has not run.
  void RefuseForMemory(Connection& aConnection)
  {
    ReportHoldEnd(HoldEnd::BodyRefused,
                  aConnection,
                  MemoryBudget::BodyCost(aConnection.parser_->get().body().size()));
    const auto response =
      callbacks_.makeOverloaded_(MakeRequest(aConnection.parser_->get(), MakeBody("")));
    ResetParser(aConnection);
    aConnection.hasStopped_ = true;
    aConnection.pipeline_.OnStarted(impl::kNoExchange, false, false);
    aConnection.pipeline_.OnResponse(impl::kNoExchange, { response, false }, 0);
  }

  void ReportHoldEnd(HoldEnd aEnd, const Connection& aConnection, std::size_t aBytes)
  {
    callbacks_.onHoldEnd_(aEnd, impl::FindClientAddress(aConnection.socket_), aBytes);
  }

  void BeginProgress(Connection& aConnection)
  {
    aConnection.progress_.Begin(aConnection.movedBytes_);
    if (!h2o_timeout_is_linked(&progressTimer_.entry_)) {
      h2o_timeout_link(loop_.Native(), &progressInterval_, &progressTimer_.entry_);
    }
  }

  static void OnProgressCheck(h2o_timeout_entry_t* aEntry)
  {
    reinterpret_cast<ProgressTimer*>(aEntry)->owner_->CheckProgress();
  }

  void CheckProgress()
  {
    std::vector<Connection*> late;
    bool isNeeded = false;
    for (auto& [connection, owned] : connections_) {
      if (connection->receivesBody_ || !connection->sending_.empty()) {
        isNeeded = true;
        connection->progress_.EndInterval(connection->movedBytes_,
                                          hold_.progress_.minBytesPerSecond_);
        if (connection->receivesBody_ &&
            connection->progress_.SlowFor() >= hold_.progress_.bodyTimeout_) {
          late.push_back(connection);
        }
      }
    }
    for (auto* connection : late) {
      ReportHoldEnd(HoldEnd::BodyTimedOut, *connection, HeldBytes(*connection));
      Close(*connection);
    }
    if (isNeeded) {
      h2o_timeout_link(loop_.Native(), &progressInterval_, &progressTimer_.entry_);
    }
  }

  static void SetReading(Connection& aConnection, bool aReads)
  {
    if (std::exchange(aConnection.isReading_, aReads) == aReads) {
      return;
    }
    if (aReads) {
      h2o_socket_read_start(aConnection.socket_, OnRead);
    } else {
      h2o_socket_read_stop(aConnection.socket_);
    }
  }

  void StartTimer(h2o_timeout_t& aTimeout, Timer& aTimer)
  {
    if (!h2o_timeout_is_linked(&aTimer.entry_)) {
      h2o_timeout_link(loop_.Native(), &aTimeout, &aTimer.entry_);
    }
  }

  static void StopTimer(Timer& aTimer)
  {
    if (h2o_timeout_is_linked(&aTimer.entry_)) {
      h2o_timeout_unlink(&aTimer.entry_);
    }
  }
};

PipelinedConnections::PipelinedConnections(EventLoop& aLoop,
                                           const ReceiveLimits& aLimits,
                                           const HoldLimits& aHold,
                                           PipelineCallbacks aCallbacks)
  : impl_(std::make_unique<Impl>(aLoop, aLimits, aHold, std::move(aCallbacks)))
{
}

PipelinedConnections::~PipelinedConnections()
{
  (void)impl_.release(); // leaked: open sockets point to it until the process ends
}

void
PipelinedConnections::Accept(st_h2o_socket_t* aSocket)
{
  impl_->Accept(aSocket);
}

void
PipelinedConnections::Respond(ExchangeId aId, const HttpResponse& aResponse)
{
  impl_->Respond(aId, aResponse);
}

bool
PipelinedConnections::Contains(ExchangeId aId) const
{
  return impl_->exchanges_.contains(aId);
}

bool
PipelinedConnections::HasClientClosed(ExchangeId aId) const
{
  auto* socket = impl_->exchanges_.at(aId).connection_->socket_;
  return FindStreamState(h2o_socket_get_fd(socket)) == StreamState::Closed;
}

TimePoint
PipelinedConnections::ArrivedAt(ExchangeId aId) const
{
  return impl_->exchanges_.at(aId).arrivedAt_;
}

void
PipelinedConnections::DisableKeepAlive()
{
  impl_->DisableKeepAlive();
}

bool
PipelinedConnections::IsIdle() const
{
  return std::all_of(
    impl_->connections_.begin(), impl_->connections_.end(), [](const auto& aEntry) {
      return aEntry.first->pipeline_.IsEmpty() && aEntry.first->sending_.empty();
    });
}

std::size_t
PipelinedConnections::UnansweredRequests() const
{
  const auto& exchanges = impl_->exchanges_;
  return static_cast<std::size_t>(
    std::count_if(exchanges.begin(), exchanges.end(), [](const auto& aEntry) {
      return !aEntry.second.isAnswered_;
    }));
}

} // namespace geraniumpin
