#include "geraniumpin/request/retry_policy.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

bool
EndsTheRequest(Reason aReason) noexcept
{
  return aReason == Reason::Cancelled || aReason == Reason::KeyUnknown ||
         aReason == Reason::DuplicateInFlight || aReason == Reason::DeadlinePassed;
}

/// A node refused before its backend server was involved, so a repetition burdens none.
bool
SparesTheBackendServer(Reason aReason) noexcept
{
  return aReason == Reason::WrongNode || aReason == Reason::VersionBehind ||
         aReason == Reason::NotReady || aReason == Reason::Draining ||
         aReason == Reason::OutOfService;
}

} // namespace
} // namespace impl

RetryBudget
RetryBudget::AfterSuccess() const noexcept
{
  auto next = *this;
  next.tokens_ = std::min(kMostRetries, tokens_ + kRetriesPerSuccess);
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
  if (aFacts.outcome_ == Outcome::Answered || impl::EndsTheRequest(aFacts.reason_)) {
    return false;
  }
  const bool safe = aFacts.outcome_ == Outcome::NotRun || aFacts.idempotent_;
  return safe && aFacts.beforeDeadline_ && aFacts.attempts_ < kMostAttempts &&
         (aBudget.AllowsRetry() || impl::SparesTheBackendServer(aFacts.reason_));
}

} // namespace geraniumpin
