#define BOOST_TEST_MODULE http_client
#include "../support/http_client_fixture.hpp"
#include "../support/http_splits.hpp"
#include "../support/silenced_server.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

using Fixture = HttpClientFixture;

BOOST_FIXTURE_TEST_CASE(a_connection_serves_several_requests, Fixture)
{
  for (const std::string id : { "a", "b", "c" }) {
    const auto result = Send(id);
    server_.Write(AnswerTo(id, "body " + id));
    RunLoop(5);
    BOOST_REQUIRE(result->has_value());
    BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
    BOOST_TEST(*(*result)->response_.body_ == "body " + id);
  }
  BOOST_TEST(server_.AcceptedCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_to_an_earlier_request_is_dropped, Fixture)
{
  const auto result = Send("b");
  server_.Write(AnswerTo("a", "not yours"));
  RunLoop(5);
  BOOST_TEST(!result->has_value());
  server_.Write(AnswerTo("b", "yours"));
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(*(*result)->response_.body_ == "yours");
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_length_is_complete_only_if_its_connection_ends_in_order,
                        Fixture)
{
  const std::string head = "HTTP/1.1 200 OK\r\nid: a\r\nconnection: close\r\n\r\nsome bytes";
  const auto ended = Send("a");
  server_.Write(head);
  RunLoop(3);
  server_.CloseConnection();
  RunLoop(5);
  BOOST_REQUIRE(ended->has_value());
  BOOST_TEST(((*ended)->outcome_ == HttpOutcome::Complete));
  BOOST_TEST(*(*ended)->response_.body_ == "some bytes");

  const auto reset = Send("a");
  server_.Write(head);
  RunLoop(3);
  server_.ResetConnection();
  RunLoop(5);
  BOOST_REQUIRE(reset->has_value());
  BOOST_TEST(((*reset)->outcome_ == HttpOutcome::Broken));
}

BOOST_FIXTURE_TEST_CASE(a_cut_answer_is_broken, Fixture)
{
  const auto result = Send("a");
  server_.Write("HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 100\r\n\r\nhalf");
  RunLoop(3);
  server_.CloseConnection();
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken));
}

BOOST_FIXTURE_TEST_CASE(bytes_after_an_answer_close_the_connection, Fixture)
{
  const auto first = Send("a");
  server_.Write(AnswerTo("a", "one") + AnswerTo("a", "two"));
  RunLoop(5);
  BOOST_REQUIRE(first->has_value());
  BOOST_TEST(*(*first)->response_.body_ == "one");
  const auto second = Send("b");
  BOOST_TEST(server_.AcceptedCount() == 2);
  server_.Write(AnswerTo("b", "fresh"));
  RunLoop(5);
  BOOST_TEST(*(*second)->response_.body_ == "fresh");
}

BOOST_FIXTURE_TEST_CASE(bytes_on_an_idle_connection_close_it, Fixture)
{
  const auto first = Send("a");
  server_.Write(AnswerTo("a", "one"));
  RunLoop(5);
  BOOST_REQUIRE(first->has_value());
  server_.Write(AnswerTo("b", "unasked"));
  RunLoop(5);
  const auto second = Send("b");
  BOOST_TEST(server_.AcceptedCount() == 2);
  BOOST_TEST(!second->has_value());
}

BOOST_FIXTURE_TEST_CASE(malformed_http_is_reported_as_broken, Fixture)
{
  const auto result = Send("a");
  server_.Write("\x01\x02 nonsense\r\n\r\n");
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken));
}

