#define BOOST_TEST_MODULE intake_queue
#include "geraniumpin/process/intake_queue.hpp"

#include <boost/test/included/unit_test.hpp>

#include <deque>
#include <functional>
#include <random>

using namespace geraniumpin;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

HeldRequest
Make(std::uint32_t aRank, std::uint64_t aSequence, TimePoint aArrivedAt)
{
  return {
    .rank_ = aRank, .arrivedAt_ = aArrivedAt, .id_ = { 1, aSequence }, .maxWait_ = milliseconds(125)
  };
}

/// Processor time of the model: an arrival at an instance costs 2.7 ms (measured on deployment A,
/// docs/OVERLOAD.md). The cost of a refusal, a fiftieth, is an assumption of the model.
constexpr microseconds kRequestCost{ 2700 };
constexpr microseconds kRefusalCost{ 54 };
constexpr milliseconds kWork{ 190 };
constexpr milliseconds kTarget{ 500 };
constexpr milliseconds kTimeout{ 1500 };

struct Served
{
  double inTime_ = 0; ///< requests answered within their target, as a share of the capacity
  std::map<std::uint32_t, double> startedShare_{}; ///< of those started or refused, by rank
};

/// A node with one processor that handles requests one after the other. What arrives in the
/// meantime is read afterwards.
struct FakeProcessor
{
  double load_;             ///< as a share of the capacity
  std::uint32_t ranks_ = 1; ///< equal shares of the load
  Duration pauseEach_{};    ///< a pause of 90 % of this period: "quota used up"; zero: none
  std::uint64_t seed_ = 1;

  using Order = std::function<void(FakeProcessor&, TimePoint)>;

  void Spend(Duration aCost)
  {
    now_ += aCost;
    if (pauseEach_ == Duration{}) {
      return;
    }
    // A tenth of each period is processor time; what exceeds it is taken from the next period.
    const auto quota = pauseEach_ / 10;
    const auto enterPeriod = [&](std::int64_t aPeriod) {
      quotaUsed_ = std::max(Duration{}, quotaUsed_ - quota * (aPeriod - period_));
      period_ = aPeriod;
    };
    enterPeriod((now_ - kStart) / pauseEach_);
    quotaUsed_ += aCost;
    while (quotaUsed_ >= quota) {
      now_ = kStart + (period_ + 1) * pauseEach_;
      enterPeriod(period_ + 1);
    }
  }

  void Start(std::uint32_t aRank, TimePoint aArrivedAt)
  {
    Spend(kRequestCost);
    ++started_[aRank];
    inTime_ += now_ + kWork - aArrivedAt <= kTarget ? 1 : 0;
  }

  Served Run(bool aWithQueue)
  {
    constexpr std::chrono::seconds kTime{ 20 };
    std::mt19937_64 random(seed_);
    const double scale = pauseEach_ > Duration{} ? 0.1 : 1;
    const double capacity =
      scale * std::chrono::duration<double>(kTime) / std::chrono::duration<double>(kRequestCost);
    std::exponential_distribution<double> gap(capacity * load_ /
                                              std::chrono::duration<double>(kTime).count());
    IntakeQueue queue;
    std::deque<HeldRequest> fifo;
    auto arrival = kStart;
    std::uint64_t sequence = 0;
    std::map<std::uint32_t, double> refused;
    now_ = kStart;
    while (now_ < kStart + kTime) {
      for (; arrival <= now_; arrival += std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(gap(random)))) {
        const auto rank = static_cast<std::uint32_t>(random() % ranks_);
        const auto request = Make(rank, ++sequence, arrival);
        aWithQueue ? queue.Push(request) : fifo.push_back(request);
      }
      if (aWithQueue) {
        for (const auto& late : queue.TakeLate(now_)) {
          ++refused[late.rank_];
          Spend(kRefusalCost);
        }
        if (const auto next = queue.TakeNext(now_)) {
          Start(next->rank_, next->arrivedAt_);
        } else {
          now_ = std::max(now_, arrival);
        }
      } else if (!fifo.empty()) {
        const auto next = fifo.front();
        fifo.pop_front();
        if (now_ - next.arrivedAt_ >= kTimeout) {
          Spend(kRefusalCost);
        } else {
          Start(next.rank_, next.arrivedAt_);
        }
      } else {
        now_ = std::max(now_, arrival);
      }
    }
    Served served{ .inTime_ = inTime_ / capacity };
    for (const auto& [rank, count] : started_) {
      served.startedShare_[rank] = count / (count + refused[rank]);
    }
    return served;
  }

  TimePoint now_{};
  std::int64_t period_ = 0;
  Duration quotaUsed_{}; ///< in this period
  double inTime_ = 0;
  std::map<std::uint32_t, double> started_{};
};

double
FindPeak(Duration aPauseEach, bool aWithQueue)
{
  double peak = 0;
  for (const double load : { 0.7, 0.8, 0.9, 1.0, 1.1, 1.5, 2.0, 4.0 }) {
    peak = std::max(
      peak, FakeProcessor{ .load_ = load, .pauseEach_ = aPauseEach }.Run(aWithQueue).inTime_);
  }
  return peak;
}

} // namespace

// Guards against starting a burst of less urgent requests before an urgent one that was read later.
BOOST_AUTO_TEST_CASE(burst_of_a_less_urgent_class_waits_behind_an_urgent_request)
{
  IntakeQueue queue;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    queue.Push(Make(5, i, kStart));
  }
  queue.Push(Make(1, 11, kStart + milliseconds(2)));
  BOOST_TEST(queue.TakeNext(kStart + milliseconds(3))->id_.sequence_ == 11U);
  BOOST_TEST(queue.TakeNext(kStart + milliseconds(3))->id_.sequence_ == 1U);
}

