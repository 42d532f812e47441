#pragma once

/// \file
/// Cases that HttpServer must pass with pipelining and without. A test program defines
/// BOOST_TEST_MODULE, and kPipelining in geraniumpin::test.

#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "http_splits.hpp"
#include "scripted_client.hpp"

#include <boost/test/included/unit_test.hpp>
#include <sys/resource.h>
#include <vector>

namespace geraniumpin::test {

/// The limits of the server under test; nothing: h2o's own connections.
extern const std::optional<PipelineLimits> kPipelining;

using std::chrono::milliseconds;

/// Longer than the delay before a pending request's connection is watched.
constexpr milliseconds kWatchTime{ 60 };

/// Limits the process to the descriptors that are open, and some more.
class DescriptorLimit
{
public:
  explicit DescriptorLimit(int aSpare)
  {
    getrlimit(RLIMIT_NOFILE, &former_);
    auto limit = former_;
    limit.rlim_cur = 0;
    for (int spare = 0; spare < aSpare; ++limit.rlim_cur) {
      spare += fcntl(static_cast<int>(limit.rlim_cur), F_GETFD) < 0 ? 1 : 0;
    }
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &former_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
  rlimit former_{};
};

struct Fixture
{
  void RunLoop(milliseconds aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      loop_.RunOnce(end);
    }
  }

  /// Sends segments, each of which the server reads on its own.
  void WriteSegments(ScriptedClient& aClient, const std::vector<std::string>& aSegments)
  {
    for (const auto& segment : aSegments) {
      aClient.Write(segment);
      loop_.RunOnce(clock_.Now() + milliseconds(1));
    }
  }

  /// Runs the loop until that many requests have been received in total.
  void AwaitRequests(std::size_t aCount)
  {
    const auto end = clock_.Now() + milliseconds(2000);
    while (requests_.size() < aCount && clock_.Now() < end) {
      loop_.RunOnce(clock_.Now() + milliseconds(5));
    }
    BOOST_REQUIRE(requests_.size() == aCount);
  }

  void Respond(std::size_t aIndex, const std::string& aBody)
  {
    server_.Respond(requests_.at(aIndex).first,
                    { .status_ = 200, .headers_ = {}, .body_ = MakeBody(aBody) });
  }

  static std::string Post(const std::string& aPath, const std::string& aBody)
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nhost: shop.example\r\ncontent-length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  }

  SystemClock clock_;
  EventLoop loop_;
  NodeAddress address_ = FindFreeAddress();
  std::vector<std::pair<ExchangeId, HttpRequest>> requests_;
  std::vector<ExchangeId> disconnected_;
  bool clientClosedAtReceipt_ = false; ///< of the last request
  std::size_t answers_ = 0;            ///< responses that a case has counted
  HttpServer server_{ loop_,
                      address_,
                      1U << 20U,
                      { [this](ExchangeId aId, const HttpRequest& aRequest) {
                         requests_.emplace_back(aId, aRequest);
                         clientClosedAtReceipt_ = server_.HasClientClosed(aId);
                       },
                        [this](ExchangeId aId) { disconnected_.push_back(aId); },
                        [](const RequestTarget& aTarget) {
                          return !aTarget.path_.starts_with("/serial");
                        } },
                      kPipelining };
};

/// A request as text, and the body that it carries.
struct RequestSample
{
  std::string text_;
  std::string body_;
};

/// Requests of every kind of head and body, each of which leaves its connection open.
inline std::vector<RequestSample>
RequestSamples()
{
  const std::string host = " HTTP/1.1\r\nhost: shop.example\r\n";
  const std::string chunked = "transfer-encoding: chunked\r\n\r\n";
  return {
    { "GET /get" + host + "\r\n", "" },
    { "HEAD /head" + host + "\r\n", "" },
    { "GET /fields" + host + "a:b\r\nempty:\r\nspaces: \t c d \t\r\n\r\n", "" },
    { "\r\nGET /after-an-empty-line" + host + "\r\n", "" },
    { "POST /length" + host + "content-length: 4\r\n\r\nbody", "body" },
    { "POST /no-bytes" + host + "content-length: 0\r\n\r\n", "" },
    { "POST /no-length" + host + "\r\n", "" },
    { "POST /empty-line-in-body" + host + "content-length: 8\r\n\r\n\r\n\r\nbody", "\r\n\r\nbody" },
    { "POST /request-in-body" + host + "content-length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n" },
    { "POST /chunks" + host + chunked + "3\r\nabc\r\n0a\r\n0123456789\r\n0\r\n\r\n",
      "abc0123456789" },
    { "POST /no-chunks" + host + chunked + "0\r\n\r\n", "" },
    { "POST /empty-line-in-chunk" + host + chunked + "4\r\n\r\n\r\n\r\n0\r\n\r\n", "\r\n\r\n" },
    { "POST /trailer" + host + chunked + "2\r\nab\r\n0\r\nt: 1\r\n\r\n", "ab" },
  };
}

