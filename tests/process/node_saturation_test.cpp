#define BOOST_TEST_MODULE node_saturation
#include "geraniumpin/process/node_saturation.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
constexpr MachineLimits kMachine{ .linkBitsPerSecond_ = 10'000'000, .processorShare_ = 0.1 };
constexpr MachineLimits kUnknown{};

/// The processor time that a test sets.
struct FakeProcessorClock
{
  [[nodiscard]] Duration Used() const noexcept { return used_; }
  Duration used_{};
};

/// Repeats the same turn every 10 ms.
NodeSaturation
Repeat(NodeSaturation aSaturation,
       const SaturationInputs& aInputs,
       const MachineLimits& aMachine,
       TimePoint& aNow,
       Duration aTime)
{
  for (const auto end = aNow + aTime; aNow < end;) {
    aNow += milliseconds(10);
    aSaturation = aSaturation.AfterTurn(aInputs, aMachine, aNow);
  }
  return aSaturation;
}

} // namespace

// Guards against a level that peers see only after seconds.
BOOST_AUTO_TEST_CASE(load_beyond_the_processor_share_raises_the_level_within_some_hundred_ms)
{
  auto now = kStart;
  const auto before = NodeSaturation().AfterTurn({}, kMachine, now);
  const auto after = Repeat(before, { .coresUsed_ = 0.1 }, kMachine, now, milliseconds(300));
  BOOST_TEST(before.Level(now) == 0);
  BOOST_TEST(after.Level(now) > 0.9);
}

// Guards against a node that is avoided long after its overload ended.
BOOST_AUTO_TEST_CASE(end_of_the_overload_lowers_the_level_within_some_hundred_ms)
{
  auto now = kStart;
  const auto full = Repeat({}, { .coresUsed_ = 0.1 }, kMachine, now, milliseconds(500));
  auto idle = now;
  const auto working = Repeat(full, { .coresUsed_ = 0.02 }, kMachine, idle, milliseconds(300));
  BOOST_TEST(working.Level(idle) < 0.1);
  BOOST_TEST(full.Level(now + milliseconds(300)) < 0.1); // without any turn
}

// Guards against a node without processor_share that notices nothing.
BOOST_AUTO_TEST_CASE(quota_used_up_raises_the_level_by_the_waits_alone)
{
  auto now = kStart;
  const SaturationInputs inputs{ .wait_ = milliseconds(200), .coresUsed_ = 0.1 };
  const auto after = Repeat({}, inputs, kUnknown, now, milliseconds(400));
  BOOST_TEST(after.Level(now) > 0.9);
  auto other = kStart;
  const auto withoutWaits = Repeat({}, { .coresUsed_ = 5 }, kUnknown, other, milliseconds(400));
  BOOST_TEST(withoutWaits.Level(other) == 0);
}

// Guards against avoiding a node for the pauses that a quota makes at a moderate load.
BOOST_AUTO_TEST_CASE(waits_of_some_milliseconds_are_not_saturation)
{
  auto now = kStart;
  const SaturationInputs inputs{ .wait_ = milliseconds(15),
                                 .turn_ = milliseconds(30),
                                 .coresUsed_ = 0.06 };
  BOOST_TEST(Repeat({}, inputs, kMachine, now, milliseconds(500)).Level(now) == 0);
}

// Guards against one late message after an idle time that counts for the whole idle time.
BOOST_AUTO_TEST_CASE(one_late_request_after_an_idle_time_is_not_saturation)
{
  const auto before = NodeSaturation().AfterTurn({}, kMachine, kStart);
  const auto now = kStart + std::chrono::seconds(10);
  const auto after = before.AfterTurn({ .wait_ = milliseconds(40) }, kMachine, now);
  BOOST_TEST(after.Level(now) < 0.1);
}

// Guards against a node that looks free while its link is busy: 10 Mbit/s carry 1.25 MB/s.
BOOST_AUTO_TEST_CASE(burst_of_large_bodies_on_the_link_raises_the_level)
{
  auto now = kStart;
  const SaturationInputs inputs{ .turn_ = milliseconds(1), .queuedLinkBytes_ = 500'000 };
  BOOST_TEST(Repeat({}, inputs, kMachine, now, milliseconds(400)).Level(now) > 0.1);
  auto other = kStart;
  BOOST_TEST(Repeat({}, inputs, kUnknown, other, milliseconds(400)).Level(other) == 0);
}

// Guards against a level outside its range for any order of inputs.
BOOST_AUTO_TEST_CASE(the_level_is_from_0_to_1)
{
  NodeSaturation saturation;
  auto now = kStart;
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds((i * 37) % 400);
    saturation =
      saturation.AfterTurn({ .wait_ = milliseconds((i * 53) % 3000),
                             .turn_ = milliseconds((i * 71) % 900),
                             .coresUsed_ = (i % 17) * 0.02,
                             .queuedLinkBytes_ = static_cast<std::uint64_t>(i % 5) * 1'000'000 },
                           kMachine,
                           now);
    BOOST_TEST(saturation.Level(now) >= 0);
    BOOST_TEST(saturation.Level(now) <= 1);
  }
}

// Guards against samples that are shorter than the period of a quota.
BOOST_AUTO_TEST_CASE(the_processor_time_is_measured_over_a_tenth_of_a_second)
{
  FakeProcessorClock clock;
  ProcessorMeter<FakeProcessorClock> meter(clock);
  BOOST_TEST(!meter.Sample(kStart).has_value());
  clock.used_ = milliseconds(10);
  BOOST_TEST(!meter.Sample(kStart + milliseconds(50)).has_value());
  const auto cores = meter.Sample(kStart + milliseconds(100));
  BOOST_REQUIRE(cores.has_value());
  BOOST_TEST(std::abs(*cores - 0.1) < 1e-9);
}
