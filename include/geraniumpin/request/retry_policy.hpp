#pragma once

#include "geraniumpin/request/outcome.hpp"

#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief What the retry decision needs to know of a request.
struct RetryFacts
{
  const Outcome outcome_ = Outcome::Unknown; ///< of the attempt that just ended
  const Reason reason_ = Reason::None;
  const bool idempotent_ = false;
  const bool beforeDeadline_ = false;
  const std::uint32_t attempts_ = 0; ///< attempts made so far
};

/// \brief Limits retries to a share of the requests that succeed.
///
/// \code
/// auto budget = RetryBudget{}.AfterSuccess();
/// \endcode
class RetryBudget
{
public:
  static constexpr double kRetriesPerSuccess = 0.1;
  static constexpr double kMostRetries = 10;

  [[nodiscard]] bool AllowsRetry() const noexcept { return tokens_ >= 1; }
  [[nodiscard]] RetryBudget AfterSuccess() const noexcept;
  [[nodiscard]] RetryBudget AfterRetry() const noexcept;

  auto operator<=>(const RetryBudget&) const = default;

private:
  double tokens_ = kMostRetries;
};

/// \brief Attempts that one request may make.
inline constexpr std::uint32_t kMostAttempts = 3;

/// \brief Decides whether another attempt may be made.
///
/// A request that is not idempotent is repeated only if the last attempt did not run.
[[nodiscard]] bool
MayRetry(const RetryFacts& aFacts, const RetryBudget& aBudget) noexcept;

} // namespace geraniumpin
