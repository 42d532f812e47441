#include "geraniumpin/connection/lease_holder.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::chrono::seconds kRateTimeConstant{ 1 };
constexpr double kMinPrefetchRate = 2; // uses per second

double
Seconds(Duration aDuration) noexcept
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace
} // namespace impl

void
LeaseHolder::SetLessors(std::vector<NodeAddress> aLessors)
{
  std::vector<Lessor> lessors;
  for (auto& node : aLessors) {
    const auto* known = FindLessor(node);
    lessors.push_back(known != nullptr ? *known : Lessor{ .node_ = std::move(node) });
  }
  lessors_ = std::move(lessors);
}

LeaseHolder::Lessor*
LeaseHolder::FindLessor(const NodeAddress& aNode)
{
  const auto found = std::find_if(lessors_.begin(), lessors_.end(), [&](const Lessor& aLessor) {
    return aLessor.node_ == aNode;
  });
  return found == lessors_.end() ? nullptr : &*found;
}

std::optional<ConsumedToken>
LeaseHolder::TryTake(TimePoint aNow)
{
  for (auto& lessor : lessors_) {
    for (auto& [sequence, lease] : lessor.leases_) {
      if (lease.unused_ > 0 && aNow < lease.expiresAt_) {
        --lease.unused_;
        RecordUse(aNow);
        return ConsumedToken{ lessor.node_, sequence };
      }
    }
  }
  return std::nullopt;
}

void
LeaseHolder::Refund(const ConsumedToken& aToken, TimePoint aNow)
{
  auto* lessor = FindLessor(aToken.lessor_);
  if (lessor == nullptr) {
    return;
  }
  const auto lease = lessor->leases_.find(aToken.sequence_);
  if (lease != lessor->leases_.end() && aNow < lease->second.expiresAt_) {
    lease->second.unused_ = std::min(lease->second.tokens_, lease->second.unused_ + 1);
  }
}

void
LeaseHolder::RecordUse(TimePoint aNow)
{
  const double timeConstant = impl::Seconds(impl::kRateTimeConstant);
  const double elapsed = std::min(timeConstant, impl::Seconds(aNow - lastUse_));
  usesPerSecond_ = usesPerSecond_ * std::exp(-elapsed / timeConstant) + 1 / timeConstant;
  lastUse_ = aNow;
}

bool
LeaseHolder::IsExhausted(TimePoint aNow) const
{
  return std::all_of(lessors_.begin(), lessors_.end(), [&](const Lessor& aLessor) {
    return aNow < aLessor.exhaustedUntil_ || aNow < aLessor.unresponsiveUntil_;
  });
}

bool
LeaseHolder::IsUnreachable(TimePoint aNow) const
{
  return std::all_of(lessors_.begin(), lessors_.end(), [&](const Lessor& aLessor) {
    return aNow < aLessor.unresponsiveUntil_;
  });
}

TimePoint
LeaseHolder::RetryAt() const
{
  auto next = TimePoint::max();
  for (const auto& lessor : lessors_) {
    next = std::min(next, std::max(lessor.exhaustedUntil_, lessor.unresponsiveUntil_));
  }
  return next;
}

std::uint32_t
LeaseHolder::CountUnused(TimePoint aNow) const
{
  std::uint32_t unused = 0;
  for (const auto& lessor : lessors_) {
    for (const auto& [sequence, lease] : lessor.leases_) {
      unused += aNow < lease.expiresAt_ ? lease.unused_ : 0;
    }
  }
  return unused;
}

std::uint32_t
LeaseHolder::ComputeRequestSize(TimePoint aNow, std::size_t aWaiting) const
{
  const bool skipPrefetch =
    usesPerSecond_ < impl::kMinPrefetchRate || aNow - lastUse_ > impl::kRateTimeConstant;
  const double prefetch = skipPrefetch ? 0 : std::ceil(usesPerSecond_ * impl::Seconds(kPrefetch));
  const double missing = static_cast<double>(aWaiting) + prefetch - CountUnused(aNow);
  const bool isWorthwhile = missing >= 1 && (aWaiting > 0 || missing >= prefetch / 2);
  return isWorthwhile ? static_cast<std::uint32_t>(missing) : 0;
}

