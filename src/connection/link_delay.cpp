#include "geraniumpin/connection/link_delay.hpp"

#include <algorithm>

namespace geraniumpin {

Duration
LinkDelay::OnMessage(const NodeAddress& aSender,
                     std::uint64_t aIncarnation,
                     Duration aSentAt,
                     TimePoint aNow)
{
  if (aSentAt == Duration{}) {
    return {};
  }
  const auto difference = aNow.time_since_epoch() - aSentAt;
  auto& link = links_[aSender];
  if (link.incarnation_ != aIncarnation) {
    link = { .incarnation_ = aIncarnation, .minDifference_ = difference, .lastContactAt_ = aNow };
    return {};
  }
  const auto drift =
    std::chrono::duration_cast<Duration>((aNow - link.lastContactAt_) * kMaxClockDrift);
  link.minDifference_ = std::min(difference, link.minDifference_ + drift);
  link.lastContactAt_ = aNow;
  return difference - link.minDifference_;
}

} // namespace geraniumpin
