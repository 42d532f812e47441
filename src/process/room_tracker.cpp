#include "geraniumpin/process/room_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

double
RoomTracker::Decay(Duration aElapsed) noexcept
{
  const std::chrono::duration<double> halfLife = kHalfLife;
  return std::exp2(-(std::chrono::duration<double>(aElapsed) / halfLife));
}

void
RoomTracker::Record(std::uint32_t aRank, bool aIsAdmitted, TimePoint aNow)
{
  if (ranks_.size() >= kMaxRanks && !ranks_.contains(aRank)) {
    ranks_.erase(std::min_element(ranks_.begin(), ranks_.end(), [](const auto& aA, const auto& aB) {
      return aA.second.countedAt_ < aB.second.countedAt_;
    }));
  }
  auto& counts = ranks_[aRank];
  const double decay = Decay(aNow - counts.countedAt_);
  counts.countedAt_ = aNow;
  counts.offered_ = counts.offered_ * decay + 1;
  counts.admitted_ = counts.admitted_ * decay + (aIsAdmitted ? 1 : 0);
}

OwnerRoom
RoomTracker::Room(Duration aExpectedWait, TimePoint aNow) const
{
  for (const auto& [rank, counts] : ranks_) {
    const double weight = counts.offered_ * Decay(aNow - counts.countedAt_);
    const double admitted = counts.admitted_ / counts.offered_;
    if (weight >= kMinWeight && admitted < 1 - kMinRefusedShare) {
      return { .admittedRank_ = rank, .admittedShare_ = admitted, .roomAfter_ = aExpectedWait };
    }
  }
  return {};
}

} // namespace geraniumpin
