#define BOOST_TEST_MODULE pipelined_connections
#include "../support/http_server_cases.hpp"

#include <cstdlib>
#include <random>

namespace geraniumpin::test {

const std::optional<PipelineLimits> kPipelining = PipelineLimits{};

} // namespace geraniumpin::test

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nhost: shop.example\r\n\r\n";
}

std::size_t
CountResponses(const std::string& aText)
{
  std::size_t count = 0;
  for (auto at = aText.find("HTTP/1.1 "); at != std::string::npos;
       at = aText.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against requests of one connection that are served one after the other: 8 requests that
// take 240 ms each are all received before the first one is answered.
BOOST_FIXTURE_TEST_CASE(idempotent_requests_run_beside_each_other, Fixture)
{
  ScriptedClient client(address_);
  std::string requests;
  for (int i = 0; i < 8; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  const auto sentAt = clock_.Now();
  client.Write(requests);
  AwaitRequests(8);
  RunLoop(milliseconds(240)); // the work of each request
  for (std::size_t i = 0; i < 8; ++i) {
    Respond(7 - i, "answer " + std::to_string(7 - i));
  }
  std::string responses;
  while (CountResponses(responses) < 8 && clock_.Now() - sentAt < milliseconds(1000)) {
    loop_.RunOnce(clock_.Now() + milliseconds(1));
    responses += client.Read();
  }
  BOOST_TEST((clock_.Now() - sentAt < milliseconds(300)));
  BOOST_TEST(CountResponses(responses) == 8U);
  std::size_t last = 0;
  for (int i = 0; i < 8; ++i) {
    const auto at = responses.find("answer " + std::to_string(i));
    BOOST_TEST(at != std::string::npos);
    BOOST_TEST(at >= last);
    last = at;
  }
  RunLoop(milliseconds(5));
  BOOST_TEST(server_.IsIdle());
}

BOOST_FIXTURE_TEST_CASE(a_response_waits_for_those_before_it, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + Get("/2"));
  AwaitRequests(2);
  Respond(1, "second");
  RunLoop(milliseconds(20));
  BOOST_TEST(client.Read().empty());
  BOOST_TEST(!server_.IsIdle());
  Respond(0, "first");
  RunLoop(milliseconds(20));
  const auto responses = client.Read();
  BOOST_TEST(responses.find("first") < responses.find("second"));
  BOOST_TEST(responses.ends_with("second"));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_may_not_run_ahead_waits, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + Get("/serial") + Get("/3"));
  AwaitRequests(1);
  RunLoop(milliseconds(20));
  BOOST_TEST(requests_.size() == 1U);
  Respond(0, "first");
  AwaitRequests(2);
  RunLoop(milliseconds(20));
  BOOST_TEST(requests_.size() == 2U);
  Respond(1, "second");
  AwaitRequests(3);
  BOOST_TEST(requests_[2].second.path_ == "/3");
}

// Guards against more requests at once than the limit: reading goes on when responses are sent.
BOOST_FIXTURE_TEST_CASE(ten_thousand_requests_in_one_segment_are_started_a_few_at_a_time, Fixture)
{
  constexpr std::size_t kRequests = 10'000;
  ScriptedClient client(address_);
  std::string requests;
  for (std::size_t i = 0; i < kRequests; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  std::size_t written = 0;
  std::size_t answered = 0;
  std::size_t read = 0;
  const auto end = clock_.Now() + milliseconds(20000);
  while (read < kRequests && clock_.Now() < end) {
    const auto rest = std::string_view(requests).substr(written);
    written += client.TryWrite(rest);
    loop_.RunOnce(clock_.Now() + milliseconds(1));
    BOOST_REQUIRE(requests_.size() - answered <= PipelineLimits::kDefaultMaxRequests);
    for (; answered < requests_.size(); ++answered) {
      Respond(answered, "");
    }
    read += CountResponses(client.Read());
  }
  BOOST_TEST(requests_.size() == kRequests);
  BOOST_TEST(read == kRequests);
}

// Guards against responses that pile up for a client that does not read them.
BOOST_FIXTURE_TEST_CASE(no_request_starts_while_many_bytes_of_responses_wait, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + Get("/2"));
  AwaitRequests(2);
  Respond(1, std::string(PipelineLimits::kDefaultMaxResponseBytes + 1, 'x'));
  client.Write(Get("/3"));
  RunLoop(milliseconds(20));
  BOOST_TEST(requests_.size() == 2U);
  Respond(0, "first");
  RunLoop(milliseconds(20));
  while (!client.Read().empty()) {
    RunLoop(milliseconds(5));
  }
  AwaitRequests(3);
}

// Guards against work that goes on for a client that left.
BOOST_FIXTURE_TEST_CASE(a_disconnect_ends_all_requests_of_the_connection, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + Get("/2") + Get("/3") + Get("/serial"));
  AwaitRequests(3);
  Respond(1, "second");
  client.Close();
  RunLoop(milliseconds(50));
  BOOST_TEST(disconnected_.size() == 2U);
  BOOST_TEST(requests_.size() == 3U);
  BOOST_TEST(server_.IsIdle());
  BOOST_TEST(server_.Counters().openConnections_ == 0U);
}

