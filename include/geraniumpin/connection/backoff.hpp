#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/random.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Exponential backoff with full jitter.
///
/// \code
/// const auto wait = backoff.Draw(random);
/// backoff = backoff.AfterFailure();
/// \endcode
class Backoff
{
public:
  /// \param aInitial Longest wait after the first failure.
  /// \param aMax Longest wait after any failure.
  Backoff(Duration aInitial, Duration aMax) noexcept
    : initial_(aInitial)
    , max_(aMax)
  {
  }

  [[nodiscard]] Backoff AfterFailure() const noexcept
  {
    auto next = *this;
    next.failures_ = std::min(failures_ + 1, kMaxDoublings);
    return next;
  }
  [[nodiscard]] Backoff AfterSuccess() const noexcept { return { initial_, max_ }; }

  /// \brief Draws a wait between zero and the current limit, which doubles with each failure.
  template<Random R>
  [[nodiscard]] Duration Draw(R& aRandom) const
  {
    const auto limit = std::min(max_, initial_ * (std::int64_t{ 1 } << failures_));
    return std::chrono::duration_cast<Duration>(limit * DrawFraction(aRandom));
  }

  auto operator<=>(const Backoff&) const = default;

private:
  static constexpr std::uint32_t kMaxDoublings = 16;

  Duration initial_;
  Duration max_;
  std::uint32_t failures_ = 0;
};

} // namespace geraniumpin
