#include "geraniumpin/connection/link_monitor.hpp"

#include "geraniumpin/connection/content_size.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpin {

namespace impl {
namespace {

/// Returns false for messages that only answer one of the receiver: it sends the next one.
bool
ExpectsConfirmation(const Payload& aPayload) noexcept
{
  return !std::holds_alternative<CallReply>(aPayload) &&
         !std::holds_alternative<LeaseGrant>(aPayload) &&
         !std::holds_alternative<TakeoverConfirmation>(aPayload) &&
         !std::holds_alternative<LinkAck>(aPayload);
}

Duration
TransferTime(std::size_t aBytes) noexcept
{
  return std::chrono::microseconds(static_cast<std::int64_t>(aBytes) * 1'000'000 /
                                   LinkMonitor::kMinBytesPerSecond);
}

} // namespace
} // namespace impl

LinkHeader
LinkMonitor::OnSend(const NodeAddress& aPeer, const Payload& aPayload, TimePoint aNow)
{
  auto& link = links_[aPeer];
  link.usedAt_ = aNow;
  link.ackDueAt_.reset();
  link.transferredAt_ =
    std::max(link.transferredAt_, aNow) + impl::TransferTime(ContentBytes(aPayload));
  if (link.isMonitored_ && impl::ExpectsConfirmation(aPayload)) {
    // Messages carry the time in microseconds.
    link.sentAt_ = std::chrono::floor<std::chrono::microseconds>(aNow);
    if (!link.waitingSince_) {
      link.waitingSince_ = link.sentAt_;
      link.timeoutBeganAt_ = aNow;
      link.isPostponed_ = false;
    }
    Schedule(aPeer, SilentAt(link));
  }
  return { .confirmed_ = link.received_, .replacements_ = link.replacements_ };
}

bool
LinkMonitor::OnMessage(const Envelope& aEnvelope, TimePoint aNow)
{
  auto& link = links_[aEnvelope.sender_];
  const bool isNew = link.incarnation_ != aEnvelope.senderIncarnation_;
  if (isNew) {
    link.incarnation_ = aEnvelope.senderIncarnation_;
    link.received_ = {};
    link.waitingSince_.reset();
    link.replacedAt_.reset();
    link.failedReplacements_ = 0;
  }
  link.isMonitored_ = aEnvelope.link_.has_value();
  if (!link.isMonitored_) { // a node of an earlier release
    link.waitingSince_.reset();
    return false;
  }
  const auto& header = *aEnvelope.link_;
  link.received_ = std::max(link.received_, aEnvelope.sentAt_);
  if (impl::ExpectsConfirmation(aEnvelope.payload_) && !link.ackDueAt_) {
    link.ackDueAt_ = aNow + kConfirmationDelay;
    Schedule(aEnvelope.sender_, *link.ackDueAt_);
  }
  OnConfirmation(link, header.confirmed_, aNow);
  const bool wasReplaced =
    std::exchange(link.peerReplacements_, header.replacements_) != header.replacements_;
  // While a long message is transferred, the confirmations behind it are late, not lost.
  if (isNew || !wasReplaced || aNow < link.transferredAt_) {
    return false;
  }
  link.waitingSince_.reset();
  link.ackDueAt_ = aNow;
  Schedule(aEnvelope.sender_, aNow);
  BeginCheck(aNow, aNow - kSilenceTimeout);
  return true;
}

LinkActions
LinkMonitor::TakeDue(TimePoint aNow)
{
  if (aNow < nextDueAt_) {
    return {};
  }
  nextDueAt_ = TimePoint::max();
  std::vector<LinkActions::Silent> silent;
  std::vector<NodeAddress> unconfirmed;
  for (const auto& peer : std::exchange(pending_, {})) {
    auto& link = links_[peer];
    if (link.ackDueAt_ && aNow >= *link.ackDueAt_) {
      link.ackDueAt_.reset();
      unconfirmed.push_back(peer);
    } else if (link.ackDueAt_) {
      Schedule(peer, *link.ackDueAt_);
    }
    if (!link.waitingSince_) {
      continue;
    }
    const auto silentAt = SilentAt(link);
    if (aNow < silentAt) {
      Schedule(peer, silentAt);
    } else if (aNow - silentAt > kMaxLateness && !std::exchange(link.isPostponed_, true)) {
      link.timeoutBeganAt_ = aNow;
      Schedule(peer, SilentAt(link));
    } else {
      silent.push_back({ .peer_ = peer,
                         .waited_ = aNow - link.timeoutBeganAt_,
                         .isAnnounced_ = link.failedReplacements_ < kMaxAnnouncements });
      link.waitingSince_.reset();
      link.replacedAt_ = aNow;
      link.transferredAt_ = aNow;
      ++link.replacements_;
      ++link.failedReplacements_;
    }
  }
  auto unchecked = TakeCheckStep(aNow);
  RemoveUnused(aNow);
  return { .silent_ = std::move(silent),
           .unchecked_ = std::move(unchecked),
           .unconfirmed_ = std::move(unconfirmed) };
}

