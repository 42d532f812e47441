#define BOOST_TEST_MODULE http_client_endless
#include "../../src/adapters/connection/http_client.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "../support/scripted_server.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <malloc.h>
#include <utility>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMaxBodyBytes = 1024 * kKilobyte;
constexpr std::size_t kMaxHeaderBytes = 64 * kKilobyte;
constexpr std::size_t kMaxResponseBytes = kMaxHeaderBytes + kMaxBodyBytes;
/// Bytes that the two sockets may hold when the client closes.
constexpr std::size_t kSocketBytes = 1024 * kKilobyte;
/// Bytes after which a test gives up on a client that still reads.
constexpr std::size_t kEndlessBytes = 8 * kMaxBodyBytes;
constexpr std::size_t kPieceBytes = kKilobyte;
constexpr std::size_t kBurstBytes = 256 * kKilobyte;
/// Idle time of a connection, which also bounds the write after an early response.
constexpr milliseconds kIdleTimeout{ 300 };

/// Bytes that a server sends: a start, then a unit over and over.
struct EndlessBytes
{
  const std::string name_;
  const std::string start_;
  const std::string unit_;
  const std::size_t maxTakenBytes_ = 0; ///< excluding those that wait in sockets
};

std::string
AnswerTo(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nid: " + aId + "\r\ncontent-length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
RepeatTo(std::size_t aBytes, const std::string& aUnit)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aUnit;
  }
  return text;
}

std::size_t
AllocatedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nid: a\r\n";
const std::string kChunkedHead = kHead + "transfer-encoding: chunked\r\n\r\n";
const std::string kLine(100, 'x');

struct Fixture
{
  std::shared_ptr<std::optional<HttpResult>> Send(const std::string& aBody = "")
  {
    auto result = std::make_shared<std::optional<HttpResult>>();
    const HttpRequest request{ .method_ = aBody.empty() ? "GET" : "POST",
                               .host_ = "shop.example",
                               .path_ = "/x",
                               .headers_ = { { "id", "a" } },
                               .body_ = MakeBody(aBody) };
    last_ = client_.Start(server_.Address(), request, { "id", "a" }, [result](const auto& aResult) {
      result->emplace(aResult);
    });
    std::string received;
    for (int i = 0; i < 100 && received.find("\r\n\r\n") == std::string::npos; ++i) {
      RunLoop();
      server_.Accept();
      received += server_.Read();
    }
    BOOST_REQUIRE(received.find("id: a") != std::string::npos);
    server_.LimitSendBuffer(static_cast<int>(64 * kKilobyte));
    received_ = received.size();
    return result;
  }

  void RunLoop(int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      loop_.RunOnce(clock_.Now() + milliseconds(2));
    }
  }

  void RunLoopFor(milliseconds aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      loop_.RunOnce(std::min(end, clock_.Now() + milliseconds(2)));
    }
  }

  /// Sends bytes until the condition holds or the client proves to read without end.
  template<class Condition>
  void Play(const EndlessBytes& aBytes, std::size_t aStepBytes, Condition aDone)
  {
    const auto unit = RepeatTo(aStepBytes, aBytes.unit_);
    std::string pending = aBytes.start_;
    pending.reserve(pending.size() + aStepBytes + unit.size());
    const auto allocatedBefore = AllocatedBytes(); // with the bytes to send
    while (!aDone() && written_ < kEndlessBytes) {
      if (pending.size() < aStepBytes) {
        pending += unit;
      }
      const auto sent = server_.WriteSome(pending);
      written_ += sent;
      pending.erase(0, sent);
      RunLoop();
      const auto allocated = AllocatedBytes();
      peakBytes_ = std::max(peakBytes_, allocated - std::min(allocated, allocatedBefore));
    }
    RunLoop(3);
  }

  SystemClock clock_;
  EventLoop loop_;
  ScriptedServer server_;
  HttpClient client_{ loop_, { kIdleTimeout, kMaxBodyBytes } };
  ClientExchangeId last_ = 0;
  std::size_t received_ = 0;  ///< by the server
  std::size_t written_ = 0;   ///< by the server
  std::size_t peakBytes_ = 0; ///< most memory that the client had allocated, as seen after a turn
};

