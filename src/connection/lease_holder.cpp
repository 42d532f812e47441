#include "geraniumpin/connection/lease_holder.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::chrono::seconds kRateMemory{ 1 };
constexpr double kLeastPrefetchRate = 2; // uses per second

double
Seconds(Duration aDuration) noexcept
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace
} // namespace impl

void
LeaseHolder::SetHomes(std::vector<NodeAddress> aHomes)
{
  std::vector<Home> homes;
  for (auto& node : aHomes) {
    const auto* known = FindHome(node);
    homes.push_back(known != nullptr ? *known : Home{ .node_ = std::move(node) });
  }
  homes_ = std::move(homes);
}

LeaseHolder::Home*
LeaseHolder::FindHome(const NodeAddress& aNode)
{
  const auto found = std::find_if(
    homes_.begin(), homes_.end(), [&](const Home& aHome) { return aHome.node_ == aNode; });
  return found == homes_.end() ? nullptr : &*found;
}

std::optional<SpentToken>
LeaseHolder::TryTake(TimePoint aNow)
{
  for (auto& home : homes_) {
    for (auto& [sequence, lease] : home.leases_) {
      if (lease.unspent_ > 0 && aNow < lease.expiresAt_) {
        --lease.unspent_;
        CountUse(aNow);
        return SpentToken{ home.node_, sequence };
      }
    }
  }
  return std::nullopt;
}

void
LeaseHolder::Refund(const SpentToken& aToken, TimePoint aNow)
{
  auto* home = FindHome(aToken.home_);
  if (home == nullptr) {
    return;
  }
  const auto lease = home->leases_.find(aToken.sequence_);
  if (lease != home->leases_.end() && aNow < lease->second.expiresAt_) {
    lease->second.unspent_ = std::min(lease->second.tokens_, lease->second.unspent_ + 1);
  }
}

void
LeaseHolder::CountUse(TimePoint aNow)
{
  const double memory = impl::Seconds(impl::kRateMemory);
  const double elapsed = std::min(memory, impl::Seconds(aNow - lastUse_));
  usesPerSecond_ = usesPerSecond_ * std::exp(-elapsed / memory) + 1 / memory;
  lastUse_ = aNow;
}

bool
LeaseHolder::IsExhausted(TimePoint aNow) const
{
  return std::all_of(homes_.begin(), homes_.end(), [&](const Home& aHome) {
    return aNow < aHome.emptyUntil_ || aNow < aHome.silentUntil_;
  });
}

bool
LeaseHolder::IsUnreachable(TimePoint aNow) const
{
  return std::all_of(
    homes_.begin(), homes_.end(), [&](const Home& aHome) { return aNow < aHome.silentUntil_; });
}

TimePoint
LeaseHolder::RetryAt() const
{
  auto next = TimePoint::max();
  for (const auto& home : homes_) {
    next = std::min(next, std::max(home.emptyUntil_, home.silentUntil_));
  }
  return next;
}

std::uint32_t
LeaseHolder::Unspent(TimePoint aNow) const
{
  std::uint32_t unspent = 0;
  for (const auto& home : homes_) {
    for (const auto& [sequence, lease] : home.leases_) {
      unspent += aNow < lease.expiresAt_ ? lease.unspent_ : 0;
    }
  }
  return unspent;
}

std::uint32_t
LeaseHolder::Wanted(TimePoint aNow, std::size_t aWaiting) const
{
  const bool quiet =
    usesPerSecond_ < impl::kLeastPrefetchRate || aNow - lastUse_ > impl::kRateMemory;
  const double ahead = quiet ? 0 : std::ceil(usesPerSecond_ * impl::Seconds(kPrefetch));
  const double missing = static_cast<double>(aWaiting) + ahead - Unspent(aNow);
  const bool worthAsking = missing >= 1 && (aWaiting > 0 || missing >= ahead / 2);
  return worthAsking ? static_cast<std::uint32_t>(missing) : 0;
}

