#include "geraniumpin/request/retry_policy.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

bool
IsFinal(Reason aReason) noexcept
{
  return aReason == Reason::Cancelled || aReason == Reason::KeyUnknown ||
         aReason == Reason::DuplicateInFlight;
}

} // namespace
} // namespace impl

bool
MayHaveArrived(Outcome aOutcome, Reason aReason) noexcept
{
  return MayHaveReachedInstance(aOutcome, aReason) || aReason == Reason::Misdirected;
}

bool
MayHaveReachedInstance(Outcome aOutcome, Reason aReason) noexcept
{
  return aOutcome != Outcome::NotRun || aReason == Reason::Shed;
}

RetryBudget
RetryBudget::AfterRequest(double aRatio) const noexcept
{
  auto next = *this;
  next.tokens_ = std::min(kMaxBurst, tokens_ + aRatio);
  return next;
}

RetryBudget
RetryBudget::AfterRetry() const noexcept
{
  auto next = *this;
  next.tokens_ = std::max(0.0, tokens_ - 1);
  return next;
}

bool
MayRetry(const RetryInputs& aInputs, const RetryBudget& aBudget) noexcept
{
  if ((aInputs.outcome_ == Outcome::Answered && !aInputs.failed_) ||
      impl::IsFinal(aInputs.reason_)) {
    return false;
  }
  const bool safe = aInputs.outcome_ == Outcome::NotRun || aInputs.idempotent_;
  // An instance that refused did not run the request, so the same one may be tried again.
  const bool allowed =
    aInputs.instances_ < aInputs.maxInstances_ ||
    (aInputs.reason_ == Reason::Shed && aInputs.attempts_ < kMaxAttemptsWhenShed);
  const bool busy =
    aInputs.reason_ == Reason::Overloaded || aInputs.reason_ == Reason::DeadlinePassed;
  const bool isRefusedEverywhere =
    (busy || aInputs.reason_ == Reason::Shed) && !aInputs.serviceHasRoom_;
  if (isRefusedEverywhere || (busy && aInputs.attempts_ >= kMaxAttemptsWhenBusy)) {
    return false;
  }
  const bool arrived = MayHaveArrived(aInputs.outcome_, aInputs.reason_);
  return safe && aInputs.beforeDeadline_ && aInputs.attempts_ < kMaxAttempts && allowed &&
         (!arrived || aBudget.AllowsRetry());
}

} // namespace geraniumpin
