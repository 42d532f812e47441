#pragma once

#include "geraniumpin/request/outcome.hpp"
#include "geraniumpin/version/document.hpp"

#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Inputs of the retry decision.
struct RetryInputs
{
  const Outcome outcome_ = Outcome::Unknown; ///< of the attempt that just ended
  const bool failed_ = false;                ///< the attempt was answered with a server error
  const Reason reason_ = Reason::None;
  const bool idempotent_ = false;
  const bool beforeDeadline_ = false;
  const std::uint32_t attempts_ = 0;  ///< attempts so far, those included that owners refused
  const std::uint32_t instances_ = 0; ///< instances that attempts may have reached
  const std::uint32_t maxInstances_ = kDefaultAttempts; ///< from the route
  const bool serviceHasRoom_ = true; ///< false if most owners of the service refuse such requests
};

/// \brief Limits the retries of one service at one node to a share of its requests.
///
/// For the load pattern "retry storm": summed over the nodes, retries stay below a fifth of the
/// requests plus a small burst, whatever fails. The share per service is less than half of that,
/// since a request that runs again repeats its calls to other services.
///
/// \code
/// auto budget = RetryBudget{}.AfterRequest();
/// \endcode
class RetryBudget
{
public:
  static constexpr double kRetriesPerRequest = 0.08; ///< unless the settings state another ratio
  static constexpr double kMaxBurst = 2;             ///< unused retries that can accumulate

  [[nodiscard]] bool AllowsRetry() const noexcept { return tokens_ >= 1; }
  /// \param aRatio Retries that a request adds to the budget.
  [[nodiscard]] RetryBudget AfterRequest(double aRatio = kRetriesPerRequest) const noexcept;
  [[nodiscard]] RetryBudget AfterRetry() const noexcept;

  auto operator<=>(const RetryBudget&) const = default;

private:
  double tokens_ = kMaxBurst;
};

/// \brief Maximum attempts of one request, those included that owner nodes refused.
inline constexpr std::uint32_t kMaxAttempts = 5;

/// \brief Maximum attempts of one request if an instance refused the last one; may exceed the
/// instances that the route allows.
inline constexpr std::uint32_t kMaxAttemptsWhenShed = 4;

/// \brief Maximum attempts of one request if the last owner node was too busy.
///
/// The second attempt covers a full failure domain that spills over; more would multiply the
/// messages while all failure domains are overloaded.
inline constexpr std::uint32_t kMaxAttemptsWhenBusy = 2;

/// \brief Returns true if an attempt with this result may have arrived at an instance, even at one
/// that refused it, so that a retry adds load and needs budget.
[[nodiscard]] bool
MayHaveArrived(Outcome aOutcome, Reason aReason) noexcept;

/// \brief Returns true if an attempt with this result may have reached the instance that was chosen
/// for it, so that the instance counts toward the attempts of the route.
[[nodiscard]] bool
MayHaveReachedInstance(Outcome aOutcome, Reason aReason) noexcept;

/// \brief Returns true if another attempt may be made.
///
/// A request that is not idempotent is retried only if the last attempt did not run.
[[nodiscard]] bool
MayRetry(const RetryInputs& aInputs, const RetryBudget& aBudget) noexcept;

} // namespace geraniumpin
