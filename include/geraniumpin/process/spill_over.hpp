#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/request/instance_choice.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <vector>

namespace geraniumpin {

/// \brief Load of a service in the failure domain of an entry node and in the others.
struct ServiceLoad
{
  const double localLoad_ = 0;   ///< mean over the local slots
  const double localSlots_ = 0;  ///< concurrent requests that the local instances can run
  const double remoteLoad_ = 0;  ///< mean over the remote slots with recent load reports
  const double remoteSlots_ = 0; ///< remote slots with recent load reports; 0: no report is recent
  const std::size_t failureDomains_ = 1; ///< with instances of the service

  auto operator<=>(const ServiceLoad&) const = default;
};

/// \brief Computes the load of a service from its candidates, weighted by slots.
[[nodiscard]] ServiceLoad
ComputeServiceLoad(const std::vector<Candidate>& aCandidates);

/// \brief Share of a service's requests that an entry node sends to other failure domains.
///
/// For the load patterns "burst in one failure domain" and "callers move": only the excess leaves.
/// The share approaches the computed one in steps, so that the nodes of a failure domain, which
/// receive the same reports, do not all move their requests at once.
///
/// \code
/// spillOver = spillOver.After(load, now);
/// const bool leaves = DrawFraction(random) < spillOver.ShareOf(isLarge);
/// \endcode
class SpillOver
{
public:
  /// Load above which requests leave: the last slots are kept for variations of the load.
  static constexpr double kTargetLoad = 0.9;
  /// Load above which a report counts as this one: a failing instance reports many times its load.
  static constexpr double kMaxCountedLoad = 2;
  /// Interval of the steps, longer than the round trip after which an effect is visible.
  static constexpr std::chrono::milliseconds kInterval{ 100 };
  /// Part of the difference to the computed share that one step covers.
  static constexpr double kGain = 0.25;
  /// Share while no other failure domain has reported its load: enough requests to get reports.
  static constexpr double kProbeShare = 0.02;
  /// A share below it is 0.
  static constexpr double kMinShare = 0.005;
  /// Weight of the newest request in the share of large ones.
  static constexpr double kSizeSmoothing = 0.02;

  /// \brief Adapts the share, at most once in kInterval.
  [[nodiscard]] SpillOver After(const ServiceLoad& aLoad, TimePoint aNow) const noexcept;

  /// \brief Records the size of a request.
  [[nodiscard]] SpillOver AfterRequest(bool aIsLarge) const noexcept;

  /// \brief Share of all requests that leaves the failure domain.
  [[nodiscard]] double Share() const noexcept { return share_; }

  /// \brief Share of the small or of the large requests that leaves the failure domain: small ones
  /// first, since bytes between failure domains are expensive.
  [[nodiscard]] double ShareOf(bool aIsLarge) const noexcept;

  auto operator<=>(const SpillOver&) const = default;

private:
  double share_ = 0;
  double largeFraction_ = 0; ///< smoothed, of the requests
  TimePoint changedAt_{};
};

} // namespace geraniumpin