AddressedLeaseRequest
LeaseHolder::MakeRequest(Lessor& aLessor, std::uint32_t aRequested)
{
  auto closures = std::exchange(aLessor.closures_, {});
  return { .lessor_ = aLessor.node_,
           .request_ = { .team_ = team_,
                         .sequence_ = ++sequence_,
                         .requestedTokens_ = aRequested,
                         .closures_ = std::move(closures) } };
}

std::optional<AddressedLeaseRequest>
LeaseHolder::NextRequest(TimePoint aNow, std::size_t aWaiting)
{
  const auto requested = ComputeRequestSize(aNow, aWaiting);
  if (requested == 0) {
    return std::nullopt;
  }
  for (auto& lessor : lessors_) {
    ExpirePending(lessor, aNow);
    if (lessor.pending_) {
      return std::nullopt;
    }
    if (aNow < lessor.exhaustedUntil_ || aNow < lessor.unresponsiveUntil_) {
      continue;
    }
    CloseLeases(lessor, aNow, false);
    auto addressed = MakeRequest(lessor, requested);
    lessor.pending_ = Pending{ addressed.request_.sequence_, aNow };
    return addressed;
  }
  return std::nullopt;
}

void
LeaseHolder::ExpirePending(Lessor& aLessor, TimePoint aNow)
{
  if (aLessor.pending_ && aNow - aLessor.pending_->sentAt_ >= kAnswerTimeout) {
    aLessor.timedOut_.insert(aLessor.pending_->sequence_);
    aLessor.pending_.reset();
    aLessor.unresponsiveUntil_ = aNow + kUnresponsiveTime;
  }
}

void
LeaseHolder::OnGrant(const NodeAddress& aLessor, const LeaseGrant& aGrant, TimePoint aNow)
{
  auto* lessor = FindLessor(aLessor);
  if (lessor == nullptr) {
    return;
  }
  if (lessor->timedOut_.erase(aGrant.sequence_) > 0) {
    lessor->unresponsiveUntil_ = {};
    if (aGrant.tokens_ == 0) {
      lessor->exhaustedUntil_ = aNow + aGrant.retryAfter_;
    } else {
      lessor->closures_.push_back({ .sequence_ = aGrant.sequence_, .unused_ = aGrant.tokens_ });
    }
    return;
  }
  if (!lessor->pending_ || lessor->pending_->sequence_ != aGrant.sequence_) {
    return;
  }
  const auto sentAt = lessor->pending_->sentAt_;
  lessor->pending_.reset();
  lessor->unresponsiveUntil_ = {};
  if (aGrant.tokens_ == 0) {
    lessor->exhaustedUntil_ = aNow + aGrant.retryAfter_;
    return;
  }
  lessor->leases_.emplace(aGrant.sequence_,
                          Lease{ aGrant.tokens_, aGrant.tokens_, sentAt + aGrant.term_ });
}

void
LeaseHolder::CloseLeases(Lessor& aLessor, TimePoint aNow, bool aReturnUnused)
{
  for (auto lease = aLessor.leases_.begin(); lease != aLessor.leases_.end();) {
    const bool ended = aNow >= lease->second.expiresAt_;
    if (!ended && lease->second.unused_ > 0 && !aReturnUnused) {
      ++lease;
      continue;
    }
    if (!ended) {
      aLessor.closures_.push_back({ .sequence_ = lease->first, .unused_ = lease->second.unused_ });
    }
    lease = aLessor.leases_.erase(lease);
  }
}

std::vector<AddressedLeaseRequest>
LeaseHolder::CloseIdleLeases(TimePoint aNow)
{
  std::vector<AddressedLeaseRequest> requests;
  const bool idle = aNow - lastUse_ >= kIdleReturnDelay;
  for (auto& lessor : lessors_) {
    ExpirePending(lessor, aNow);
    CloseLeases(lessor, aNow, idle);
    if (idle && !lessor.closures_.empty()) {
      requests.push_back(MakeRequest(lessor, 0));
    }
  }
  return requests;
}

std::optional<TimePoint>
LeaseHolder::NextDeadline() const
{
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint aTime) { next = next ? std::min(*next, aTime) : aTime; };
  for (const auto& lessor : lessors_) {
    if (lessor.pending_) {
      consider(lessor.pending_->sentAt_ + kAnswerTimeout);
    }
    if (!lessor.leases_.empty() || !lessor.closures_.empty()) {
      consider(lastUse_ + kIdleReturnDelay);
    }
  }
  return next;
}

} // namespace geraniumpin
