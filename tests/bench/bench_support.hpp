#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace geraniumpin::bench {

/// \brief Runs actions in the order of a fake clock.
class Timeline
{
public:
  void Schedule(TimePoint aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, ++sequence_, std::move(aAction) });
  }
  void Run()
  {
    while (!events_.empty()) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.action_();
    }
  }
  [[nodiscard]] TimePoint Now() const noexcept { return now_; }

private:
  struct Event
  {
    TimePoint at_;
    std::uint64_t sequence_;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at_, aOther.sequence_) < std::tie(at_, sequence_);
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t sequence_ = 0;
  TimePoint now_{};
};

/// \brief A token bucket that refills continuously.
class TokenBucket
{
public:
  TokenBucket(double aRate, double aBurst)
    : rate_(aRate)
    , burst_(aBurst)
    , level_(aBurst)
  {
  }
  bool TryTake(TimePoint aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - last_;
    level_ = std::min(burst_, level_ + rate_ * elapsed.count());
    last_ = aNow;
    if (level_ < 1) {
      return false;
    }
    level_ -= 1;
    return true;
  }

private:
  double rate_;
  double burst_;
  double level_;
  TimePoint last_{};
};

/// \brief Returns a quantile of the values, 0 if there are none.
/// \param aFraction Between 0 and 1; 0.5 is the median.
inline double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size()));
  return aValues[std::min(index, aValues.size() - 1)];
}

/// \brief Converts seconds to a Duration.
inline Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace geraniumpin::bench