BOOST_FIXTURE_TEST_CASE(an_early_answer_leaves_the_rest_of_the_body_to_be_sent, Fixture)
{
  const std::string body(8U << 20U, 'x');
  const auto result = Send("a", body);
  server_.Write(AnswerTo("a", "enough"));
  RunLoop(5);
  BOOST_REQUIRE(result->has_value());
  BOOST_TEST(*(*result)->response_.body_ == "enough");
  // The server reads on and must receive nothing but the body.
  std::size_t rest = 0;
  for (int i = 0; i < 2000 && rest < body.size(); ++i) {
    const auto text = server_.Read();
    BOOST_REQUIRE(text.find_first_not_of('x') == std::string::npos);
    rest += text.size();
    RunLoop();
  }
  BOOST_TEST(rest > body.size() / 2);
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_exchange_closes_its_connection_without_a_callback, Fixture)
{
  const auto result = Send("a");
  client_.Cancel(last_);
  RunLoop(3);
  BOOST_TEST(!result->has_value());
  server_.Write("x"); // the first write after the close may still succeed
  RunLoop(3);
  BOOST_TEST(server_.Read().empty());
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_is_reported_from_the_loop, Fixture)
{
  std::optional<HttpOutcome> end;
  const HttpRequest request{ .method_ = "GET", .path_ = "/" };
  client_.Start(*NodeAddress::Parse("127.0.0.1:1"), request, {}, [&](const HttpResult& aResult) {
    end = aResult.outcome_;
  });
  BOOST_TEST(!end.has_value());
  RunLoop(5);
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end == HttpOutcome::ConnectFailed));
}

// A server that stops within the head of its response must not seem to have answered.
BOOST_FIXTURE_TEST_CASE(a_response_that_ends_within_its_head_is_broken, Fixture)
{
  const std::string head = "HTTP/1.1 200 OK\r\nid: a\r\nconnection: close\r\n\r\n";
  for (const bool reset : { false, true }) {
    for (std::size_t length = 0; length < head.size(); ++length) {
      const auto result = Send("a");
      if (length > 0) {
        server_.Write(head.substr(0, length));
      }
      RunLoop(1);
      reset ? server_.ResetConnection() : server_.CloseConnection();
      RunLoop(3);
      BOOST_REQUIRE_MESSAGE(result->has_value(), length);
      BOOST_TEST(((*result)->outcome_ == HttpOutcome::Broken), length);
    }
  }
}