// Guards against a head or body that is read differently if its bytes arrive in other segments: a
// request was never answered if the last byte of its head arrived on its own.
BOOST_FIXTURE_TEST_CASE(a_request_is_the_same_however_its_bytes_are_split, Fixture)
{
  for (const auto& sample : RequestSamples()) {
    ScriptedClient whole(address_);
    const auto expectedAt = requests_.size();
    whole.Write(sample.text_);
    AwaitRequests(expectedAt + 1);
    Respond(expectedAt, "");
    const auto expected = requests_[expectedAt].second;
    BOOST_TEST((expected.body_ ? *expected.body_ : std::string()) == sample.body_, sample.text_);
    // Twice on each connection: the second request begins where the first one ends.
    for (const auto& segments : SplitEverywhere(sample.text_)) {
      BOOST_TEST_CONTEXT("segments " << JoinSegments(segments))
      {
        ScriptedClient client(address_);
        for (int i = 0; i < 2; ++i) {
          const auto at = requests_.size();
          WriteSegments(client, segments);
          AwaitRequests(at + 1);
          Respond(at, "");
          const auto& request = requests_[at].second;
          BOOST_TEST(request.method_ == expected.method_);
          BOOST_TEST(request.host_ == expected.host_);
          BOOST_TEST(request.path_ == expected.path_);
          BOOST_TEST((request.headers_ == expected.headers_));
          BOOST_TEST((request.body_ ? *request.body_ : std::string()) == sample.body_);
        }
      }
    }
  }
}

// A malformed request must be refused at every split, not only if it arrives whole.
BOOST_FIXTURE_TEST_CASE(a_malformed_request_is_refused_however_its_bytes_are_split, Fixture)
{
  for (const std::string text : { "GET /x HTTP/1.1\r\nhost: shop.example\r\nno colon\r\n\r\n",
                                  "GET  /x HTTP/1.1\r\nhost: shop.example\r\n\r\n",
                                  "nonsense\r\n\r\n" }) {
    for (const auto& segments : SplitEverywhere(text)) {
      ScriptedClient client(address_);
      std::string response;
      for (const auto& segment : segments) {
        (void)client.TryWrite(segment); // the server may have refused the bytes before
        RunLoop(milliseconds(2));
        response += client.Read();
      }
      RunLoop(milliseconds(2));
      response += client.Read();
      BOOST_TEST(response.starts_with("HTTP/1.1 400"), JoinSegments(segments));
    }
  }
  BOOST_TEST(requests_.empty());
}

BOOST_FIXTURE_TEST_CASE(a_connection_serves_several_requests, Fixture)
{
  ScriptedClient client(address_);
  for (std::size_t i = 0; i < 3; ++i) {
    client.Write(Post("/x", "body"));
    AwaitRequests(i + 1);
    Respond(i, "answer " + std::to_string(i));
    RunLoop(milliseconds(10));
    BOOST_TEST(client.Read().ends_with("answer " + std::to_string(i)));
  }
  BOOST_TEST(server_.IsIdle());
  BOOST_TEST((server_.Counters() == HttpServerCounters{ 1, 1, 0, 0, 3 }));
  client.Close();
  RunLoop(milliseconds(20));
  BOOST_TEST((server_.Counters() == HttpServerCounters{ 1, 0, 0, 0, 3 }));
}

