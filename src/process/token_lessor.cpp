#include "geraniumpin/process/token_lessor.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::chrono::milliseconds kShortestRetryAfter{ 2 };
constexpr std::chrono::milliseconds kLongestRetryAfter{ 1000 };

constexpr std::size_t kMostHolders = 4096;

// A single lease takes at most this part of the level, so that one holder cannot drain the bucket
// while others ask for their first token.
constexpr double kMostPerLease = 0.5;

Duration
TimeToToken(double aLevel, double aRate) noexcept
{
  if (aRate <= 0) {
    return kLongestRetryAfter;
  }
  const std::chrono::duration<double> wait(std::max(0.0, 1 - aLevel) / aRate);
  return std::clamp<Duration>(
    std::chrono::duration_cast<Duration>(wait), kShortestRetryAfter, kLongestRetryAfter);
}

} // namespace
} // namespace impl

bool
LimitHome::SetShare(const std::string& aTeam, const TeamShare& aShare, TimePoint aNow)
{
  auto [found, isNew] = buckets_.try_emplace(aTeam);
  auto& bucket = found->second;
  if (isNew) {
    bucket.filledAt_ = aNow;
  }
  Fill(bucket, aNow);
  bucket.share_ = aShare;
  bucket.level_ = std::clamp(bucket.level_, 0.0, std::max(0.0, aShare.burst_ - bucket.lent_));
  return isNew;
}

void
LimitHome::EndShare(const std::string& aTeam)
{
  buckets_.erase(aTeam);
}

void
LimitHome::Authorize(TimePoint aNow)
{
  for (auto& [team, bucket] : buckets_) {
    if (!bucket.authorized_) {
      bucket.authorized_ = true;
      bucket.filledAt_ = aNow;
    }
  }
}

bool
LimitHome::Grants(const std::string& aTeam) const
{
  const auto found = buckets_.find(aTeam);
  return found != buckets_.end() && found->second.authorized_;
}

bool
LimitHome::AwaitsAuthority() const
{
  return std::any_of(buckets_.begin(), buckets_.end(), [](const auto& aEntry) {
    return !aEntry.second.authorized_;
  });
}

void
LimitHome::EndLeases(Bucket& aBucket, TimePoint aNow)
{
  for (auto lease = aBucket.leases_.begin(); lease != aBucket.leases_.end();) {
    if (aNow < lease->second.expiresAt_) {
      ++lease;
      continue;
    }
    aBucket.lent_ -= lease->second.tokens_;
    lease = aBucket.leases_.erase(lease);
  }
}

void
LimitHome::Fill(Bucket& aBucket, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.filledAt_;
  aBucket.filledAt_ = std::max(aBucket.filledAt_, aNow);
  if (!aBucket.authorized_ || elapsed.count() <= 0) {
    return;
  }
  const double room = std::max(0.0, aBucket.share_.burst_ - aBucket.lent_ - aBucket.level_);
  aBucket.level_ += std::min(room, aBucket.share_.ratePerSecond_ * elapsed.count());
}

void
LimitHome::Close(Bucket& aBucket, const LeaseKey& aKey, std::uint32_t aUnspent)
{
  const auto lease = aBucket.leases_.find(aKey);
  if (lease == aBucket.leases_.end()) {
    return;
  }
  const auto unspent = std::min(aUnspent, lease->second.tokens_);
  aBucket.lent_ -= lease->second.tokens_;
  aBucket.level_ =
    std::min(aBucket.level_ + unspent, std::max(0.0, aBucket.share_.burst_ - aBucket.lent_));
  aBucket.leases_.erase(lease);
}

std::uint32_t
LimitHome::Lend(Bucket& aBucket, const LeaseKey& aKey, std::uint32_t aWanted, TimePoint aNow)
{
  if (aBucket.level_ < 1) {
    return 0;
  }
  const double most = std::max(1.0, std::floor(aBucket.level_ * impl::kMostPerLease));
  const auto tokens = static_cast<std::uint32_t>(std::min<double>(aWanted, most));
  aBucket.level_ -= tokens;
  aBucket.lent_ += tokens;
  aBucket.leases_.emplace(aKey, Lease{ tokens, aNow + kLeaseTerm + kLeaseMargin });
  return tokens;
}

LeaseGrant
LimitHome::OnRequest(const NodeAddress& aHolder,
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
  if (found == buckets_.end() || !found->second.authorized_) {
    return grant(0, impl::kLongestRetryAfter);
  }
  auto& bucket = found->second;
  Fill(bucket, aNow); // first, so that room left by an ended lease is not filled retroactively
  EndLeases(bucket, aNow);
  for (const auto& closure : aRequest.closures_) {
    Close(bucket, { aHolder, aIncarnation, closure.sequence_ }, closure.unspent_);
  }
  const LeaseKey key{ aHolder, aIncarnation, aRequest.sequence_ };
  if (const auto repeated = bucket.leases_.find(key); repeated != bucket.leases_.end()) {
    return grant(repeated->second.tokens_, {});
  }
  if (bucket.lastSequence_.size() > impl::kMostHolders) {
    bucket.lastSequence_.clear(); // a late request may then get a lease that nobody uses
  }
  auto& last = bucket.lastSequence_[{ aHolder, aIncarnation }];
  const bool late = aRequest.sequence_ <= last;
  last = std::max(last, aRequest.sequence_);
  const auto tokens = late ? 0 : Lend(bucket, key, aRequest.wanted_, aNow);
  return grant(tokens, impl::TimeToToken(bucket.level_, bucket.share_.ratePerSecond_));
}

} // namespace geraniumpin
