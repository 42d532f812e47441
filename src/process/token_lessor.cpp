#include "geraniumpin/process/token_lessor.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::chrono::milliseconds kMinRetryAfter{ 2 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 1000 };

// Longest delay of a retry slot. Holders beyond it share their slots.
constexpr std::chrono::milliseconds kMaxRetrySlotDelay{ 400 };

constexpr std::size_t kMaxHolders = 4096;

// Largest part of the level that one lease takes, so that one holder cannot drain the bucket while
// others request their first token.
constexpr double kMaxLeaseFraction = 0.5;

Duration
ComputeRetryAfter(double aLevel, double aRate) noexcept
{
  if (aRate <= 0) {
    return kMaxRetryAfter;
  }
  const std::chrono::duration<double> wait(std::max(0.0, 1 - aLevel) / aRate);
  return std::clamp<Duration>(
    std::chrono::duration_cast<Duration>(wait), kMinRetryAfter, kMaxRetryAfter);
}

} // namespace
} // namespace impl

bool
TokenLessor::SetShare(const std::string& aTeam, const TeamShare& aShare, TimePoint aNow)
{
  auto [found, isNew] = buckets_.try_emplace(aTeam);
  auto& bucket = found->second;
  if (isNew) {
    bucket.refilledAt_ = aNow;
  }
  Refill(bucket, aNow);
  bucket.share_ = aShare;
  bucket.level_ =
    std::clamp(bucket.level_, 0.0, std::max(0.0, aShare.burst_ - bucket.outstanding_));
  return isNew;
}

void
TokenLessor::RemoveShare(const std::string& aTeam)
{
  buckets_.erase(aTeam);
}

void
TokenLessor::CompleteTakeover(TimePoint aNow)
{
  for (auto& [team, bucket] : buckets_) {
    if (!bucket.mayGrant_) {
      bucket.mayGrant_ = true;
      bucket.refilledAt_ = aNow;
    }
  }
}

bool
TokenLessor::MayGrant(const std::string& aTeam) const
{
  const auto found = buckets_.find(aTeam);
  return found != buckets_.end() && found->second.mayGrant_;
}

bool
TokenLessor::IsTakeoverPending() const
{
  return std::any_of(
    buckets_.begin(), buckets_.end(), [](const auto& aEntry) { return !aEntry.second.mayGrant_; });
}

void
TokenLessor::ExpireLeases(Bucket& aBucket, TimePoint aNow)
{
  for (auto lease = aBucket.leases_.begin(); lease != aBucket.leases_.end();) {
    if (aNow < lease->second.expiresAt_) {
      ++lease;
      continue;
    }
    aBucket.outstanding_ -= lease->second.tokens_;
    lease = aBucket.leases_.erase(lease);
  }
}

void
TokenLessor::Refill(Bucket& aBucket, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.refilledAt_;
  aBucket.refilledAt_ = std::max(aBucket.refilledAt_, aNow);
  if (!aBucket.mayGrant_ || elapsed.count() <= 0) {
    return;
  }
  const double room = std::max(0.0, aBucket.share_.burst_ - aBucket.outstanding_ - aBucket.level_);
  aBucket.level_ += std::min(room, aBucket.share_.ratePerSecond_ * elapsed.count());
}

void
TokenLessor::CloseLease(Bucket& aBucket, const LeaseKey& aKey, std::uint32_t aUnused)
{
  const auto lease = aBucket.leases_.find(aKey);
  if (lease == aBucket.leases_.end()) {
    return;
  }
  const auto unused = std::min(aUnused, lease->second.tokens_);
  aBucket.outstanding_ -= lease->second.tokens_;
  aBucket.level_ =
    std::min(aBucket.level_ + unused, std::max(0.0, aBucket.share_.burst_ - aBucket.outstanding_));
  aBucket.leases_.erase(lease);
}

std::uint32_t
TokenLessor::Grant(Bucket& aBucket, const LeaseKey& aKey, std::uint32_t aRequested, TimePoint aNow)
{
  if (aBucket.level_ < 1) {
    return 0;
  }
  const double maxTokens = std::max(1.0, std::floor(aBucket.level_ * impl::kMaxLeaseFraction));
  const auto tokens = static_cast<std::uint32_t>(std::min<double>(aRequested, maxTokens));
  aBucket.level_ -= tokens;
  aBucket.outstanding_ += tokens;
  aBucket.leases_.emplace(aKey, Lease{ tokens, aNow + kLeaseTerm + kLeaseMargin });
  return tokens;
}

Duration
TokenLessor::ReserveRetrySlot(Bucket& aBucket, TimePoint aNow)
{
  const auto rate = aBucket.share_.ratePerSecond_;
  const auto firstSlot = impl::ComputeRetryAfter(aBucket.level_, rate);
  const auto interval = impl::ComputeRetryAfter(0, rate);
  const auto slot = std::max(firstSlot, aBucket.lastRetrySlotAt_ + interval - aNow);
  const auto wait = std::min(slot, std::max<Duration>(firstSlot, impl::kMaxRetrySlotDelay));
  aBucket.lastRetrySlotAt_ = aNow + wait;
  return wait;
}

LeaseGrant
TokenLessor::OnRequest(const NodeAddress& aHolder,
                       std::uint64_t aIncarnation,
                       const LeaseRequest& aRequest,
                       TimePoint aNow)
{
  const auto grant = [&](std::uint32_t aTokens, Duration aRetryAfter) {
    return LeaseGrant{ .team_ = aRequest.team_,
                       .sequence_ = aRequest.sequence_,
                       .tokens_ = aTokens,
                       .term_ = kLeaseTerm,
                       .retryAfter_ = aRetryAfter };
  };
  const auto found = buckets_.find(aRequest.team_);
  if (found == buckets_.end() || !found->second.mayGrant_) {
    return grant(0, impl::kMaxRetryAfter);
  }
  auto& bucket = found->second;
  Refill(bucket, aNow); // first: room left by an expired lease is not refilled for the past
  ExpireLeases(bucket, aNow);
  for (const auto& closure : aRequest.closures_) {
    CloseLease(bucket, { aHolder, aIncarnation, closure.sequence_ }, closure.unused_);
  }
  const LeaseKey key{ aHolder, aIncarnation, aRequest.sequence_ };
  if (const auto repeated = bucket.leases_.find(key); repeated != bucket.leases_.end()) {
    return grant(repeated->second.tokens_, {});
  }
  if (bucket.lastSequence_.size() > impl::kMaxHolders) {
    bucket.lastSequence_.clear(); // a late request may then get a lease that no holder uses
  }
  auto& last = bucket.lastSequence_[{ aHolder, aIncarnation }];
  const bool late = aRequest.sequence_ <= last;
  last = std::max(last, aRequest.sequence_);
  const auto tokens = late ? 0 : Grant(bucket, key, aRequest.requestedTokens_, aNow);
  const bool isRefused = tokens == 0 && !late && aRequest.requestedTokens_ > 0;
  return grant(tokens, isRefused ? ReserveRetrySlot(bucket, aNow) : Duration{});
}

} // namespace geraniumpin
