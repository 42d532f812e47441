#include "geraniumpin/process/owner_failure_detector.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

// Detection and one more attempt should fit into the target latency, which leaves about a third of
// it for the attempt.
constexpr std::chrono::milliseconds kShortest{ 100 };
constexpr std::chrono::milliseconds kLongest{ 400 };
constexpr double kMostShareUntilAsked = 0.4;
constexpr double kShareUntilSilent = 0.3;
constexpr double kExpectedMargin = 1.25; // over the usual time at the instance

Duration
Scaled(Duration aTime, double aFactor) noexcept
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace
} // namespace impl

SilenceLimits
SilenceLimitsOf(Duration aExpected, Duration aTarget) noexcept
{
  const auto within = [&](double aShare) {
    return std::clamp<Duration>(
      impl::Scaled(aTarget, aShare), impl::kShortest, Duration(impl::kLongest));
  };
  const auto expected = impl::Scaled(aExpected, impl::kExpectedMargin);
  return { .untilAsked_ =
             std::clamp<Duration>(expected, impl::kShortest, within(impl::kMostShareUntilAsked)),
           .untilSilent_ = within(impl::kShareUntilSilent) };
}

void
SilenceWatch::Begin(const CallId& aId, TimePoint aAt)
{
  End(aId);
  planned_.emplace(aId, aAt);
  order_.emplace(aAt, aId);
}

void
SilenceWatch::End(const CallId& aId)
{
  const auto planned = planned_.find(aId);
  if (planned != planned_.end()) {
    order_.erase({ planned->second, aId });
    planned_.erase(planned);
  }
}

std::vector<CallId>
SilenceWatch::TakeDue(TimePoint aNow)
{
  std::vector<CallId> due;
  while (!order_.empty() && order_.begin()->first <= aNow) {
    due.push_back(order_.begin()->second);
    End(due.back());
  }
  return due;
}

SilenceStep
SilenceWatch::Judge(const NodeAddress& aOwner, const Facts& aFacts, TimePoint aNow)
{
  const auto asked = askedAt_.find(aOwner);
  if (aFacts.heard_) {
    if (asked != askedAt_.end()) {
      askedAt_.erase(asked);
    }
    return SilenceStep::Wait;
  }
  // An answered question says nothing about a request that was sent later.
  if (asked == askedAt_.end() || asked->second < aFacts.sentAt_) {
    askedAt_.insert_or_assign(aOwner, aNow);
    return SilenceStep::Ask;
  }
  if (aNow - asked->second < aFacts.untilSilent_) {
    return SilenceStep::Wait;
  }
  askedAt_.erase(asked);
  return SilenceStep::Silent;
}

std::optional<TimePoint>
SilenceWatch::NextDeadline() const
{
  return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
}

} // namespace geraniumpin
