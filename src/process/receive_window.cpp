#include "geraniumpin/process/receive_window.hpp"

#include <algorithm>

namespace geraniumpin {

tl::expected<OfferResult, Duration>
ReceiveWindow::Offer(const TransferOffer& aOffer, TimePoint aNow)
{
  const auto ahead = BytesAhead(aOffer.rank_);
  const bool isFirst = waiting_.empty() || aOffer.rank_ < waiting_.begin()->first.first;
  if (isFirst && Fits(aOffer.bytes_)) {
    AddGrant(aOffer.id_, aOffer.bytes_, aNow);
    return OfferResult::Granted;
  }
  const auto total = ahead + aOffer.bytes_;
  const auto wait = link_.TransferTime(total - std::min(total, windowBytes_));
  if (wait > aOffer.grantBy_ - aNow) {
    return tl::make_unexpected(link_.TransferTime(ahead));
  }
  const Position position{ aOffer.rank_, ++sequence_ };
  waiting_.emplace(position, Waiting{ aOffer, aNow });
  positions_.emplace(aOffer.id_, position);
  waitingBytes_ += aOffer.bytes_;
  return OfferResult::Queued;
}

bool
ReceiveWindow::Contains(const TransferId& aId) const
{
  return granted_.contains(aId) || positions_.contains(aId);
}

bool
ReceiveWindow::Remove(const TransferId& aId)
{
  if (const auto grant = granted_.find(aId); grant != granted_.end()) {
    grantedBytes_ -= grant->second.bytes_;
    granted_.erase(grant);
    return true;
  }
  const auto position = positions_.find(aId);
  if (position == positions_.end()) {
    return false;
  }
  EraseWaiting(waiting_.find(position->second));
  return true;
}

std::vector<TransferId>
ReceiveWindow::RemoveWaitingRequests()
{
  return EraseWaitingIf([](const TransferOffer& aOffer) { return !aOffer.id_.isReply_; });
}

WindowActions
ReceiveWindow::Advance(TimePoint aNow)
{
  for (auto grant = granted_.begin(); grant != granted_.end();) {
    const bool isLost = grant->second.expiresAt_ <= aNow;
    grantedBytes_ -= isLost ? grant->second.bytes_ : 0;
    lost_ += isLost ? 1 : 0;
    grant = isLost ? granted_.erase(grant) : std::next(grant);
  }
  auto refused =
    EraseWaitingIf([&](const TransferOffer& aOffer) { return aOffer.grantBy_ <= aNow; });
  std::vector<TransferId> granted;
  while (!waiting_.empty() && Fits(waiting_.begin()->second.offer_.bytes_)) {
    const auto& offer = waiting_.begin()->second.offer_;
    AddGrant(offer.id_, offer.bytes_, aNow);
    granted.push_back(offer.id_);
    EraseWaiting(waiting_.begin());
  }
  return { .granted_ = std::move(granted), .refused_ = std::move(refused) };
}

std::optional<TimePoint>
ReceiveWindow::NextDeadline() const
{
  std::optional<TimePoint> next;
  const auto include = [&](TimePoint aTime) { next = next ? std::min(*next, aTime) : aTime; };
  for (const auto& [id, grant] : granted_) {
    include(grant.expiresAt_);
  }
  for (const auto& [position, waiting] : waiting_) {
    include(waiting.offer_.grantBy_);
  }
  return next;
}

Duration
ReceiveWindow::Backlog() const noexcept
{
  return link_.TransferTime(grantedBytes_ + waitingBytes_);
}

WindowState
ReceiveWindow::State(TimePoint aNow) const
{
  Duration oldestGranted{};
  for (const auto& [id, grant] : granted_) {
    oldestGranted = std::max(oldestGranted, aNow - grant.grantedAt_);
  }
  Duration oldestWaiting{};
  for (const auto& [position, waiting] : waiting_) {
    oldestWaiting = std::max(oldestWaiting, aNow - waiting.offeredAt_);
  }
  return { .grantedBytes_ = grantedBytes_,
           .waitingBytes_ = waitingBytes_,
           .oldestGranted_ = oldestGranted,
           .oldestWaiting_ = oldestWaiting,
           .lost_ = lost_ };
}

std::size_t
ReceiveWindow::BytesAhead(std::uint32_t aRank) const
{
  auto bytes = grantedBytes_;
  for (const auto& [position, waiting] : waiting_) {
    if (position.first > aRank) {
      break;
    }
    bytes += waiting.offer_.bytes_;
  }
  return bytes;
}

void
ReceiveWindow::AddGrant(const TransferId& aId, std::size_t aBytes, TimePoint aNow)
{
  grantedBytes_ += aBytes;
  granted_.emplace(aId,
                   Grant{ aBytes, aNow, aNow + link_.TransferTime(grantedBytes_) + kArrivalGrace });
}

std::vector<TransferId>
ReceiveWindow::EraseWaitingIf(const std::function<bool(const TransferOffer&)>& aCondition)
{
  std::vector<TransferId> erased;
  for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
    const auto position = waiting++;
    if (aCondition(position->second.offer_)) {
      erased.push_back(position->second.offer_.id_);
      EraseWaiting(position);
    }
  }
  return erased;
}

void
ReceiveWindow::EraseWaiting(std::map<Position, Waiting>::iterator aPosition)
{
  waitingBytes_ -= aPosition->second.offer_.bytes_;
  positions_.erase(aPosition->second.offer_.id_);
  waiting_.erase(aPosition);
}

} // namespace geraniumpin