BOOST_FIXTURE_TEST_CASE(a_malformed_request_is_answered_and_counted, Fixture)
{
  ScriptedClient client(address_);
  client.Write("nonsense\r\n\r\n");
  RunLoop(milliseconds(20));
  BOOST_TEST(client.Read().starts_with("HTTP/1.1 400"));
  BOOST_TEST(client.IsClosedByServer());
  BOOST_TEST(server_.Counters().unusedConnections_ == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_disconnect_of_a_waiting_client_is_reported_and_counted, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/x", "body"));
  AwaitRequests(1);
  client.Close();
  RunLoop(kWatchTime);
  BOOST_TEST(disconnected_.size() == 1U);
  BOOST_TEST(server_.Counters().disconnects_ == 1U);
}

// Guards against exchanges that stay for ever once their client has left: the server was never idle
// again, and kept the connection's descriptor.
BOOST_FIXTURE_TEST_CASE(a_disconnect_releases_the_connection, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/x", "body"));
  AwaitRequests(1);
  client.Close();
  RunLoop(kWatchTime);
  BOOST_TEST(server_.IsIdle());
  BOOST_TEST(server_.Counters().openConnections_ == 0U);
  Respond(0, "too late");
  RunLoop(milliseconds(20));
  BOOST_TEST(disconnected_.size() == 1U);
  BOOST_TEST(server_.Counters().disconnects_ == 1U);
}

// Guards against a response to the wrong request: the response to an abandoned request must not
// be followed by another one.
BOOST_FIXTURE_TEST_CASE(a_client_that_ends_its_stream_gets_one_failure, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/x", "body"));
  AwaitRequests(1);
  client.CloseWriteSide();
  RunLoop(kWatchTime);
  Respond(0, "too late");
  RunLoop(milliseconds(20));
  const auto response = client.Read();
  BOOST_TEST(response.starts_with("HTTP/1.1 502"));
  BOOST_TEST(response.find("HTTP/1.1", 1) == std::string::npos);
  BOOST_TEST(client.IsClosedByServer());
}

// Guards against a reset of the connection that is not taken for a disconnect.
BOOST_FIXTURE_TEST_CASE(a_reset_is_a_disconnect, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/x", "body"));
  AwaitRequests(1);
  client.Reset();
  RunLoop(kWatchTime);
  BOOST_TEST(disconnected_.size() == 1U);
  BOOST_TEST(server_.IsIdle());
}

// Guards against a disconnect that goes unnoticed behind unread bytes.
BOOST_FIXTURE_TEST_CASE(a_disconnect_behind_a_pipelined_request_is_noticed, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/1", "one"));
  AwaitRequests(1);
  client.Write(Post("/2", "two"));
  RunLoop(kWatchTime);
  client.Close();
  RunLoop(milliseconds(500));
  BOOST_TEST(disconnected_.size() == 1U);
  BOOST_TEST(requests_.size() == 1U);
  BOOST_TEST(server_.IsIdle());
}

// Guards against a loop that does not sleep while bytes of a pipelined request are unread.
BOOST_FIXTURE_TEST_CASE(unread_bytes_do_not_wake_the_loop_again_and_again, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/1", "one"));
  AwaitRequests(1);
  client.Write(Post("/2", "two"));
  RunLoop(kWatchTime);
  const auto end = clock_.Now() + milliseconds(500);
  int turns = 0;
  for (; clock_.Now() < end; ++turns) {
    loop_.RunOnce(end);
  }
  BOOST_TEST(turns < 50);
}

// Guards against bytes of the next request that the watch for a disconnect reads away.
BOOST_FIXTURE_TEST_CASE(a_pipelined_request_is_answered_with_its_bytes_intact, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/1", "one"));
  AwaitRequests(1);
  RunLoop(kWatchTime);
  const auto second = Post("/2", "two");
  client.Write(second.substr(0, 10));
  RunLoop(kWatchTime);
  client.Write(second.substr(10));
  RunLoop(kWatchTime);
  BOOST_TEST(requests_.size() == 1U);
  Respond(0, "first");
  AwaitRequests(2);
  BOOST_TEST(requests_[1].second.path_ == "/2");
  BOOST_TEST(*requests_[1].second.body_ == "two");
  RunLoop(kWatchTime);
  Respond(1, "second");
  RunLoop(milliseconds(20));
  const auto responses = client.Read();
  BOOST_TEST(responses.find("first") < responses.find("second"));
  BOOST_TEST(responses.ends_with("second"));
  BOOST_TEST(disconnected_.empty());
}

// Guards against connections that wait in the backlog: one was accepted in each turn of the loop.
BOOST_FIXTURE_TEST_CASE(a_burst_of_connections_is_accepted_at_once, Fixture)
{
  constexpr int kClients = 16;
  std::vector<std::unique_ptr<ScriptedClient>> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<ScriptedClient>(address_));
  }
  loop_.RunOnce(clock_.Now() + milliseconds(100));
  BOOST_TEST(server_.Counters().acceptedConnections_ == 16U);
}

