#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/random.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Exponential back-off with full jitter.
///
/// \code
/// const auto wait = backoff.Draw(random);
/// backoff = backoff.AfterFailure();
/// \endcode
class Backoff
{
public:
  /// \param aFirst Longest wait after the first failure.
  /// \param aMost Longest wait after any failure.
  Backoff(Duration aFirst, Duration aMost) noexcept
    : first_(aFirst)
    , most_(aMost)
  {
  }

  [[nodiscard]] Backoff AfterFailure() const noexcept
  {
    auto next = *this;
    next.failures_ = std::min(failures_ + 1, kMostDoublings);
    return next;
  }
  [[nodiscard]] Backoff AfterSuccess() const noexcept { return { first_, most_ }; }

  /// \brief Draws a wait between zero and the current limit.
  template<Random R>
  [[nodiscard]] Duration Draw(R& aRandom) const
  {
    const auto limit = std::min(most_, first_ * (std::int64_t{ 1 } << failures_));
    return std::chrono::duration_cast<Duration>(limit * DrawFraction(aRandom));
  }

  auto operator<=>(const Backoff&) const = default;

private:
  static constexpr std::uint32_t kMostDoublings = 16;

  Duration first_;
  Duration most_;
  std::uint32_t failures_ = 0;
};

} // namespace geraniumpin
