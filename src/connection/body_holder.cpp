#include "geraniumpin/connection/body_holder.hpp"

#include "geraniumpin/connection/content_size.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

TransferId
IdOf(const Payload& aMessage)
{
  if (const auto* request = std::get_if<CallRequest>(&aMessage)) {
    return { { request->id_, request->attempt_ }, false };
  }
  const auto& reply = std::get<CallReply>(aMessage);
  return { { reply.id_, reply.attempt_ }, true };
}

Payload
MakeOffer(const Payload& aMessage, std::size_t aBytes)
{
  if (const auto* request = std::get_if<CallRequest>(&aMessage)) {
    return CallOffer{ WithBody(*request, nullptr, request->remaining_), aBytes };
  }
  return ReplyOffer{ IdOf(aMessage).attempt_, aBytes };
}

/// Replies precede requests.
std::uint32_t
RankOf(const Payload& aMessage) noexcept
{
  const auto* request = std::get_if<CallRequest>(&aMessage);
  return request == nullptr ? 0 : request->rank_;
}

Payload
WithTimeSpent(const Payload& aMessage, Duration aHeldFor)
{
  if (const auto* request = std::get_if<CallRequest>(&aMessage)) {
    return WithBody(*request, request->body_, request->remaining_ - aHeldFor);
  }
  return aMessage;
}

} // namespace
} // namespace impl

void
BodyHolder::OnPeer(const NodeAddress& aPeer, std::uint64_t aOfferMinBytes)
{
  lastOfferMinBytes_ = aOfferMinBytes > 0 ? aOfferMinBytes : lastOfferMinBytes_;
  const auto [known, isNew] = offerMinBytes_.emplace(aPeer, aOfferMinBytes);
  if (!isNew && known->second == aOfferMinBytes) {
    return;
  }
  known->second = aOfferMinBytes;
  for (auto& [id, held] : held_) {
    const bool needsOffer = aOfferMinBytes > 0 && held.bytes_ >= aOfferMinBytes;
    if (held.peer_ == aPeer && !needsOffer) {
      MakeReady(id, held);
    }
  }
}

std::optional<Payload>
BodyHolder::Hold(const NodeAddress& aPeer,
                 const Payload& aMessage,
                 TimePoint aExpiresAt,
                 TimePoint aNow)
{
  const auto bytes = ContentBytes(aMessage);
  const auto minBytes = OfferMinBytesOf(aPeer);
  if (minBytes == 0 || bytes < minBytes) {
    return std::nullopt;
  }
  const auto id = impl::IdOf(aMessage);
  held_.emplace(id,
                Held{ .peer_ = aPeer,
                      .message_ = aMessage,
                      .bytes_ = bytes,
                      .rank_ = impl::RankOf(aMessage),
                      .heldAt_ = aNow,
                      .expiresAt_ = aExpiresAt });
  return impl::MakeOffer(aMessage, bytes);
}

void
BodyHolder::OnGrant(const NodeAddress& aPeer, const BodyGrant& aGrant)
{
  const auto held = held_.find(aGrant.id_);
  if (held != held_.end() && held->second.peer_ == aPeer) {
    MakeReady(held->first, held->second);
  }
}

bool
BodyHolder::Withdraw(const TransferId& aId)
{
  std::erase_if(ready_, [&](const auto& aEntry) { return aEntry.second == aId; });
  return held_.erase(aId) > 0;
}

std::vector<AddressedMessage>
BodyHolder::TakeReady(TimePoint aNow)
{
  RemoveExpired(aNow);
  std::vector<AddressedMessage> messages;
  while (!ready_.empty() && LinkReadyAt() <= aNow) {
    const auto held = held_.find(ready_.begin()->second);
    ready_.erase(ready_.begin());
    const auto& message = held->second;
    if (link_.IsBounded()) {
      linkFreeAt_ = std::max(linkFreeAt_, aNow) + link_.TransferTime(message.bytes_);
    }
    messages.push_back(
      { message.peer_, impl::WithTimeSpent(message.message_, aNow - message.heldAt_) });
    held_.erase(held);
  }
  return messages;
}

std::vector<AddressedMessage>
BodyHolder::TakeReplies()
{
  std::vector<AddressedMessage> messages;
  for (const auto& [id, held] : held_) {
    if (id.isReply_) {
      messages.push_back({ held.peer_, held.message_ });
    }
  }
  std::erase_if(ready_, [](const auto& aEntry) { return aEntry.second.isReply_; });
  std::erase_if(held_, [](const auto& aEntry) { return aEntry.first.isReply_; });
  return messages;
}

std::optional<TimePoint>
BodyHolder::NextDeadline() const
{
  std::optional<TimePoint> next;
  for (const auto& [id, held] : held_) {
    next = next ? std::min(*next, held.expiresAt_) : held.expiresAt_;
  }
  return next && !ready_.empty() ? std::min(*next, LinkReadyAt()) : next;
}

bool
BodyHolder::HoldsReplies() const noexcept
{
  return std::any_of(
    held_.begin(), held_.end(), [](const auto& aEntry) { return aEntry.first.isReply_; });
}

std::uint64_t
BodyHolder::OfferMinBytesOf(const NodeAddress& aPeer) const
{
  const auto known = offerMinBytes_.find(aPeer);
  return known == offerMinBytes_.end() ? lastOfferMinBytes_ : known->second;
}

void
BodyHolder::MakeReady(const TransferId& aId, Held& aHeld)
{
  if (!aHeld.isReady_) {
    aHeld.isReady_ = true;
    ready_.emplace(Order{ aHeld.rank_, ++sequence_ }, aId);
  }
}

void
BodyHolder::RemoveExpired(TimePoint aNow)
{
  for (auto held = held_.begin(); held != held_.end();) {
    const auto next = std::next(held);
    if (held->second.expiresAt_ <= aNow) {
      Withdraw(TransferId(held->first));
    }
    held = next;
  }
}

TimePoint
BodyHolder::LinkReadyAt() const noexcept
{
  return linkFreeAt_ - link_.window_;
}

} // namespace geraniumpin
