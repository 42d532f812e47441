#include "geraniumpin/process/owner_failure_detector.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

// Detection and another attempt should fit into the target latency: the two shares leave about a
// third of it for the attempt.
constexpr std::chrono::milliseconds kMinTimeout{ 100 };
constexpr std::chrono::milliseconds kMaxTimeout{ 400 };
constexpr double kMaxProbeDelayShare = 0.4;
constexpr double kReplyTimeoutShare = 0.3;
constexpr double kServiceTimeMargin = 1.25; // factor on the expected service time

Duration
Scaled(Duration aTime, double aFactor) noexcept
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace
} // namespace impl

OwnerTimeouts
ComputeOwnerTimeouts(Duration aExpected, Duration aTarget) noexcept
{
  const auto within = [&](double aShare) {
    return std::clamp<Duration>(
      impl::Scaled(aTarget, aShare), impl::kMinTimeout, Duration(impl::kMaxTimeout));
  };
  const auto expected = impl::Scaled(aExpected, impl::kServiceTimeMargin);
  return { .probeDelay_ =
             std::clamp<Duration>(expected, impl::kMinTimeout, within(impl::kMaxProbeDelayShare)),
           .replyTimeout_ = within(impl::kReplyTimeoutShare) };
}

void
OwnerFailureDetector::ScheduleCheck(const CallId& aId, TimePoint aAt)
{
  CancelCheck(aId);
  checkAt_.emplace(aId, aAt);
  schedule_.emplace(aAt, aId);
}

void
OwnerFailureDetector::CancelCheck(const CallId& aId)
{
  const auto check = checkAt_.find(aId);
  if (check != checkAt_.end()) {
    schedule_.erase({ check->second, aId });
    checkAt_.erase(check);
  }
}

std::vector<CallId>
OwnerFailureDetector::TakeDue(TimePoint aNow)
{
  std::vector<CallId> due;
  while (!schedule_.empty() && schedule_.begin()->first <= aNow) {
    due.push_back(schedule_.begin()->second);
    CancelCheck(due.back());
  }
  return due;
}

OwnerStatus
OwnerFailureDetector::Evaluate(const NodeAddress& aOwner, const Inputs& aInputs, TimePoint aNow)
{
  const auto probe = probedAt_.find(aOwner);
  if (aInputs.hadContact_) {
    if (probe != probedAt_.end()) {
      probedAt_.erase(probe);
    }
    return OwnerStatus::Pending;
  }
  // A probe sent before the request does not count for it.
  if (probe == probedAt_.end() || probe->second < aInputs.sentAt_) {
    probedAt_.insert_or_assign(aOwner, aNow);
    return OwnerStatus::ProbeDue;
  }
  if (aNow - probe->second < aInputs.replyTimeout_) {
    return OwnerStatus::Pending;
  }
  probedAt_.erase(probe);
  return OwnerStatus::Unresponsive;
}

std::optional<TimePoint>
OwnerFailureDetector::NextDeadline() const
{
  return schedule_.empty() ? std::nullopt : std::optional(schedule_.begin()->first);
}

} // namespace geraniumpin
