#define BOOST_TEST_MODULE event_loop
#include "../../src/adapters/process/event_loop.hpp"
#include "../../src/adapters/process/system_clock.hpp"

#include <array>
#include <boost/test/included/unit_test.hpp>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

/// A pipe whose reading end the loop watches.
struct Fixture
{
  Fixture()
  {
    BOOST_REQUIRE(pipe(ends_.data()) == 0);
    watch_.emplace(loop_, ends_[0], [this] {
      char byte = 0;
      BOOST_REQUIRE(read(ends_[0], &byte, 1) == 1);
      arrival_ = loop_.EarliestArrival();
      std::this_thread::sleep_for(handlingTime_);
    });
  }
  ~Fixture()
  {
    watch_.reset();
    close(ends_[0]);
    close(ends_[1]);
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  /// Runs one turn and returns the arrival that it found.
  TimePoint RunUntilRead()
  {
    arrival_.reset();
    for (int i = 0; i < 100 && !arrival_; ++i) {
      loop_.RunOnce(clock_.Now() + milliseconds(500));
    }
    BOOST_REQUIRE(arrival_.has_value());
    return *arrival_;
  }

  SystemClock clock_;
  EventLoop loop_;
  std::array<int, 2> ends_{};
  std::optional<FdWatch> watch_;
  std::optional<TimePoint> arrival_;
  milliseconds handlingTime_{ 0 };
};

} // namespace

// A request that waited unread for a second got its whole time limit from when it was read, and
// reached its instance after its caller had left.
BOOST_FIXTURE_TEST_CASE(data_that_arrives_during_a_long_turn_counts_from_that_turn, Fixture)
{
  BOOST_REQUIRE(write(ends_[1], "a", 1) == 1);
  handlingTime_ = milliseconds(80);
  const auto turnBeganAt = clock_.Now();
  std::thread writer([this] {
    std::this_thread::sleep_for(milliseconds(20));
    BOOST_REQUIRE(write(ends_[1], "b", 1) == 1);
  });
  RunUntilRead();
  writer.join();
  const auto turnEndedAt = clock_.Now();
  const auto arrival = RunUntilRead();
  BOOST_TEST((arrival >= turnBeganAt - milliseconds(2)));
  BOOST_TEST((arrival < turnEndedAt - milliseconds(50)));
}

BOOST_FIXTURE_TEST_CASE(data_that_wakes_the_loop_counts_from_its_arrival, Fixture)
{
  loop_.RunOnce(clock_.Now());
  TimePoint writtenAt;
  std::thread writer([&] {
    std::this_thread::sleep_for(milliseconds(60));
    writtenAt = clock_.Now();
    BOOST_REQUIRE(write(ends_[1], "a", 1) == 1);
  });
  const auto arrival = RunUntilRead();
  writer.join();
  BOOST_TEST((arrival >= writtenAt - milliseconds(2)));
}
