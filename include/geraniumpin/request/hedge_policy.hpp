#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace geraniumpin {

/// \brief Share of a route's responses that are faster than the delay after which a request is
/// hedged: one request in twenty is late by this measure while the load is even.
inline constexpr double kHedgeQuantile = 0.95;

/// \brief Mean load of a service's instances above which its requests are not hedged.
///
/// Above it a second attempt takes capacity from first attempts, which makes more of them late.
inline constexpr double kMaxHedgeLoad = 0.7;

/// \brief Saturation of the entry node above which it does not hedge.
inline constexpr double kMaxHedgeSaturation = 0.5;

/// \brief Limits the hedges of one service at one node to a share of its requests.
///
/// For the load pattern "all slow": while every request is late, the share bounds the added load.
class HedgeBudget
{
public:
  static constexpr double kMaxBurst = 2; ///< unused hedges that can accumulate

  [[nodiscard]] bool AllowsHedge() const noexcept { return tokens_ >= 1; }
  /// \param aRatio Hedges that a request adds to the budget.
  [[nodiscard]] HedgeBudget AfterRequest(double aRatio) const noexcept;
  [[nodiscard]] HedgeBudget AfterHedge() const noexcept;

  auto operator<=>(const HedgeBudget&) const = default;

private:
  double tokens_ = 0;
};

/// \brief Inputs of the decision whether a late request gets a second attempt.
struct HedgeInputs
{
  const double ratio_ = 0; ///< of the settings; 0: no request is hedged
  const bool idempotent_ = false;
  const bool hasBody_ = false;
  const bool isRepeat_ = false;          ///< a call of an execution that is itself a retry
  const bool hasOtherAttempt_ = false;   ///< a further attempt is in progress already
  const std::uint32_t instances_ = 0;    ///< instances that attempts may have reached
  const std::uint32_t maxInstances_ = 0; ///< from the route
  const bool isServiceRefusing_ = false; ///< the service has no capacity for some rank
  const double serviceLoad_ = 0;         ///< mean load of the instances that could be chosen
  const double nodeSaturation_ = 0;      ///< of this node, 0 to 1
  const bool allowsRetry_ = false;       ///< the shared retry budget has room
  const bool allowsHedge_ = false;       ///< the hedge budget has room

  auto operator<=>(const HedgeInputs&) const = default;
};

/// \brief Whether a late request gets a second attempt, or the first reason against it.
enum class HedgeDecision
{
  Hedge,
  Disabled,       ///< the settings allow no hedges
  NotRepeatable,  ///< not idempotent, or with a body, or a call of a retried execution
  InProgress,     ///< a further attempt is in progress already
  NoInstanceLeft, ///< the route allows no further instance
  ServiceBusy,    ///< the service refuses requests, or its load is too high
  NodeSaturated,  ///< this node is short of processor time
  NoBudget        ///< the share of hedges or of retries is used up
};

/// \brief Decides whether a request that is late gets a second attempt.
[[nodiscard]] HedgeDecision
DecideHedge(const HedgeInputs& aInputs) noexcept;

/// \brief Returns true if the response to a request could come from a second attempt at all,
/// whatever the load.
[[nodiscard]] bool
MayBeHedged(const HedgeInputs& aInputs) noexcept;

/// \brief Returns the decision as a lower-case word with underscores.
[[nodiscard]] std::string_view
ToString(HedgeDecision aDecision) noexcept;

} // namespace geraniumpin
