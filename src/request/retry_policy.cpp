#include "geraniumpin/request/retry_policy.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

bool
EndsTheRequest(Reason aReason) noexcept
{
  return aReason == Reason::Cancelled || aReason == Reason::KeyUnknown ||
         aReason == Reason::DuplicateInFlight;
}

} // namespace
} // namespace impl

bool
MayHaveReachedInstance(Outcome aOutcome, Reason aReason) noexcept
{
  return aOutcome != Outcome::NotRun || aReason == Reason::Shed;
}

RetryBudget
RetryBudget::AfterRequest() const noexcept
{
  auto next = *this;
  next.tokens_ = std::min(kMostRetries, tokens_ + kRetriesPerRequest);
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
MayRetry(const RetryFacts& aFacts, const RetryBudget& aBudget) noexcept
{
  if ((aFacts.outcome_ == Outcome::Answered && !aFacts.failed_) ||
      impl::EndsTheRequest(aFacts.reason_)) {
    return false;
  }
  const bool safe = aFacts.outcome_ == Outcome::NotRun || aFacts.idempotent_;
  // An instance that refused has not run the request, so the same one may be asked again.
  const bool allowed = aFacts.instances_ < aFacts.mostInstances_ ||
                       (aFacts.reason_ == Reason::Shed && aFacts.attempts_ < kMostSheds);
  const bool busy =
    aFacts.reason_ == Reason::Overloaded || aFacts.reason_ == Reason::DeadlinePassed;
  if (busy && aFacts.attempts_ >= kMostBusyOwners) {
    return false;
  }
  // A repetition of what no instance has seen burdens none.
  const bool reached = MayHaveReachedInstance(aFacts.outcome_, aFacts.reason_);
  return safe && aFacts.beforeDeadline_ && aFacts.attempts_ < kMostAttempts && allowed &&
         (!reached || aBudget.AllowsRetry());
}

} // namespace geraniumpin