void
ExpectBroken(const EndlessBytes& aBytes, std::size_t aStepBytes)
{
  Fixture fixture;
  const auto result = fixture.Send();
  fixture.Play(aBytes, aStepBytes, [&] { return result->has_value(); });
  BOOST_TEST_MESSAGE(aBytes.name_ << " in steps of " << aStepBytes << ": wrote " << fixture.written_
                                  << " bytes, peak " << fixture.peakBytes_);
  BOOST_TEST_CONTEXT(aBytes.name_ << " in steps of " << aStepBytes << ", " << fixture.written_
                                  << " bytes written, peak " << fixture.peakBytes_)
  {
    BOOST_CHECK(result->has_value());
    if (result->has_value()) {
      BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken));
    }
    BOOST_TEST(fixture.written_ <= aBytes.maxTakenBytes_ + kSocketBytes);
    BOOST_TEST(fixture.server_.IsClosedByClient());
    // A body is held once in the parser, whose buffer grows by doubling, and once as input.
    BOOST_TEST(fixture.peakBytes_ <= 4 * kMaxBodyBytes);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_header_without_end_is_broken_within_a_bound_in_bytes)
{
  for (const EndlessBytes& bytes :
       { EndlessBytes{ "no HTTP", "", kLine, kMaxHeaderBytes },
         EndlessBytes{ "status line", "HTTP/1.1 200 ", kLine, kMaxHeaderBytes },
         EndlessBytes{ "field line", kHead + "x: ", kLine, kMaxHeaderBytes },
         EndlessBytes{ "field name", kHead, kLine, kMaxHeaderBytes },
         EndlessBytes{ "fields", kHead, "x: " + kLine + "\r\n", kMaxHeaderBytes } }) {
    ExpectBroken(bytes, kPieceBytes);
    ExpectBroken(bytes, kBurstBytes);
  }
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_broken_within_a_bound_in_bytes)
{
  for (const EndlessBytes& bytes :
       { EndlessBytes{ "body without length", kHead + "\r\n", kLine, kMaxResponseBytes },
         EndlessBytes{
           "chunks", kChunkedHead, "64\r\n" + kLine + "\r\n", 2 * kMaxResponseBytes } }) {
    ExpectBroken(bytes, kPieceBytes);
    ExpectBroken(bytes, kBurstBytes);
  }
}

// The limit of a body did not hold if its first bytes arrived together with the header: the parser
// reserved the stated length, which ended the process, or held the whole body.
BOOST_AUTO_TEST_CASE(a_response_that_states_a_length_beyond_the_limit_is_broken_at_once)
{
  for (const std::string length : { "1048577", "9000000000", "900000000000000000" }) {
    const EndlessBytes bytes{
      "length " + length,
      std::string(kHead).append("content-length: ").append(length).append("\r\n\r\n"),
      kLine,
      kMaxHeaderBytes
    };
    ExpectBroken(bytes, kPieceBytes);
    ExpectBroken(bytes, kBurstBytes);
  }
}

// Chunk extensions and trailers are no part of the body and had no limit; the client held a line or
// a trailer section of any length.
BOOST_AUTO_TEST_CASE(chunk_framing_without_end_is_broken_within_a_bound_in_bytes)
{
  for (const EndlessBytes& bytes :
       { EndlessBytes{ "chunk extension", kChunkedHead + "1;", kLine, 2 * kMaxHeaderBytes },
         EndlessBytes{
           "chunk extensions", kChunkedHead, "1;" + kLine + "\r\nx\r\n", 2 * kMaxHeaderBytes },
         EndlessBytes{ "chunk size", kChunkedHead, "0000000000", 2 * kMaxHeaderBytes },
         EndlessBytes{ "trailer line", kChunkedHead + "0\r\nt: ", kLine, 2 * kMaxHeaderBytes },
         EndlessBytes{
           "trailers", kChunkedHead + "0\r\n", "t: " + kLine + "\r\n", 2 * kMaxHeaderBytes },
         EndlessBytes{ "trailers after a body",
                       kChunkedHead + "80000\r\n" + std::string(512 * kKilobyte, 'x') + "\r\n0\r\n",
                       "t: " + kLine + "\r\n",
                       2 * kMaxHeaderBytes + 512 * kKilobyte } }) {
    ExpectBroken(bytes, kPieceBytes);
    ExpectBroken(bytes, kBurstBytes);
  }
}

// Interim responses and responses to other requests are discarded; without a limit a server that
// sends only these kept the exchange until its caller cancelled it.
BOOST_AUTO_TEST_CASE(discarded_responses_without_end_are_broken_within_a_bound_in_bytes)
{
  for (const EndlessBytes& bytes :
       { EndlessBytes{
           "interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", kMaxResponseBytes },
         EndlessBytes{ "small responses", "", AnswerTo("z", kLine), kMaxResponseBytes },
         EndlessBytes{ "large responses",
                       "",
                       AnswerTo("z", std::string(kMaxBodyBytes, 'x')),
                       2 * kMaxResponseBytes } }) {
    ExpectBroken(bytes, kPieceBytes);
    ExpectBroken(bytes, kBurstBytes);
  }
}

