#define BOOST_TEST_MODULE request_pipeline
#include "geraniumpin/connection/request_pipeline.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>
#include <set>

using namespace geraniumpin;

namespace {

using Pipeline = RequestPipeline<int>;

} // namespace

BOOST_AUTO_TEST_CASE(the_load_of_pipelined_lookups_runs_side_by_side_up_to_the_limit)
{
  Pipeline pipeline({ .maxRequests_ = 3 });
  for (const std::uint64_t id : { 1U, 2U, 3U }) {
    BOOST_TEST((pipeline.Evaluate(true) == StartDecision::Start));
    pipeline.OnStarted(id, true, true);
  }
  BOOST_TEST((pipeline.Evaluate(true) == StartDecision::Wait));
  pipeline.OnResponse(2, 20, 1);
  BOOST_TEST(pipeline.TakeSendable().empty());
  pipeline.OnResponse(1, 10, 1);
  const auto sendable = pipeline.TakeSendable();
  BOOST_REQUIRE(sendable.size() == 2U);
  BOOST_TEST(sendable[0].response_ == 10);
  BOOST_TEST(sendable[1].response_ == 20);
  BOOST_TEST((pipeline.Evaluate(true) == StartDecision::Wait));
  pipeline.OnSent();
  BOOST_TEST((pipeline.Evaluate(true) == StartDecision::Start));
}

BOOST_AUTO_TEST_CASE(bytes_of_waiting_responses_hold_back_the_next_request)
{
  Pipeline pipeline({ .maxResponseBytes_ = 100 });
  pipeline.OnStarted(1, true, true);
  pipeline.OnStarted(2, true, true);
  pipeline.OnResponse(2, 0, 101);
  BOOST_TEST((pipeline.Evaluate(true) == StartDecision::Wait));
  pipeline.OnResponse(1, 0, 1);
  BOOST_TEST(pipeline.TakeSendable().size() == 2U);
  pipeline.OnSent();
  BOOST_TEST((pipeline.Evaluate(true) == StartDecision::Start));
}

BOOST_AUTO_TEST_CASE(a_second_response_to_a_request_has_no_effect)
{
  Pipeline pipeline({});
  pipeline.OnStarted(1, true, true);
  pipeline.OnResponse(1, 10, 1);
  pipeline.OnResponse(1, 11, 1);
  pipeline.OnResponse(7, 12, 1);
  const auto sendable = pipeline.TakeSendable();
  BOOST_REQUIRE(sendable.size() == 1U);
  BOOST_TEST(sendable[0].response_ == 10);
}

// Random requests, responses, writes and a stop: responses leave in order, only requests that may
// run ahead run beside others, and nothing starts behind the last request.
BOOST_AUTO_TEST_CASE(order_and_concurrency_hold_for_random_events)
{
  for (unsigned seed = 1; seed <= 500; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed);
      const PipelineLimits limits{ .maxRequests_ = 1 + random() % 6, .maxResponseBytes_ = 50 };
      Pipeline pipeline(limits);
      std::vector<std::pair<std::uint64_t, bool>> running;
      std::size_t unsent = 0;
      std::uint64_t nextId = 1;
      std::uint64_t nextSent = 1;
      bool hasLast = false;
      bool isEnding = false;
      bool lastWasSent = false;
      for (int step = 0; step < 300; ++step) {
        switch (random() % 8) {
          case 0:
          case 1:
          case 2: {
            const bool mayRunAhead = random() % 4 != 0;
            const bool keepsAlive = random() % 40 != 0;
            const auto decision = pipeline.Evaluate(mayRunAhead);
            if (hasLast) {
              BOOST_REQUIRE((decision == StartDecision::Never));
            }
            if (decision != StartDecision::Start) {
              break;
            }
            const bool allAhead =
              mayRunAhead && std::all_of(running.begin(), running.end(), [](const auto& aEntry) {
                return aEntry.second;
              });
            BOOST_REQUIRE((running.empty() || allAhead));
            BOOST_REQUIRE(unsent < limits.maxRequests_);
            pipeline.OnStarted(nextId, mayRunAhead, keepsAlive);
            running.emplace_back(nextId++, mayRunAhead);
            ++unsent;
            hasLast = isEnding || !keepsAlive;
            break;
          }
          case 3:
          case 4:
          case 5:
            if (!running.empty()) {
              const auto index = random() % running.size();
              pipeline.OnResponse(running[index].first, static_cast<int>(running[index].first), 10);
              running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
            }
            break;
          case 6:
            for (const auto& sendable : pipeline.TakeSendable()) {
              BOOST_REQUIRE(!lastWasSent);
              BOOST_REQUIRE(sendable.id_ == nextSent);
              BOOST_REQUIRE(sendable.response_ == static_cast<int>(nextSent));
              ++nextSent;
              lastWasSent = sendable.isLast_;
            }
            pipeline.OnSent();
            unsent = nextId - nextSent;
            BOOST_REQUIRE(lastWasSent == pipeline.HasEnded());
            break;
          default:
            if (random() % 20 == 0) {
              pipeline.BeginEnding();
              isEnding = true;
              hasLast = hasLast || unsent > 0;
            }
        }
      }
    }
  }
}