// Guards against a disconnect that goes unnoticed behind more bytes than are read ahead.
BOOST_FIXTURE_TEST_CASE(a_disconnect_behind_many_unread_bytes_is_noticed, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1"));
  AwaitRequests(1);
  std::string requests;
  for (int i = 0; i < 4000; ++i) {
    requests += Get("/serial");
  }
  client.TryWrite(requests);
  RunLoop(kWatchTime);
  client.Close();
  RunLoop(milliseconds(400));
  BOOST_TEST(disconnected_.size() == 1U);
  BOOST_TEST(server_.IsIdle());
}

// Guards against a request that was started behind a response that closes the connection: the
// client counts it as not read and sends it again.
BOOST_FIXTURE_TEST_CASE(nothing_is_received_behind_a_request_that_closes_the_connection, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + "GET /2 HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\r\n" +
               Get("/3"));
  AwaitRequests(2);
  RunLoop(milliseconds(20));
  Respond(0, "first");
  Respond(1, "second");
  RunLoop(milliseconds(20));
  BOOST_TEST(requests_.size() == 2U);
  const auto responses = client.Read();
  BOOST_TEST(responses.find("Connection: close") > responses.find("first"));
  BOOST_TEST(responses.ends_with("second"));
  BOOST_TEST(client.IsClosedByServer());
}

// Guards against requests that are started, or dropped, once the server stops.
BOOST_FIXTURE_TEST_CASE(a_stopping_server_answers_all_requests_that_were_started, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + Get("/2"));
  AwaitRequests(2);
  server_.DisableKeepAlive();
  client.Write(Get("/3"));
  RunLoop(milliseconds(20));
  Respond(0, "first");
  RunLoop(milliseconds(20));
  const auto first = client.Read();
  BOOST_TEST(first.find("Connection: keep-alive") != std::string::npos);
  Respond(1, "second");
  RunLoop(milliseconds(20));
  const auto second = client.Read();
  BOOST_TEST(second.find("Connection: close") != std::string::npos);
  BOOST_TEST(second.ends_with("second"));
  BOOST_TEST(requests_.size() == 2U);
  BOOST_TEST(client.IsClosedByServer());
}

BOOST_FIXTURE_TEST_CASE(a_malformed_request_is_answered_in_its_place, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + "nonsense\r\n\r\n" + Get("/3"));
  AwaitRequests(1);
  RunLoop(milliseconds(20));
  BOOST_TEST(client.Read().empty());
  Respond(0, "first");
  RunLoop(milliseconds(20));
  const auto responses = client.Read();
  BOOST_TEST(responses.find("first") < responses.find("HTTP/1.1 400"));
  BOOST_TEST(requests_.size() == 1U);
  BOOST_TEST(client.IsClosedByServer());
}

