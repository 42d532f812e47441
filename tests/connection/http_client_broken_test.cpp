#define BOOST_TEST_MODULE http_client_broken
#include "../support/http_client_fixture.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cctype>
#include <chrono>
#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

using Fixture = HttpClientFixture;

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
const std::string kOk = "HTTP/1.1 200 OK\r\nid: a\r\n";
const std::string kSized = kOk + "content-length: 4\r\n";
const std::string kChunked = kOk + "transfer-encoding: chunked\r\n\r\n";

bool
IsTokenByte(char aByte)
{
  return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
         kTokenPunctuation.find(aByte) != std::string_view::npos;
}

std::string
Join(std::initializer_list<std::string_view> aTexts)
{
  std::string joined;
  for (const auto& text : aTexts) {
    joined += text;
  }
  return joined;
}

/// The text with its control bytes as hexadecimal escapes, for messages.
std::string
Escape(const std::string& aText)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string escaped;
  for (const char signedByte : aText) {
    const auto byte = static_cast<unsigned char>(signedByte);
    if (std::isprint(byte) != 0) {
      escaped.push_back(signedByte);
    } else {
      escaped += { '\\', 'x', kHex[byte >> 4U], kHex[byte & 15U] };
    }
  }
  return escaped;
}

/// Expects that a response is no answer and that its connection, which the server leaves open,
/// takes no further request. The bytes are sent at once and one at a time.
void
ExpectBroken(const std::string& aResponse)
{
  for (const std::size_t step : { aResponse.size(), std::size_t{ 1 } }) {
    BOOST_TEST_CONTEXT(Escape(aResponse) << " in steps of " << step)
    {
      Fixture fixture;
      const auto result = fixture.Send("a");
      for (std::size_t at = 0; at < aResponse.size(); at += step) {
        (void)fixture.server_.WriteSome(aResponse.substr(at, step));
        fixture.loop_.RunOnce(fixture.clock_.Now());
      }
      fixture.RunUntilEnd(result);
      BOOST_CHECK(result->has_value());
      if (result->has_value()) {
        BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken));
        BOOST_TEST((*result)->response_.headers_.empty());
        BOOST_TEST(!(*result)->detail_.empty());
      }
      BOOST_TEST(fixture.server_.IsClosedByClient());
    }
  }
}

void
ExpectAnswer(const std::string& aResponse, int aStatus, const std::string& aBody, bool aIsHead)
{
  BOOST_TEST_CONTEXT(Escape(aResponse))
  {
    Fixture fixture;
    const auto result = fixture.Send(aIsHead ? "HEAD" : "GET", "a", "");
    fixture.server_.Write(aResponse);
    fixture.RunUntilEnd(result);
    BOOST_REQUIRE(result->has_value());
    BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
    BOOST_TEST((*result)->response_.status_ == aStatus);
    const auto& body = (*result)->response_.body_;
    BOOST_TEST((body ? *body : std::string()) == aBody);
    // The next request uses the same connection.
    const auto next = fixture.Send("b");
    BOOST_TEST(fixture.server_.AcceptedCount() == 1);
    fixture.server_.Write(Fixture::AnswerTo("b", "next"));
    fixture.RunUntilEnd(next);
    BOOST_REQUIRE(next->has_value());
    BOOST_TEST(*(*next)->response_.body_ == "next");
  }
}

std::string
WithStatusLine(const std::string& aLine)
{
  return aLine + "\r\nid: a\r\ncontent-length: 4\r\n\r\nbody";
}

/// When a server ends its connection: how much of the request body it has read, and whether the
/// client has read the response before.
struct Moment
{
  std::size_t requestBytes_ = 0;
  std::size_t readBytes_ = 0;
  bool isResponseRead_ = false;
};

