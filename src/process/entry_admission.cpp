#include "geraniumpin/process/entry_admission.hpp"

#include <algorithm>

namespace geraniumpin {

void
EntryAdmission::OnReply(const std::string& aService,
                        const std::string& aRoute,
                        const NodeAddress& aOwner,
                        std::uint32_t aSlots,
                        const CallReply& aReply,
                        TimePoint aNow)
{
  if (!aReply.isCallRoute_) {
    callRoutes_.erase(aRoute);
  } else if (callRoutes_.size() < kMaxCallRoutes || callRoutes_.contains(aRoute)) {
    callRoutes_.insert_or_assign(aRoute, aNow);
  }
  if (isEnabled_ && aReply.room_) {
    services_[aService].OnRoom(aOwner, aSlots, *aReply.room_, aNow);
  }
}

std::optional<Duration>
EntryAdmission::Refuse(const AdmissionRequest& aRequest, double aSpread, TimePoint aNow)
{
  const auto found = services_.find(aRequest.service_);
  if (found == services_.end() || found->second.Admits(aRequest.rank_, aRequest.position_, aNow)) {
    return std::nullopt;
  }
  const auto base =
    std::max<Duration>(found->second.RoomAfter(aNow),
                       std::chrono::duration_cast<Duration>(aRequest.target_ * kRetryAfterShare));
  return std::chrono::duration_cast<Duration>(base *
                                              (kMinSpread + aSpread * (kMaxSpread - kMinSpread)));
}

bool
EntryAdmission::AllowsRetry(const std::string& aService, std::uint32_t aRank, TimePoint aNow) const
{
  const auto found = services_.find(aService);
  return found == services_.end() || found->second.AllowsRetry(aRank, aNow);
}

bool
EntryAdmission::IsRefusing(const std::string& aService, TimePoint aNow) const
{
  const auto found = services_.find(aService);
  return found != services_.end() && found->second.IsRefusing(aNow);
}

bool
EntryAdmission::IsCallRoute(const std::string& aRoute, TimePoint aNow) const
{
  const auto found = callRoutes_.find(aRoute);
  return found != callRoutes_.end() && aNow - found->second < kCallRouteLifetime;
}

double
EntryAdmission::Level(const std::string& aService, std::uint32_t aRank) const
{
  const auto found = services_.find(aService);
  return found == services_.end() ? 1 : found->second.Level(aRank);
}

} // namespace geraniumpin
