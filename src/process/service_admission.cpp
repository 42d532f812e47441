#include "geraniumpin/process/service_admission.hpp"

#include <algorithm>
#include <cmath>

namespace geraniumpin {

AdmissionLevel
AdmissionLevel::After(double aAdmittedShare, TimePoint aNow) const noexcept
{
  if (aNow - changedAt_ < kInterval) {
    return *this;
  }
  auto next = *this;
  next.changedAt_ = aNow;
  if (aAdmittedShare < kTargetShare) {
    const double fitting = level_ * aAdmittedShare / kTargetShare;
    next.level_ = std::max(kMinLevel, level_ + kReductionGain * (fitting - level_));
  } else if (aAdmittedShare >= kIncreaseShare) {
    next.level_ = std::min(1.0, level_ * kIncreaseFactor + kIncrease);
  }
  return next;
}

void
ServiceAdmission::OnRoom(const NodeAddress& aOwner,
                         std::uint32_t aSlots,
                         const OwnerRoom& aRoom,
                         TimePoint aNow)
{
  if (owners_.size() >= kMaxOwners && !owners_.contains(aOwner)) {
    std::erase_if(owners_,
                  [&](const auto& aEntry) { return aNow - aEntry.second.receivedAt_ >= kMaxAge; });
  }
  if (owners_.size() < kMaxOwners || owners_.contains(aOwner)) {
    owners_.insert_or_assign(aOwner, Statement{ aRoom, std::max(1U, aSlots), aNow });
  }
}

double
ServiceAdmission::WeightOf(const Statement& aStatement, TimePoint aNow) noexcept
{
  const auto age = aNow - aStatement.receivedAt_;
  const std::chrono::duration<double> halfLife = kStatementHalfLife;
  const double freshness = std::exp2(-(std::chrono::duration<double>(age) / halfLife));
  return age < kMaxAge ? aStatement.slots_ * freshness : 0;
}

double
ServiceAdmission::ShareOf(const OwnerRoom& aRoom, std::uint32_t aRank) noexcept
{
  if (aRank == aRoom.admittedRank_) {
    return aRoom.admittedShare_;
  }
  return aRank < aRoom.admittedRank_ ? 1 : 0;
}

double
ServiceAdmission::AdmittedShare(std::uint32_t aRank, TimePoint aNow) const
{
  double admitted = 0;
  double total = 0;
  for (const auto& [owner, statement] : owners_) {
    const double weight = WeightOf(statement, aNow);
    total += weight;
    admitted += weight * ShareOf(statement.room_, aRank);
  }
  return total > 0 ? admitted / total : 1;
}

bool
ServiceAdmission::Admits(std::uint32_t aRank, double aPosition, TimePoint aNow)
{
  if (levels_.size() >= kMaxRanks && !levels_.contains(aRank)) {
    return true;
  }
  auto& level = levels_[aRank];
  level = level.After(AdmittedShare(aRank, aNow), aNow);
  return aPosition < level.Level();
}

bool
ServiceAdmission::IsRefusing(TimePoint aNow) const
{
  const bool isLimited = std::any_of(
    levels_.begin(), levels_.end(), [](const auto& aEntry) { return aEntry.second.Level() < 1; });
  return isLimited || std::any_of(owners_.begin(), owners_.end(), [&](const auto& aEntry) {
           const auto& statement = aEntry.second;
           return aNow - statement.receivedAt_ < kMaxAge && statement.room_ != OwnerRoom{};
         });
}

double
ServiceAdmission::Level(std::uint32_t aRank) const
{
  const auto found = levels_.find(aRank);
  return found == levels_.end() ? 1 : found->second.Level();
}

Duration
ServiceAdmission::RoomAfter(TimePoint aNow) const
{
  Duration shortest = Duration::max();
  for (const auto& [owner, statement] : owners_) {
    if (aNow - statement.receivedAt_ < kMaxAge) {
      shortest = std::min(shortest, statement.room_.roomAfter_);
    }
  }
  return shortest == Duration::max() ? Duration{} : shortest;
}

} // namespace geraniumpin