/// Requests that the sockets hold, and requests of which a part is still to be written.
std::vector<Moment>
MakeMoments()
{
  constexpr std::size_t kMegabyte = 1U << 20U;
  std::vector<Moment> moments;
  for (const bool isResponseRead : { false, true }) {
    for (const std::size_t size : { std::size_t{ 0 }, std::size_t{ 100 }, kMegabyte / 16 }) {
      moments.push_back({ size, 0, isResponseRead });
      moments.push_back({ size, size, isResponseRead });
    }
    for (const std::size_t read :
         { std::size_t{ 0 }, kMegabyte, 10 * kMegabyte, 31 * kMegabyte, 32 * kMegabyte }) {
      moments.push_back({ 32 * kMegabyte, read, isResponseRead });
    }
  }
  return moments;
}

std::ostream&
operator<<(std::ostream& aStream, const Moment& aMoment)
{
  return aStream << "request of " << aMoment.requestBytes_ << " bytes, " << aMoment.readBytes_
                 << " read, response " << (aMoment.isResponseRead_ ? "read" : "unread");
}

/// Sends a request and writes the response at the given moment.
Fixture::Result
Exchange(Fixture& aFixture, const Moment& aMoment, const std::string& aResponse)
{
  auto result = aFixture.Send("POST", "a", std::string(aMoment.requestBytes_, 'x'));
  aFixture.ReceiveBody(aMoment.readBytes_);
  if (!aResponse.empty()) {
    aFixture.server_.Write(aResponse);
  }
  if (aMoment.isResponseRead_) {
    aFixture.RunLoop(3);
  }
  return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_malformed_status_line_is_broken)
{
  for (const std::string line :
       { "HTTP/1.1 000 OK",  "HTTP/1.1 001 OK",   "HTTP/1.1 099 OK",   "HTTP/1.1 600 OK",
         "HTTP/1.1 999 OK",  "HTTP/1.1 0200 OK",  "HTTP/1.1 2000 OK",  "HTTP/1.1 20 OK",
         "HTTP/1.1 2 OK",    "HTTP/1.1 2x0 OK",   "HTTP/1.1 -20 OK",   "HTTP/1.1 200OK",
         "HTTP/1.1 200",     "HTTP/1.1",          "HTTP/1.1  200 OK",  "HTTP/1.1\t200 OK",
         "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\1K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\n",
         "HTTP/2.0 200 OK",  "HTTP/0.9 200 OK",   "HTTP/1.x 200 OK",   "HTTP/11 200 OK",
         "http/1.1 200 OK",  "ICY 200 OK",        " HTTP/1.1 200 OK",  "\r\nHTTP/1.1 200 OK" }) {
    ExpectBroken(WithStatusLine(line));
  }
  ExpectBroken(WithStatusLine(std::string("HTTP/1.1 200 O\0K", 16)));
}

// The response to a request in another protocol, which no request asks for.
BOOST_AUTO_TEST_CASE(a_switch_of_protocols_is_broken)
{
  ExpectBroken("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" +
               Fixture::AnswerTo("a", "body"));
}