LeaseAsk
LeaseHolder::MakeAsk(Home& aHome, std::uint32_t aWanted)
{
  auto closures = std::exchange(aHome.closures_, {});
  return { .home_ = aHome.node_,
           .request_ = { .team_ = team_,
                         .sequence_ = ++sequence_,
                         .wanted_ = aWanted,
                         .closures_ = std::move(closures) } };
}

std::optional<LeaseAsk>
LeaseHolder::NextAsk(TimePoint aNow, std::size_t aWaiting)
{
  const auto wanted = Wanted(aNow, aWaiting);
  if (wanted == 0) {
    return std::nullopt;
  }
  for (auto& home : homes_) {
    AbandonLate(home, aNow);
    if (home.pending_) {
      return std::nullopt;
    }
    if (aNow < home.emptyUntil_ || aNow < home.silentUntil_) {
      continue;
    }
    CloseFinished(home, aNow, false);
    auto ask = MakeAsk(home, wanted);
    home.pending_ = Pending{ ask.request_.sequence_, aNow };
    return ask;
  }
  return std::nullopt;
}

void
LeaseHolder::AbandonLate(Home& aHome, TimePoint aNow)
{
  if (aHome.pending_ && aNow - aHome.pending_->sentAt_ >= kAnswerTimeout) {
    aHome.abandoned_.insert(aHome.pending_->sequence_);
    aHome.pending_.reset();
    aHome.silentUntil_ = aNow + kSilence;
  }
}

void
LeaseHolder::OnGrant(const NodeAddress& aHome, const LeaseGrant& aGrant, TimePoint aNow)
{
  auto* home = FindHome(aHome);
  if (home == nullptr) {
    return;
  }
  if (home->abandoned_.erase(aGrant.sequence_) > 0) {
    home->silentUntil_ = {};
    home->closures_.push_back({ .sequence_ = aGrant.sequence_, .unspent_ = aGrant.tokens_ });
    return;
  }
  if (!home->pending_ || home->pending_->sequence_ != aGrant.sequence_) {
    return;
  }
  const auto sentAt = home->pending_->sentAt_;
  home->pending_.reset();
  home->silentUntil_ = {};
  if (aGrant.tokens_ == 0) {
    home->emptyUntil_ = aNow + aGrant.retryAfter_;
    return;
  }
  home->leases_.emplace(aGrant.sequence_,
                        Lease{ aGrant.tokens_, aGrant.tokens_, sentAt + aGrant.term_ });
}

void
LeaseHolder::CloseFinished(Home& aHome, TimePoint aNow, bool aGiveBack)
{
  for (auto lease = aHome.leases_.begin(); lease != aHome.leases_.end();) {
    const bool ended = aNow >= lease->second.expiresAt_;
    if (!ended && lease->second.unspent_ > 0 && !aGiveBack) {
      ++lease;
      continue;
    }
    if (!ended) {
      aHome.closures_.push_back({ .sequence_ = lease->first, .unspent_ = lease->second.unspent_ });
    }
    lease = aHome.leases_.erase(lease);
  }
}

std::vector<LeaseAsk>
LeaseHolder::CloseIdle(TimePoint aNow)
{
  std::vector<LeaseAsk> asks;
  const bool idle = aNow - lastUse_ >= kIdleReturn;
  for (auto& home : homes_) {
    AbandonLate(home, aNow);
    CloseFinished(home, aNow, idle);
    if (idle && !home.closures_.empty()) {
      asks.push_back(MakeAsk(home, 0));
    }
  }
  return asks;
}

std::optional<TimePoint>
LeaseHolder::NextDeadline() const
{
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint aTime) { next = next ? std::min(*next, aTime) : aTime; };
  for (const auto& home : homes_) {
    if (home.pending_) {
      consider(home.pending_->sentAt_ + kAnswerTimeout);
    }
    if (!home.leases_.empty() || !home.closures_.empty()) {
      consider(lastUse_ + kIdleReturn);
    }
  }
  return next;
}

} // namespace geraniumpin