Duration
LinkMonitor::SilenceTimeout(const Link& aLink) noexcept
{
  Duration timeout = kSilenceTimeout;
  for (int i = 0; i < aLink.failedReplacements_ && timeout < kMaxSilenceTimeout; ++i) {
    timeout *= 2;
  }
  return std::min<Duration>(timeout, kMaxSilenceTimeout);
}

TimePoint
LinkMonitor::SilentAt(const Link& aLink) noexcept
{
  return std::max(aLink.timeoutBeganAt_, aLink.transferredAt_) + SilenceTimeout(aLink);
}

void
LinkMonitor::OnConfirmation(Link& aLink, Duration aConfirmed, TimePoint aNow)
{
  const TimePoint confirmed{ aConfirmed };
  if (!aLink.waitingSince_ || confirmed < *aLink.waitingSince_) {
    return;
  }
  aLink.confirmedAt_ = aNow;
  aLink.failedReplacements_ = 0;
  aLink.isPostponed_ = false;
  // The messages after the confirmed one were sent by sentAt_ at the latest.
  aLink.waitingSince_ = confirmed < aLink.sentAt_ ? std::optional(aLink.sentAt_) : std::nullopt;
  aLink.timeoutBeganAt_ = aLink.sentAt_;
  if (const auto replacedAt = std::exchange(aLink.replacedAt_, std::nullopt)) {
    BeginCheck(aNow, *replacedAt);
  }
}

/// Checks the links on which nothing was confirmed since a time.
void
LinkMonitor::BeginCheck(TimePoint aNow, TimePoint aConfirmedBefore)
{
  if (aNow < nextCheckAt_) {
    return;
  }
  nextCheckAt_ = aNow + kMinCheckPause;
  for (const auto& [peer, link] : links_) {
    const bool isOpen = link.usedAt_ != TimePoint{} && aNow - link.usedAt_ < kLinkLifetime;
    if (isOpen && link.isMonitored_ && !link.waitingSince_ &&
        link.confirmedAt_ < aConfirmedBefore) {
      unchecked_.push_back(peer);
    }
  }
  checksPerStep_ = unchecked_.size() / kCheckSteps + 1;
  nextCheckStepAt_ = aNow;
  nextDueAt_ = std::min(nextDueAt_, aNow);
}

std::vector<NodeAddress>
LinkMonitor::TakeCheckStep(TimePoint aNow)
{
  std::vector<NodeAddress> step;
  if (unchecked_.empty()) {
    return step;
  }
  if (aNow >= nextCheckStepAt_) {
    const auto count = std::min(checksPerStep_, unchecked_.size());
    step.assign(unchecked_.end() - static_cast<std::ptrdiff_t>(count), unchecked_.end());
    unchecked_.resize(unchecked_.size() - count);
    nextCheckStepAt_ = aNow + kCheckInterval;
  }
  if (!unchecked_.empty()) {
    nextDueAt_ = std::min(nextDueAt_, nextCheckStepAt_);
  }
  return step;
}

void
LinkMonitor::Schedule(const NodeAddress& aPeer, TimePoint aDueAt)
{
  pending_.insert(aPeer);
  nextDueAt_ = std::min(nextDueAt_, aDueAt);
}

void
LinkMonitor::RemoveUnused(TimePoint aNow)
{
  if (aNow < nextRemovalAt_) {
    return;
  }
  nextRemovalAt_ = aNow + kLinkLifetime;
  std::erase_if(links_, [&](const auto& aEntry) {
    return aNow - aEntry.second.usedAt_ > kLinkLifetime && !pending_.contains(aEntry.first);
  });
}

} // namespace geraniumpin