// The response need not repeat the request's field: its status shows that it answers no request.
BOOST_AUTO_TEST_CASE(a_status_out_of_range_is_broken_whatever_its_fields)
{
  ExpectBroken("HTTP/1.1 000 \r\ncontent-length: 0\r\n\r\n");
  ExpectBroken("HTTP/1.1 000 \r\nid: a\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_field_name_that_is_no_token_is_broken)
{
  for (int code = 0; code < 256; ++code) {
    const auto byte = static_cast<char>(code);
    if (IsTokenByte(byte) || byte == ':') {
      continue;
    }
    const std::string text(1, byte);
    ExpectBroken(Join({ kSized, "x", text, "y: 1\r\n\r\nbody" }));
    ExpectBroken(Join({ kSized, "x", text, ": 1\r\n\r\nbody" }));
    // Behind the status line, where a blank does not continue a field.
    ExpectBroken("HTTP/1.1 200 OK\r\n" + text + "x: 1\r\nid: a\r\ncontent-length: 4\r\n\r\nbody");
  }
  ExpectBroken(kSized + ": 1\r\n\r\nbody");
  ExpectBroken(kSized + "x\r\n\r\nbody");
  ExpectBroken(kOk + "content-length : 4\r\n\r\nbody");
  ExpectBroken(kOk + "content length: 4\r\n\r\nbody");
  ExpectBroken(kOk + "transfer-encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_field_value_with_a_control_byte_is_broken)
{
  for (int code = 0; code < 128; ++code) {
    const auto byte = static_cast<char>(code);
    if (byte != '\t' && (code < ' ' || code == 127)) {
      ExpectBroken(kSized + "x: a" + std::string(1, byte) + "b\r\n\r\nbody");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_malformed_length_is_broken)
{
  for (const std::string value :
       { "", "-1", "+4", "0x4", "4 4", "4;", "4,5", "4.0", "four", "18446744073709551616" }) {
    ExpectBroken(Join({ kOk, "content-length: ", value, "\r\n\r\nbody" }));
  }
  ExpectBroken(kSized + "content-length: 5\r\n\r\nbody");
  ExpectBroken("HTTP/1.1 204 No Content\r\nid: a\r\ncontent-length: 4\r\n\r\nbody");
  ExpectBroken("HTTP/1.1 103 Early Hints\r\ncontent-length: 4\r\n\r\nbody" +
               Fixture::AnswerTo("a", "body"));
}

BOOST_AUTO_TEST_CASE(a_transfer_coding_other_than_chunked_is_broken)
{
  const std::string body = "4\r\nbody\r\n0\r\n\r\n";
  for (const std::string value : { "",
                                   "identity",
                                   "gzip",
                                   "gzip, chunked",
                                   "chunked, gzip",
                                   "chunked, chunked",
                                   "chunked;q=1",
                                   "chunked gzip",
                                   "xchunked",
                                   "chunkedx",
                                   "\"chunked\"" }) {
    ExpectBroken(Join({ kOk, "transfer-encoding: ", value, "\r\n\r\n", body }));
    ExpectBroken(Join({ kOk, "transfer-encoding: ", value, "\r\ncontent-length: 4\r\n\r\nbody" }));
    ExpectBroken(Join({ kSized, "transfer-encoding: ", value, "\r\n\r\nbody" }));
  }
  const std::string chunked = "transfer-encoding: chunked\r\n";
  ExpectBroken(kOk + "transfer-encoding: gzip\r\n" + chunked + "\r\n" + body);
  ExpectBroken(kOk + chunked + "transfer-encoding: gzip\r\n\r\n" + body);
  ExpectBroken(kOk + chunked + chunked + "\r\n" + body);
  ExpectBroken(kOk + chunked + "content-length: 4\r\n\r\n" + body);
  ExpectBroken(kSized + chunked + "\r\n" + body);
  ExpectBroken("HTTP/1.0 200 OK\r\nid: a\r\n" + chunked + "\r\n" + body);
  ExpectBroken("HTTP/1.1 204 No Content\r\nid: a\r\n" + chunked + "\r\n" + body);
  ExpectBroken("HTTP/1.1 103 Early Hints\r\n" + chunked + "\r\n" + body +
               Fixture::AnswerTo("a", "body"));
}

BOOST_AUTO_TEST_CASE(malformed_chunks_are_broken)
{
  for (const std::string chunks : { "g\r\nbody\r\n",
                                    "-4\r\nbody\r\n",
                                    "+4\r\nbody\r\n",
                                    "0x4\r\nbody\r\n0\r\n\r\n",
                                    " 4\r\nbody\r\n",
                                    "\r\nbody\r\n",
                                    "4 5\r\nbody\r\n",
                                    "4\nbody\r\n",
                                    "4\rbody\r\n",
                                    "11111111111111111\r\nbody\r\n",
                                    "4\r\nbodyxx0\r\n\r\n",
                                    "4\r\nbody\n0\r\n\r\n",
                                    "4;=x\r\nbody\r\n",
                                    "4;x=\r\nbody\r\n",
                                    "4;x y\r\nbody\r\n",
                                    "4;x=\"\1\"\r\nbody\r\n0\r\n\r\n",
                                    "4\r\nbody\r\n0\r\nx y: 1\r\n\r\n",
                                    "4\r\nbody\r\n0\r\nx\1: 1\r\n\r\n",
                                    "4\r\nbody\r\n0\r\nx: \1\r\n\r\n",
                                    "4\r\nbody\r\n0\r\ncontent-length: 4\r\n\r\n",
                                    "4\r\nbody\r\n0\r\ntransfer-encoding: chunked\r\n\r\n" }) {
    ExpectBroken(kChunked + chunks);
  }
}

BOOST_AUTO_TEST_CASE(responses_that_resemble_malformed_ones_are_answers)
{
  const auto expectAnswer =
    [](const std::string& aResponse, int aStatus, const std::string& aBody) {
      ExpectAnswer(aResponse, aStatus, aBody, false);
    };
  for (const int status : { 200, 203, 299, 399, 418, 451, 499, 500, 511, 599 }) {
    expectAnswer(WithStatusLine("HTTP/1.1 " + std::to_string(status) + " Reason"), status, "body");
  }
  expectAnswer(WithStatusLine("HTTP/1.1 200 "), 200, "body");
  expectAnswer(WithStatusLine("HTTP/1.1 200 a\tb \xe9"), 200, "body");
  expectAnswer(WithStatusLine("HTTP/1.0 200 OK\r\nconnection: keep-alive"), 200, "body");
  expectAnswer("HTTP/1.1 204 No Content\r\nid: a\r\n\r\n", 204, "");
  expectAnswer("HTTP/1.1 204 No Content\r\nid: a\r\ncontent-length: 0\r\n\r\n", 204, "");
  expectAnswer("HTTP/1.1 205 Reset Content\r\nid: a\r\ncontent-length: 0\r\n\r\n", 205, "");
  expectAnswer("HTTP/1.1 304 Not Modified\r\nid: a\r\ncontent-length: 4\r\n\r\n", 304, "");
  expectAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n" +
                 Fixture::AnswerTo("a", "body"),
               200,
               "body");
  expectAnswer("HTTP/1.1 199 Other\r\n\r\n" + Fixture::AnswerTo("a", "body"), 200, "body");
  expectAnswer(kSized + "content-length: 4\r\n\r\nbody", 200, "body");
  expectAnswer(kOk + "content-length: 4, 4\r\n\r\nbody", 200, "body");
  expectAnswer(kOk + "Content-Length:4\t\r\n\r\nbody", 200, "body");
  for (const std::string value : { "chunked", "Chunked", ", chunked", "chunked," }) {
    expectAnswer(
      Join({ kOk, "Transfer-Encoding: ", value, "\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }), 200, "body");
  }
  expectAnswer(kChunked + "4;x;y=z;q=\"a\\\"b\"\r\nbody\r\n000\r\n\r\n", 200, "body");
  expectAnswer(kChunked + "4 ; x = y\r\nbody\r\n0\r\nt: 1\r\n\r\n", 200, "body");
  std::string name;
  for (int code = 0; code < 128; ++code) {
    if (IsTokenByte(static_cast<char>(code))) {
      name.push_back(static_cast<char>(code));
    }
  }
  expectAnswer(kSized + name + ": \r\nx: \t\xe9 \ty\r\n\r\nbody", 200, "body");
  expectAnswer(kSized + "x: folded\r\n value\r\n\r\nbody", 200, "body");
}

BOOST_AUTO_TEST_CASE(responses_to_head_requests_are_answers_without_a_body)
{
  ExpectAnswer(kSized + "\r\n", 200, "", true);
  ExpectAnswer(kChunked, 200, "", true);
  ExpectAnswer(kOk + "\r\n", 200, "", true);
}

// A write that meets the reset takes its error, and the next read reports an end of the stream. An
// instance sent a part of a body without length, reset the connection while an upload was being
// written, and the part was delivered as a complete answer.
BOOST_AUTO_TEST_CASE(a_reset_within_a_response_is_broken_at_each_moment_of_an_upload)
{
  for (const auto& moment : MakeMoments()) {
    for (const auto& response : { std::string(),
                                  std::string("HTTP/1.1 200 OK\r\nid"),
                                  std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                                  kOk + "\r\n",
                                  kOk + "\r\npart",
                                  kOk + "connection: close\r\n\r\n" + std::string(9000, 'y'),
                                  kSized + "\r\npa",
                                  kChunked + "4\r\nbody\r\n",
                                  kChunked + "4\r\nbody\r\n0\r\n" }) {
      BOOST_TEST_CONTEXT(moment << ", " << Escape(response.substr(0, 80)))
      {
        Fixture fixture;
        const auto result = Exchange(fixture, moment, response);
        BOOST_CHECK(!result->has_value());
        fixture.server_.ResetConnection();
        fixture.RunUntilEnd(result);
        BOOST_REQUIRE(result->has_value());
        BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken));
        BOOST_TEST((*result)->detail_ == "connection reset or timed out");
        (void)fixture.Send("b");
        BOOST_TEST(fixture.server_.AcceptedCount() == 2);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_whole_response_before_a_reset_is_an_answer_at_each_moment_of_an_upload)
{
  for (const auto& moment : MakeMoments()) {
    for (const auto& response : { Fixture::AnswerTo("a", "body"),
                                  kChunked + "4\r\nbody\r\n0\r\n\r\n",
                                  kSized + "connection: close\r\n\r\nbody" }) {
      BOOST_TEST_CONTEXT(moment << ", " << Escape(response))
      {
        Fixture fixture;
        const auto result = Exchange(fixture, moment, response);
        fixture.server_.ResetConnection();
        fixture.RunUntilEnd(result);
        BOOST_REQUIRE(result->has_value());
        BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
        BOOST_TEST(*(*result)->response_.body_ == "body");
        fixture.RunLoop(2); // reads the reset
        (void)fixture.Send("b");
        BOOST_TEST(fixture.server_.AcceptedCount() == 2);
      }
    }
  }
}

// A read can return the last bytes of a response together with the error that follows them.
BOOST_AUTO_TEST_CASE(a_whole_response_of_any_size_before_a_reset_is_an_answer)
{
  for (std::size_t size = 256; size <= 65536; size += 256) {
    BOOST_TEST_CONTEXT("response of " << size << " bytes")
    {
      Fixture fixture;
      const auto result = fixture.Send("a");
      const std::string bodyBytes(size - size / 2, 'y');
      auto head = kOk + "content-length: " + std::to_string(bodyBytes.size());
      head.resize(size / 2 - 4, ' '); // blanks behind a value are no part of it
      fixture.server_.Write(Join({ head, "\r\n\r\n", bodyBytes }));
      fixture.server_.ResetConnection();
      fixture.RunUntilEnd(result);
      BOOST_REQUIRE(result->has_value());
      BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_body_that_ends_with_its_stream_is_an_answer_at_each_moment_of_an_upload)
{
  for (const auto& moment : MakeMoments()) {
    for (const std::string body : { "", "whole" }) {
      for (const bool readsOn : { false, true }) {
        BOOST_TEST_CONTEXT(moment << ", body '" << body << "', reads on " << readsOn)
        {
          Fixture fixture;
          const auto result = Exchange(fixture, moment, Join({ kOk, "\r\n", body }));
          BOOST_CHECK(!result->has_value());
          fixture.server_.EndStream();
          for (int i = 0; readsOn && i < 100 && !result->has_value(); ++i) {
            fixture.RunLoop();
            (void)fixture.server_.Read();
          }
          fixture.RunUntilEnd(result);
          BOOST_REQUIRE(result->has_value());
          BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
          BOOST_TEST(*(*result)->response_.body_ == body);
          (void)fixture.Send("b");
          BOOST_TEST(fixture.server_.AcceptedCount() == 2);
        }
      }
    }
  }
}

// A process that is killed while it receives a request looks the same.
BOOST_AUTO_TEST_CASE(a_body_that_ends_with_its_stream_and_a_reset_is_broken)
{
  for (const auto& moment : MakeMoments()) {
    BOOST_TEST_CONTEXT(moment)
    {
      Fixture fixture;
      const auto result = Exchange(fixture, moment, kOk + "\r\npart");
      fixture.server_.EndStream();
      fixture.server_.ResetConnection();
      std::this_thread::sleep_for(std::chrono::milliseconds(5)); // until both have arrived
      fixture.RunUntilEnd(result);
      BOOST_REQUIRE(result->has_value());
      BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken));
    }
  }
}