// Guards against a request whose client left before it was read and that is served all the same.
BOOST_FIXTURE_TEST_CASE(a_client_that_left_before_its_request_was_read_is_known, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/x", "body"));
  client.Close();
  AwaitRequests(1);
  BOOST_TEST(clientClosedAtReceipt_);
  Respond(0, "ignored");
  RunLoop(milliseconds(20));
  BOOST_TEST(server_.Counters().openConnections_ == 0U);
  BOOST_TEST(disconnected_.empty());

  ScriptedClient present(address_);
  present.Write(Post("/x", "body"));
  AwaitRequests(2);
  BOOST_TEST(!clientClosedAtReceipt_);
}

// Guards against a pipelined request that is passed on although its connection will be closed.
BOOST_FIXTURE_TEST_CASE(a_pipelined_request_behind_the_last_response_is_not_received, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/1", "one") + Post("/2", "two"));
  AwaitRequests(1);
  server_.DisableKeepAlive();
  Respond(0, "first");
  RunLoop(kWatchTime);
  const auto response = client.Read();
  BOOST_TEST(response.find("Connection: close") != std::string::npos);
  BOOST_TEST(response.ends_with("first"));
  BOOST_TEST(requests_.size() == 1U);
  BOOST_TEST(client.IsClosedByServer());
}

// Guards against an open connection that is cut when the server stops listening.
BOOST_FIXTURE_TEST_CASE(an_open_connection_is_served_after_the_server_stops_listening, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/1", "one"));
  AwaitRequests(1);
  server_.DisableKeepAlive();
  server_.StopAccepting();
  RunLoop(kWatchTime);
  Respond(0, "first");
  RunLoop(milliseconds(20));
  BOOST_TEST(client.Read().ends_with("first"));
  BOOST_TEST(client.IsClosedByServer());
}

// Guards against a process that ends, with all pending requests, because no descriptor is left to
// watch a connection.
BOOST_FIXTURE_TEST_CASE(a_disconnect_is_noticed_without_a_spare_descriptor, Fixture)
{
  ScriptedClient first(address_);
  ScriptedClient second(address_);
  const DescriptorLimit limit(2); // for the accepted connections
  first.Write(Post("/1", "one"));
  second.Write(Post("/2", "two"));
  AwaitRequests(2);
  RunLoop(kWatchTime);
  first.Close();
  RunLoop(milliseconds(300));
  BOOST_TEST(disconnected_.size() == 1U);
  Respond(0, "answer");
  Respond(1, "answer");
  RunLoop(milliseconds(20));
  BOOST_TEST(second.Read().ends_with("answer"));
}

// Guards against a loop that does not sleep while a connection waits for a descriptor, and against
// one that is never accepted.
BOOST_FIXTURE_TEST_CASE(accepting_goes_on_once_descriptors_are_free, Fixture)
{
  ScriptedClient first(address_);
  ScriptedClient second(address_);
  first.Write(Post("/1", "one"));
  second.Write(Post("/2", "two"));
  {
    const DescriptorLimit limit(1);
    AwaitRequests(1);
    const auto end = clock_.Now() + milliseconds(300);
    int turns = 0;
    for (; clock_.Now() < end; ++turns) {
      loop_.RunOnce(end);
    }
    BOOST_TEST(turns < 50);
    BOOST_TEST(server_.Counters().acceptFailures_ > 0U);
  }
  AwaitRequests(2);
  Respond(0, "answer");
  Respond(1, "answer");
  RunLoop(milliseconds(20));
  BOOST_TEST(second.Read().ends_with("answer"));
}

// Guards against a last response that is cut by a reset, since the client had sent more bytes.
BOOST_FIXTURE_TEST_CASE(the_last_response_is_whole_behind_unread_bytes, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Post("/1", "one"));
  AwaitRequests(1);
  client.Write(Post("/2", "two"));
  RunLoop(kWatchTime);
  server_.DisableKeepAlive();
  const std::string body(3U << 20U, 'x');
  Respond(0, body);
  std::string response;
  const auto end = clock_.Now() + milliseconds(2000);
  while (response.size() < body.size() && clock_.Now() < end) {
    RunLoop(milliseconds(1));
    response += client.Read();
  }
  BOOST_TEST(response.size() > body.size());
  BOOST_TEST(response.ends_with("xxx"));
  RunLoop(milliseconds(20));
  BOOST_TEST(client.IsClosedByServer());
}

} // namespace geraniumpin::test