// Guards against serving a request whose caller gets it too late.
BOOST_AUTO_TEST_CASE(load_beyond_the_processor_share_refuses_what_has_waited_too_long)
{
  IntakeQueue queue;
  queue.Push(Make(1, 1, kStart));
  queue.Push(Make(1, 2, kStart + milliseconds(50)));
  const auto late = queue.TakeLate(kStart + milliseconds(126));
  BOOST_REQUIRE(late.size() == 1U);
  BOOST_TEST(late.front().id_.sequence_ == 1U);
  BOOST_TEST(queue.Size() == 1U);
}

// Guards against refusals on a node that merely waited for its next quota.
BOOST_AUTO_TEST_CASE(quota_used_up_for_one_period_refuses_nothing)
{
  BOOST_TEST((ComputeMaxIntakeWait(milliseconds(200), kTimeout) == Duration(kMinIntakeWait)));
  BOOST_TEST((ComputeMaxIntakeWait(kTarget, kTimeout) == Duration(milliseconds(125))));
  BOOST_TEST((ComputeMaxIntakeWait({}, kTimeout) == Duration(milliseconds(375))));
  IntakeQueue queue;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    queue.Push(Make(1, i, kStart));
  }
  BOOST_TEST(queue.TakeLate(kStart + milliseconds(90)).empty());
}

// Guards against refusing an urgent request with a short target while a less urgent one with a long
// target is served.
BOOST_AUTO_TEST_CASE(quota_used_up_refuses_the_less_urgent_wherever_it_refuses_the_urgent)
{
  IntakeQueue queue;
  queue.Push(Make(1, 1, kStart));
  auto patient = Make(5, 2, kStart);
  patient.maxWait_ = milliseconds(500);
  queue.Push(patient);
  BOOST_TEST(queue.TakeLate(kStart + milliseconds(200)).size() == 2U);
}

// Guards against work for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_is_not_started)
{
  IntakeQueue queue;
  queue.Push(Make(1, 1, kStart));
  BOOST_TEST(queue.Remove({ 1, 1 }));
  BOOST_TEST(!queue.Remove({ 1, 1 }));
  BOOST_TEST(!queue.TakeNext(kStart).has_value());
}

// Guards against callers that do not honour the Retry-After because it is too long, and against
// callers that all return at the same time.
BOOST_AUTO_TEST_CASE(load_beyond_the_processor_share_spreads_the_return_of_callers)
{
  for (const auto& [target, remaining] : { std::pair{ milliseconds(500), milliseconds(1375) },
                                           std::pair{ milliseconds(2000), milliseconds(2000) },
                                           std::pair{ milliseconds(0), milliseconds(900) } }) {
    const auto first = ComputeIntakeRetryAfter(target, remaining, 0);
    const auto last = ComputeIntakeRetryAfter(target, remaining, 1);
    BOOST_TEST(first.count() > 0);
    BOOST_TEST((last >= 2 * first));
    BOOST_TEST((last <= Duration(remaining) / 3));
  }
  BOOST_TEST((ComputeIntakeRetryAfter(kTarget, milliseconds(-5), 1) == Duration{}));
}

// Guards against a collapse under overload, as with the order before: first come, first served
// until the deadline.
BOOST_AUTO_TEST_CASE(load_beyond_the_processor_share_keeps_what_is_answered_in_time)
{
  const auto peak = FindPeak({}, true);
  const auto peakBefore = FindPeak({}, false);
  for (const double load : { 1.5, 2.0, 4.0 }) {
    const auto now = FakeProcessor{ .load_ = load }.Run(true).inTime_;
    const auto before = FakeProcessor{ .load_ = load }.Run(false).inTime_;
    BOOST_TEST_MESSAGE("load " << load << ": " << now << " of " << peak << ", order before "
                               << before << " of " << peakBefore);
    BOOST_TEST(now >= 0.9 * peak);
    BOOST_TEST(before < 0.9 * peakBefore);
  }
}

// The same on a machine whose processor share is a quota of each tenth of a second.
BOOST_AUTO_TEST_CASE(quota_used_up_keeps_what_is_answered_in_time)
{
  const auto peak = FindPeak(milliseconds(100), true);
  for (const double load : { 1.5, 2.0, 4.0 }) {
    const auto now =
      FakeProcessor{ .load_ = load, .pauseEach_ = milliseconds(100) }.Run(true).inTime_;
    BOOST_TEST_MESSAGE("quota, load " << load << ": " << now << " of " << peak);
    BOOST_TEST(now >= 0.9 * peak);
  }
}

// Guards against serving a less urgent class more often, and against starving it.
BOOST_AUTO_TEST_CASE(load_beyond_the_processor_share_is_refused_by_rank_and_starves_no_class)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const double load : { 1.2, 1.5, 2.0, 4.0 }) {
      FakeProcessor processor{ .load_ = load, .ranks_ = 3, .seed_ = seed };
      const auto served = processor.Run(true);
      const auto& share = served.startedShare_;
      BOOST_TEST_CONTEXT("seed " << seed << ", load " << load)
      {
        BOOST_TEST(share.at(0) >= share.at(1));
        BOOST_TEST(share.at(1) >= share.at(2));
        const auto all = (share.at(0) + share.at(1) + share.at(2)) / 3;
        BOOST_TEST(share.at(2) >= 0.25 * all);
      }
    }
  }
}

// Guards against refusals while there is capacity.
BOOST_AUTO_TEST_CASE(load_within_the_processor_share_is_not_refused)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeProcessor processor{ .load_ = 0.7, .ranks_ = 3, .seed_ = seed };
    const auto served = processor.Run(true);
    for (const auto& [rank, share] : served.startedShare_) {
      BOOST_TEST(share == 1);
    }
  }
}