// Guards against requests that are smuggled inside another one, and against headers without end.
BOOST_FIXTURE_TEST_CASE(ambiguous_and_endless_requests_are_refused, Fixture)
{
  const auto host = std::string("host: shop.example\r\n");
  const std::vector<std::pair<std::string, std::string>> cases{
    { "POST / HTTP/1.1\r\n" + host + "content-length: 4\r\ncontent-length: 5\r\n\r\nabcde", "400" },
    { "POST / HTTP/1.1\r\n" + host + "content-length: -1\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\n" + host + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\n" + host + "transfer-encoding: chunked\r\n\r\nzz\r\n", "400" },
    { "GET / HTTP/1.1\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\n" + host + host + "\r\n", "400" },
    { "POST / HTTP/1.1\r\n" + host + "content-length: 99999999\r\n\r\n", "413" },
    { "GET / HTTP/1.1\r\n" + host + "x: " + std::string(70'000, 'x'), "431" },
  };
  for (const auto& [request, status] : cases) {
    ScriptedClient client(address_);
    client.Write(request);
    RunLoop(milliseconds(30));
    BOOST_TEST(client.Read().starts_with("HTTP/1.1 " + status), request.substr(0, 90));
    BOOST_TEST(client.IsClosedByServer());
  }
  BOOST_TEST(requests_.empty());
}

BOOST_FIXTURE_TEST_CASE(requests_that_arrive_in_pieces_are_whole, Fixture)
{
  const auto text = Get("/1") +
                    "POST /2 HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
                    Post("/3", "body");
  ScriptedClient client(address_);
  for (const char byte : text) {
    client.Write(std::string(1, byte));
    loop_.RunOnce(clock_.Now() + milliseconds(1));
    for (auto i = answers_; i < requests_.size(); ++i, ++answers_) {
      Respond(i, "");
    }
  }
  AwaitRequests(3);
  BOOST_TEST(*requests_[1].second.body_ == "abcde");
  BOOST_TEST(*requests_[2].second.body_ == "body");
  BOOST_TEST(requests_[2].second.host_ == "shop.example");
}

// Several empty lines, chunk extensions, a wait for a go-ahead and requests behind each other,
// which h2o's own connections do not all read.
BOOST_FIXTURE_TEST_CASE(requests_behind_each_other_are_the_same_however_they_are_split, Fixture)
{
  const std::string host = " HTTP/1.1\r\nhost: shop.example\r\n";
  const auto text = "\r\n\r\n\r\n" + Get("/1") + "\r\n\r\nPOST /2" + host +
                    "expect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n"
                    "3;a=b;c=\"d\"\r\nabc\r\n2\r\nde\r\n0\r\nt: 1\r\nu: 2\r\n\r\n\r\n" +
                    Post("/3", "\r\n") + Get("/4");
  const std::vector<std::string> bodies{ "", "abcde", "\r\n", "" };
  for (const auto& segments : SplitEverywhere(text)) {
    BOOST_TEST_CONTEXT("segments " << JoinSegments(segments))
    {
      ScriptedClient client(address_);
      const auto first = requests_.size();
      WriteSegments(client, segments);
      for (std::size_t i = 0; i < bodies.size(); ++i) {
        AwaitRequests(first + i + 1);
        const auto& request = requests_[first + i].second;
        BOOST_TEST(request.path_ == "/" + std::to_string(i + 1));
        BOOST_TEST((request.body_ ? *request.body_ : std::string()) == bodies[i]);
        Respond(first + i, "");
        RunLoop(milliseconds(1));
      }
      BOOST_TEST(requests_.size() == first + bodies.size());
    }
  }
}

BOOST_FIXTURE_TEST_CASE(a_client_that_waits_for_a_go_ahead_gets_it, Fixture)
{
  ScriptedClient client(address_);
  client.Write("POST /1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 4\r\n"
               "expect: 100-continue\r\n\r\n");
  RunLoop(milliseconds(20));
  BOOST_TEST(client.Read().starts_with("HTTP/1.1 100"));
  client.Write("body");
  AwaitRequests(1);
  Respond(0, "answer");
  RunLoop(milliseconds(20));
  BOOST_TEST(client.Read().starts_with("HTTP/1.1 200"));
}

// Guards against a deadline that counts from the time at which a request could start.
BOOST_FIXTURE_TEST_CASE(the_arrival_of_a_request_that_waits_is_that_of_its_bytes, Fixture)
{
  ScriptedClient client(address_);
  client.Write(Get("/1") + Get("/serial"));
  AwaitRequests(1);
  const auto arrivedAt = server_.ArrivedAt(requests_[0].first);
  RunLoop(milliseconds(50));
  Respond(0, "first");
  AwaitRequests(2);
  BOOST_TEST((server_.ArrivedAt(requests_[1].first) == arrivedAt));
}

// Guards against a malformed request that ends the process or leaves a connection behind.
// FUZZ_INPUTS sets the number of inputs; the seed of each is its number.
BOOST_FIXTURE_TEST_CASE(mutated_requests_leave_nothing_behind, Fixture)
{
  const char* inputs = std::getenv("FUZZ_INPUTS");
  const int count = inputs == nullptr ? 200 : std::atoi(inputs);
  const std::vector<std::string> samples{
    Get("/1"),
    Get("/serial"),
    Post("/2", "body"),
    "POST /3 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "GET /4 HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "GET /5 HTTP/1.1\r\nhost: a\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n"
  };
  for (int seed = 1; seed <= count; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(static_cast<unsigned>(seed));
      std::string text;
      for (auto i = random() % 6 + 1; i > 0; --i) {
        text += samples[random() % samples.size()];
      }
      for (auto i = random() % 6; i > 0 && !text.empty(); --i) {
        const auto at = random() % text.size();
        switch (random() % 4) {
          case 0:
            text[at] = static_cast<char>(random());
            break;
          case 1:
            text.erase(at, random() % 8);
            break;
          case 2:
            text.insert(at, std::string(random() % 40, static_cast<char>(random())));
            break;
          default:
            text.resize(at);
        }
      }
      ScriptedClient client(address_);
      std::string received;
      while (!text.empty()) {
        const auto size = std::min<std::size_t>(text.size(), random() % 60 + 1);
        client.TryWrite(text.substr(0, size));
        text.erase(0, size);
        loop_.RunOnce(clock_.Now());
        for (; answers_ < requests_.size(); ++answers_) {
          Respond(answers_, "x");
        }
        received += client.Read();
      }
      random() % 2 == 0 ? client.Close() : client.Reset();
      for (int i = 0; i < 20 && server_.Counters().openConnections_ > 0; ++i) {
        loop_.RunOnce(clock_.Now() + milliseconds(5));
        for (; answers_ < requests_.size(); ++answers_) {
          Respond(answers_, "x");
        }
      }
      BOOST_REQUIRE(server_.IsIdle());
      BOOST_REQUIRE(server_.Counters().openConnections_ == 0U);
    }
  }
}

// Limits that depend on what is read at once admitted or refused the same bytes.
BOOST_FIXTURE_TEST_CASE(limits_hold_however_the_bytes_are_split, Fixture)
{
  const std::string host = "POST /x HTTP/1.1\r\nhost: shop.example\r\n";
  const std::string wideField = "a: " + std::string(60U << 10U, 'x') + "\r\n";
  const std::string body(2U << 20U, 'x');
  const std::vector<std::pair<std::string, std::string>> cases{
    { host + wideField + wideField + "\r\n", "431" },
    { host + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "413" },
    { host + "transfer-encoding: chunked\r\n\r\n200000\r\n" + body, "413" },
  };
  for (const auto& [text, status] : cases) {
    for (const std::size_t segmentBytes : { 1'000U, 4'096U, 65'536U, 1'000'000U }) {
      ScriptedClient client(address_);
      std::string response;
      for (std::size_t at = 0; at < text.size(); at += segmentBytes) {
        (void)client.TryWrite(std::string_view(text).substr(at, segmentBytes));
        loop_.RunOnce(clock_.Now() + milliseconds(1));
        response += client.Read();
      }
      RunLoop(milliseconds(5));
      response += client.Read();
      BOOST_TEST(response.starts_with("HTTP/1.1 " + status), segmentBytes << " " << response);
    }
  }
  BOOST_TEST(requests_.empty());
}

// The beginning of HTTP/2 was tested at one split only.
BOOST_FIXTURE_TEST_CASE(http_2_begins_however_its_bytes_are_split, Fixture)
{
  const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
  const std::vector<std::pair<std::string, std::string>> cases{
    { "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings, std::string("\0\0", 2) },
    { "GET /1 HTTP/1.1\r\nhost: shop.example\r\nconnection: upgrade, http2-settings\r\n"
      "upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n",
      "HTTP/1.1 101" },
  };
  for (const auto& [text, begin] : cases) {
    for (const auto& segments : SplitEverywhere(text)) {
      ScriptedClient client(address_);
      WriteSegments(client, segments);
      RunLoop(milliseconds(3));
      BOOST_TEST(client.Read().starts_with(begin), JoinSegments(segments));
    }
  }
}

// Guards against callers over HTTP/2 that are lost: by prior knowledge and by upgrade.
BOOST_FIXTURE_TEST_CASE(http_2_is_still_served, Fixture)
{
  const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
  const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
  ScriptedClient direct(address_);
  direct.Write(preface.substr(0, 10));
  RunLoop(milliseconds(20));
  direct.Write(preface.substr(10) + settings);
  RunLoop(milliseconds(20));
  const auto frames = direct.Read();
  BOOST_REQUIRE(frames.size() >= 9U);
  BOOST_TEST(frames[3] == 4); // a SETTINGS frame

  ScriptedClient upgraded(address_);
  upgraded.Write("GET /1 HTTP/1.1\r\nhost: shop.example\r\nconnection: upgrade, http2-settings\r\n"
                 "upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n");
  RunLoop(milliseconds(20));
  BOOST_TEST(upgraded.Read().starts_with("HTTP/1.1 101"));
  direct.Close();
  upgraded.Close();
  RunLoop(milliseconds(50));
  BOOST_TEST(server_.Counters().openConnections_ == 0U);
}
