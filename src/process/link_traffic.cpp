#include "geraniumpin/process/link_traffic.hpp"

#include "geraniumpin/connection/content_size.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpin {

namespace impl {
namespace {

template<class... Type>
bool
IsAnyOf(const Payload& aPayload) noexcept
{
  return (std::holds_alternative<Type>(aPayload) || ...);
}

} // namespace
} // namespace impl

TrafficKind
FindTrafficKind(const Payload& aPayload) noexcept
{
  if (impl::IsAnyOf<VersionPull, VersionPush>(aPayload)) {
    return TrafficKind::Version;
  }
  if (impl::IsAnyOf<Heartbeat, LinkAck>(aPayload)) {
    return TrafficKind::Membership;
  }
  if (impl::IsAnyOf<LeaseRequest, LeaseGrant, TakeoverRequest, TakeoverConfirmation>(aPayload)) {
    return TrafficKind::Limit;
  }
  return ContentBytes(aPayload) < kMinLargeContentBytes ? TrafficKind::Request
                                                        : TrafficKind::Content;
}

std::string_view
ToString(TrafficKind aKind) noexcept
{
  switch (aKind) {
    case TrafficKind::Version:
      return "version";
    case TrafficKind::Membership:
      return "membership";
    case TrafficKind::Limit:
      return "limit";
    case TrafficKind::Request:
      return "request";
    case TrafficKind::Content:
      return "content";
  }
  return "invalid";
}

LogEvent
MakeTrafficEvent(const TrafficReport& aReport, const WindowState& aWindow)
{
  LogEvent event("link_traffic");
  event.With("period_ms", Milliseconds(aReport.period_));
  for (std::size_t i = 0; i < kTrafficKinds; ++i) {
    const auto& traffic = aReport.kinds_.at(i);
    if (traffic.messages_ > 0) {
      const std::string kind(ToString(static_cast<TrafficKind>(i)));
      event.With(kind, traffic.messages_)
        .With(kind + "_bytes", traffic.bytes_)
        .With(kind + "_delay_us", Microseconds(traffic.longestDelay_));
    }
  }
  event.With("granted_bytes", aWindow.grantedBytes_)
    .With("granted_us", Microseconds(aWindow.oldestGranted_))
    .With("waiting_bytes", aWindow.waitingBytes_)
    .With("waiting_us", Microseconds(aWindow.oldestWaiting_))
    .With("grants_lost", aWindow.lost_);
  return event;
}

std::optional<TrafficReport>
LinkTraffic::OnMessage(const Payload& aPayload, Duration aDelay, TimePoint aNow)
{
  std::optional<TrafficReport> due;
  if (since_ && aNow - *since_ >= kPeriod) {
    report_.period_ = aNow - *since_;
    due = std::exchange(report_, {});
    since_.reset();
  }
  since_ = since_.value_or(aNow);
  auto& kind = report_.kinds_.at(static_cast<std::size_t>(FindTrafficKind(aPayload)));
  ++kind.messages_;
  kind.bytes_ += ContentBytes(aPayload);
  kind.longestDelay_ = std::max(kind.longestDelay_, aDelay);
  return due;
}

} // namespace geraniumpin
