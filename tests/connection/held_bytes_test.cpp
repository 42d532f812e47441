#define BOOST_TEST_MODULE held_bytes
#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/system_clock.hpp"

#include <boost/test/included/unit_test.hpp>

#include "../support/scripted_client.hpp"

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kBodyBytes = 100000; // above the size of a small body
constexpr std::size_t kMinBytesPerSecond = 1000;

/// A server whose memory holds one body of kBodyBytes.
struct Fixture
{
  void RunLoop(milliseconds aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      loop_.RunOnce(end);
    }
  }

  /// The header of a request with a body, and its first byte.
  static std::string BeginPost(std::size_t aBytes)
  {
    return "POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: " + std::to_string(aBytes) +
           "\r\n\r\nx";
  }

  SystemClock clock_;
  EventLoop loop_;
  NodeAddress address_ = FindFreeAddress();
  MemoryBudget budget_{ MemoryBudget::BodyCost(kBodyBytes) };
  std::vector<ExchangeId> requests_;
  HttpServer server_{ loop_,
                      address_,
                      kBodyBytes,
                      { [this](ExchangeId aId, const HttpRequest&) { requests_.push_back(aId); },
                        [](ExchangeId) {},
                        [](const RequestTarget&) { return false; } },
                      PipelineLimits{},
                      { &budget_, { milliseconds(1000), kMinBytesPerSecond } } };
};

} // namespace

// Guards against memory beyond the budget: a body is counted as soon as its length is read.
BOOST_FIXTURE_TEST_CASE(a_body_without_room_is_refused_and_its_connection_closed, Fixture)
{
  ScriptedClient first(address_);
  first.Write(BeginPost(kBodyBytes));
  RunLoop(milliseconds(20));
  BOOST_TEST(budget_.HeldBytes() == budget_.Capacity());
  ScriptedClient second(address_);
  second.Write(BeginPost(kBodyBytes));
  RunLoop(milliseconds(20));
  BOOST_TEST(second.Read().starts_with("HTTP/1.1 503 "));
  BOOST_TEST(second.IsClosedByServer());
  BOOST_TEST(server_.Counters().bodiesRefused_ == 1U);
  first.Write(std::string(kBodyBytes - 1, 'x'));
  RunLoop(milliseconds(20));
  BOOST_TEST(requests_.size() == 1U);
}

// Guards against a small request that finds no room because of a large one that is incomplete.
BOOST_FIXTURE_TEST_CASE(a_small_body_takes_the_room_of_a_large_incomplete_one, Fixture)
{
  ScriptedClient large(address_);
  large.Write(BeginPost(kBodyBytes));
  RunLoop(milliseconds(20));
  ScriptedClient small(address_);
  small.Write(BeginPost(2) + "x");
  RunLoop(milliseconds(20));
  BOOST_TEST(requests_.size() == 1U);
  BOOST_TEST(large.IsClosedByServer());
  BOOST_TEST(server_.Counters().connectionsClosed_ == 1U);
}

// Guards against memory that leaks: it is held until the response, and then free.
BOOST_FIXTURE_TEST_CASE(a_body_is_held_until_its_response, Fixture)
{
  ScriptedClient client(address_);
  client.Write(BeginPost(2) + "x");
  RunLoop(milliseconds(20));
  BOOST_TEST(budget_.HeldBytes() == MemoryBudget::BodyCost(2));
  server_.Respond(requests_.at(0), { .status_ = 200, .headers_ = {}, .body_ = MakeBody("ok") });
  RunLoop(milliseconds(20));
  BOOST_TEST(budget_.HeldBytes() == 0U);
}

// Guards against a body that stops arriving and holds its memory until the request times out.
BOOST_FIXTURE_TEST_CASE(a_body_that_stops_ends_by_time, Fixture)
{
  ScriptedClient client(address_);
  client.Write(BeginPost(kBodyBytes));
  RunLoop(milliseconds(2500));
  BOOST_TEST(client.IsClosedByServer());
  BOOST_TEST(server_.Counters().bodiesTimedOut_ == 1U);
  BOOST_TEST(budget_.HeldBytes() == 0U);
}
