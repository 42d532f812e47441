#pragma once

#include "geraniumpin/request/outcome.hpp"
#include "geraniumpin/version/document.hpp"

#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief What the retry decision needs to know of a request.
struct RetryInputs
{
  const Outcome outcome_ = Outcome::Unknown; ///< of the attempt that just ended
  const bool failed_ = false;                ///< it was answered, by a failure of the instance
  const Reason reason_ = Reason::None;
  const bool idempotent_ = false;
  const bool beforeDeadline_ = false;
  const std::uint32_t attempts_ = 0;  ///< attempts made so far, also those that owners refused
  const std::uint32_t instances_ = 0; ///< instances that attempts may have reached
  const std::uint32_t maxInstances_ = kDefaultAttempts; ///< as the route says
};

/// \brief Limits the retries of one service at one node to a share of its requests.
///
/// Answers the load pattern "retry storm": summed over the nodes, retries stay below a fifth of the
/// requests and a small burst, whatever fails. The share is below half of that, since a request
/// that runs again makes its calls to other services again.
///
/// \code
/// auto budget = RetryBudget{}.AfterRequest();
/// \endcode
class RetryBudget
{
public:
  static constexpr double kRetriesPerRequest = 0.08;
  static constexpr double kMaxBurst = 2;

  [[nodiscard]] bool AllowsRetry() const noexcept { return tokens_ >= 1; }
  [[nodiscard]] RetryBudget AfterRequest() const noexcept;
  [[nodiscard]] RetryBudget AfterRetry() const noexcept;

  auto operator<=>(const RetryBudget&) const = default;

private:
  double tokens_ = kMaxBurst;
};

/// \brief Attempts that one request may make, those included that owner nodes refused.
inline constexpr std::uint32_t kMaxAttempts = 5;

/// \brief Attempts of one request that instances may refuse.
inline constexpr std::uint32_t kMaxAttemptsWhenShed = 4;

/// \brief Owner nodes that one request may ask which are too busy to take it.
///
/// The second one is where a full failure domain spills over to; more would multiply the messages
/// of a fleet that is overloaded everywhere.
inline constexpr std::uint32_t kMaxAttemptsWhenBusy = 2;

/// \brief Says whether an attempt that ended so may have reached an instance.
[[nodiscard]] bool
MayHaveReachedInstance(Outcome aOutcome, Reason aReason) noexcept;

/// \brief Decides whether another attempt may be made.
///
/// A request that is not idempotent is repeated only if the last attempt did not run.
[[nodiscard]] bool
MayRetry(const RetryInputs& aInputs, const RetryBudget& aBudget) noexcept;

} // namespace geraniumpin