// Guards against a response that is read differently if its bytes arrive in other segments.
BOOST_FIXTURE_TEST_CASE(a_response_is_the_same_however_its_bytes_are_split, Fixture)
{
  struct Sample
  {
    std::string text_;
    int status_;
    std::string body_;
    bool endsConnection_ = false;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\nid: a\r\n";
  const std::string chunked = ok + "transfer-encoding: chunked\r\n\r\n";
  const std::vector<Sample> samples{
    { ok + "content-length: 4\r\n\r\nbody", 200, "body" },
    { ok + "content-length: 0\r\n\r\n", 200, "" },
    { ok + "content-length: 6\r\n\r\n\r\n\r\nab", 200, "\r\n\r\nab" },
    { "HTTP/1.1 204 No Content\r\nid: a\r\n\r\n", 204, "" },
    { chunked + "3\r\nabc\r\n0a\r\n0123456789\r\n0\r\n\r\n", 200, "abc0123456789" },
    { chunked + "2;x=y\r\n\r\n\r\n0\r\nt: 1\r\n\r\n", 200, "\r\n" },
    { chunked + "0\r\n\r\n", 200, "" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" +
        AnswerTo("a", "b"),
      200,
      "b" },
    { AnswerTo("z", "not yours") + AnswerTo("a", "yours"), 200, "yours" },
    { ok + "connection: close\r\n\r\nsome bytes", 200, "some bytes", true },
    { ok + "connection: close\r\n\r\n", 200, "", true },
    { "HTTP/1.0 200 OK\r\nid: a\r\n\r\nsome bytes", 200, "some bytes", true },
  };
  for (const auto& sample : samples) {
    for (const auto& segments : SplitEverywhere(sample.text_)) {
      BOOST_TEST_CONTEXT("segments " << JoinSegments(segments))
      {
        const auto result = Send("a");
        for (const auto& segment : segments) {
          BOOST_TEST(!result->has_value());
          server_.Write(segment);
          loop_.RunOnce(clock_.Now() + milliseconds(1));
        }
        if (sample.endsConnection_) {
          server_.CloseConnection();
        }
        for (int i = 0; i < 100 && !result->has_value(); ++i) {
          loop_.RunOnce(clock_.Now() + milliseconds(1));
        }
        BOOST_REQUIRE(result->has_value());
        BOOST_TEST(((*result)->outcome_ == HttpOutcome::Complete));
        BOOST_TEST((*result)->response_.status_ == sample.status_);
        const auto& body = (*result)->response_.body_;
        BOOST_TEST((body ? *body : std::string()) == sample.body_);
      }
    }
  }
}

// Guards against silent connections to a backend server that are noticed one by one: each idle one
// took a request until its deadline.
BOOST_AUTO_TEST_CASE(silent_connections_cost_one_request_whatever_their_number)
{
  for (const int connections : { 1, 2, 6, 40 }) {
    BOOST_TEST_CONTEXT(connections << " connections")
    {
      SystemClock clock;
      EventLoop loop;
      SilencedServer server;
      HttpClient client{ loop, { milliseconds(4000), 1U << 20U } };
      int answered = 0;
      const auto start = [&] {
        return client.Start(
          server.Address(),
          { .method_ = "GET", .host_ = "h", .path_ = "/", .headers_ = {}, .body_ = {} },
          {},
          [&](const HttpResult& aResult) {
            answered += aResult.outcome_ == HttpOutcome::Complete ? 1 : 0;
          });
      };
      const auto run = [&](milliseconds aTime) {
        const auto end = clock.Now() + aTime;
        while (clock.Now() < end) {
          loop.RunOnce(clock.Now() + milliseconds(1));
          server.Answer();
        }
      };
      for (int i = 0; i < connections; ++i) {
        (void)start();
      }
      run(milliseconds(100));
      BOOST_REQUIRE(answered == connections);
      BOOST_REQUIRE(server.AcceptedCount() == connections);
      server.SilenceConnections();
      const auto lost = start();
      run(milliseconds(300)); // its deadline
      client.Cancel(lost);
      BOOST_TEST(answered == connections);
      for (int i = 0; i < connections; ++i) {
        (void)start();
      }
      run(milliseconds(100));
      BOOST_TEST(answered == 2 * connections);
    }
  }
}

// An instance that is slow with one request keeps its connections that have answered meanwhile.
BOOST_AUTO_TEST_CASE(a_cancelled_exchange_leaves_connections_that_answered_meanwhile)
{
  SystemClock clock;
  EventLoop loop;
  SilencedServer server;
  HttpClient client{ loop, { milliseconds(4000), 1U << 20U } };
  const HttpRequest request{
    .method_ = "GET", .host_ = "h", .path_ = "/", .headers_ = {}, .body_ = {}
  };
  int answered = 0;
  const auto count = [&](const HttpResult&) { ++answered; };
  const auto run = [&](milliseconds aTime) {
    const auto end = clock.Now() + aTime;
    while (clock.Now() < end) {
      loop.RunOnce(clock.Now() + milliseconds(1));
      server.Answer();
    }
  };
  const auto slow = client.Start(server.Address(), request, {}, count);
  loop.RunOnce(clock.Now() + milliseconds(20));
  server.AcceptWithoutAnswer();
  run(milliseconds(300));
  (void)client.Start(server.Address(), request, {}, count);
  run(milliseconds(50));
  BOOST_TEST(answered == 1);
  client.Cancel(slow);
  (void)client.Start(server.Address(), request, {}, count);
  run(milliseconds(50));
  BOOST_TEST(answered == 2);
  BOOST_TEST(server.AcceptedCount() == 2);
}

// A refusal of an earlier request that is written once more belongs to no later request.
BOOST_FIXTURE_TEST_CASE(a_repeated_refusal_of_an_earlier_request_is_dropped, Fixture)
{
  const auto refuse = [](const std::string& aId) {
    return "HTTP/1.1 503 Service Unavailable\r\nid: " + aId +
           "\r\nnot-started: true\r\ncontent-length: 0\r\n\r\n";
  };
  const auto first = Send("a");
  server_.Write(refuse("a"));
  RunLoop(10);
  BOOST_TEST((*first)->response_.status_ == 503);
  const auto second = Send("b");
  server_.Write(refuse("a"));
  RunLoop(10);
  BOOST_TEST(!second->has_value());
  server_.Write(AnswerTo("b", "yours"));
  RunLoop(10);
  BOOST_REQUIRE(second->has_value());
  BOOST_TEST((*second)->response_.status_ == 200);
  BOOST_TEST(server_.AcceptedCount() == 1);
}
