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
    link = { .incarnation_ = aIncarnation, .lowest_ = difference, .heardAt_ = aNow };
    return {};
  }
  const auto forgotten = std::chrono::duration_cast<Duration>((aNow - link.heardAt_) * kDrift);
  link.lowest_ = std::min(difference, link.lowest_ + forgotten);
  link.heardAt_ = aNow;
  return difference - link.lowest_;
}

} // namespace geraniumpin