BOOST_FIXTURE_TEST_CASE(some_discarded_responses_do_not_end_an_exchange, Fixture)
{
  const auto result = Send();
  std::string discarded;
  for (int i = 0; i < 8; ++i) {
    discarded += "HTTP/1.1 102 Processing\r\n\r\n" + AnswerTo("z", "not yours");
  }
  server_.Write(discarded + AnswerTo("a", "yours"));
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
  BOOST_TEST(*(*result)->response_.body_ == "yours");
}

BOOST_FIXTURE_TEST_CASE(a_body_in_chunks_of_one_byte_is_complete, Fixture)
{
  const auto result = Send();
  std::string chunks;
  for (int i = 0; i < 10000; ++i) {
    chunks += "1\r\nx\r\n";
  }
  server_.Write(kChunkedHead + chunks + "0\r\nt: 1\r\n\r\n");
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
  BOOST_TEST((*result)->response_.body_->size() == 10000U);
}

BOOST_FIXTURE_TEST_CASE(bytes_without_end_after_a_response_close_the_connection, Fixture)
{
  const auto result = Send();
  Play({ "body beyond its length", AnswerTo("a", "yours"), "x", 0 }, kPieceBytes, [&] {
    return server_.IsClosedByClient();
  });
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
  BOOST_TEST(*(*result)->response_.body_ == "yours");
  BOOST_TEST(written_ <= kSocketBytes);
}

BOOST_FIXTURE_TEST_CASE(bytes_without_end_on_an_idle_connection_close_it, Fixture)
{
  const auto result = Send();
  server_.Write(AnswerTo("a", "yours"));
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  Play({ "bytes without a request", "", "x", 0 }, kBurstBytes, [&] {
    return server_.IsClosedByClient();
  });
  BOOST_TEST(server_.IsClosedByClient());
  BOOST_TEST(written_ <= kSocketBytes);
  BOOST_TEST(peakBytes_ <= 2 * kSocketBytes);
}

BOOST_FIXTURE_TEST_CASE(bytes_without_end_while_a_request_body_is_written_close_the_connection,
                        Fixture)
{
  const auto result = Send(std::string(8U << 20U, 'x'));
  Play({ "early response", AnswerTo("a", "enough"), "y", 0 }, kPieceBytes, [&] {
    return result->has_value() && server_.WriteSome("y") == 0;
  });
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
  BOOST_TEST(server_.IsClosedByClient());
  BOOST_TEST(written_ <= kSocketBytes);
}

// After an early response the rest of the request body kept its connection for as long as the
// server read nothing, or a little at a time.
BOOST_AUTO_TEST_CASE(the_write_after_an_early_response_is_bounded_in_time)
{
  constexpr std::size_t kRequestBytes = 32U << 20U;
  for (const bool reads : { false, true }) {
    Fixture fixture;
    const auto result = fixture.Send(std::string(kRequestBytes, 'x'));
    fixture.server_.Write(AnswerTo("a", "enough"));
    auto received = fixture.received_;
    for (int i = 0; i < 20; ++i) {
      fixture.RunLoopFor(kIdleTimeout / 10);
      received += reads ? fixture.server_.Read().size() : 0;
    }
    BOOST_REQUIRE(result->has_value());
    BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
    for (int i = 0; i < 2000 && received < kRequestBytes; ++i) {
      received += fixture.server_.Read().size();
      fixture.RunLoop();
    }
    BOOST_TEST(received < kRequestBytes, (reads ? "slow reader" : "no reader"));
    BOOST_TEST(fixture.server_.IsClosedByClient());
  }
}

// A request that the server does not read ends with its exchange.
BOOST_FIXTURE_TEST_CASE(a_cancelled_exchange_ends_a_write_that_does_not_complete, Fixture)
{
  constexpr std::size_t kRequestBytes = 32U << 20U;
  const auto result = Send(std::string(kRequestBytes, 'x'));
  RunLoop(10);
  client_.Cancel(last_);
  RunLoop(3);
  auto received = received_;
  for (int i = 0; i < 2000; ++i) {
    received += server_.Read().size();
    RunLoop();
  }
  BOOST_TEST(received < kRequestBytes);
  BOOST_TEST(server_.IsClosedByClient());
  BOOST_TEST(!result->has_value());
}
