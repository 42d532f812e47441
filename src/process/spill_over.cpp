#include "geraniumpin/process/spill_over.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace geraniumpin {

namespace impl {
namespace {

/// The share of the requests with which the local load would be the target load.
double
ComputeExcessShare(const ServiceLoad& aLoad, double aShare) noexcept
{
  if (aLoad.localLoad_ <= 0) {
    return 0;
  }
  return std::max(0.0, 1 - SpillOver::kTargetLoad * (1 - aShare) / aLoad.localLoad_);
}

/// The largest share that the other failure domains have capacity for, if all failure domains that
/// could send their excess there get an equal part of it.
double
ComputeRoomShare(const ServiceLoad& aLoad, double aShare) noexcept
{
  if (aLoad.remoteSlots_ <= 0) {
    return SpillOver::kProbeShare;
  }
  if (aLoad.remoteLoad_ >= SpillOver::kTargetLoad) {
    return aShare * SpillOver::kTargetLoad / aLoad.remoteLoad_;
  }
  const double demand = aLoad.localLoad_ * aLoad.localSlots_ / std::max(1 - aShare, 0.01);
  const double spare = (SpillOver::kTargetLoad - aLoad.remoteLoad_) * aLoad.remoteSlots_;
  const auto competitors = static_cast<double>(std::max<std::size_t>(1, aLoad.failureDomains_ - 1));
  return demand <= 0 ? 0 : aShare + spare / competitors / demand;
}

} // namespace
} // namespace impl

ServiceLoad
ComputeServiceLoad(const std::vector<Candidate>& aCandidates)
{
  double localLoad = 0;
  double localSlots = 0;
  double remoteLoad = 0;
  double remoteSlots = 0;
  std::set<std::string_view> failureDomains;
  for (const auto& candidate : aCandidates) {
    const auto slots = static_cast<double>(std::max(1U, candidate.slots_));
    const auto load = std::min(candidate.loadReport_.load_, SpillOver::kMaxCountedLoad);
    failureDomains.insert(candidate.backendServer_->failureDomain_);
    if (candidate.local_) {
      localSlots += slots;
      localLoad += load * slots;
    } else if (candidate.isReportRecent_) {
      remoteSlots += slots;
      remoteLoad += load * slots;
    }
  }
  return { .localLoad_ = localSlots > 0 ? localLoad / localSlots : 0,
           .localSlots_ = localSlots,
           .remoteLoad_ = remoteSlots > 0 ? remoteLoad / remoteSlots : 0,
           .remoteSlots_ = remoteSlots,
           .failureDomains_ = std::max<std::size_t>(1, failureDomains.size()) };
}

SpillOver
SpillOver::After(const ServiceLoad& aLoad, TimePoint aNow) const noexcept
{
  if (aNow - changedAt_ < kInterval) {
    return *this;
  }
  auto next = *this;
  next.changedAt_ = aNow;
  const double wanted = std::min(impl::ComputeExcessShare(aLoad, share_),
                                 std::min(1.0, impl::ComputeRoomShare(aLoad, share_)));
  next.share_ = share_ + kGain * (wanted - share_);
  if (next.share_ < kMinShare) {
    next.share_ = wanted >= kMinShare ? kMinShare : 0;
  }
  return next;
}

SpillOver
SpillOver::AfterRequest(bool aIsLarge) const noexcept
{
  auto next = *this;
  next.largeFraction_ += kSizeSmoothing * ((aIsLarge ? 1.0 : 0.0) - largeFraction_);
  return next;
}

double
SpillOver::ShareOf(bool aIsLarge) const noexcept
{
  const double smallFraction = 1 - largeFraction_;
  if (!aIsLarge) {
    return share_ >= smallFraction ? 1 : share_ / smallFraction;
  }
  return share_ <= smallFraction ? 0 : (share_ - smallFraction) / largeFraction_;
}

} // namespace geraniumpin
