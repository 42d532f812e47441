#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace geraniumpin {

/// \brief What a node with a narrow link allows to be under way to it.
struct LinkWindow
{
  /// Body size below which an offer costs more than it saves.
  static constexpr std::size_t kMinOfferBytes = std::size_t{ 16 } << 10U;
  /// Time on the link below which a body delays nothing.
  static constexpr std::chrono::milliseconds kMinOfferTime{ 5 };

  const std::uint64_t bitsPerSecond_ = 0;    ///< of the link in each direction; 0: unknown
  const std::chrono::milliseconds window_{}; ///< link time that bodies may take; 0: no bound

  [[nodiscard]] bool IsBounded() const noexcept
  {
    return bitsPerSecond_ > 0 && window_.count() > 0;
  }

  /// \brief Computes the time that bytes take on the link; 0 if its rate is unknown.
  [[nodiscard]] Duration TransferTime(std::size_t aBytes) const noexcept
  {
    if (bitsPerSecond_ == 0) {
      return {};
    }
    const std::chrono::duration<double> time(static_cast<double>(aBytes) * 8 /
                                             static_cast<double>(bitsPerSecond_));
    return std::chrono::duration_cast<Duration>(time);
  }

  /// \brief Computes the bytes that the link transfers within a time.
  [[nodiscard]] std::size_t BytesWithin(Duration aTime) const noexcept
  {
    const std::chrono::duration<double> seconds(aTime);
    return static_cast<std::size_t>(seconds.count() * static_cast<double>(bitsPerSecond_) / 8);
  }

  /// \brief Computes the size in bytes from which bodies must be offered; 0: none must.
  [[nodiscard]] std::size_t OfferMinBytes() const noexcept
  {
    return IsBounded() ? std::max(kMinOfferBytes, BytesWithin(kMinOfferTime)) : 0;
  }

  auto operator<=>(const LinkWindow&) const = default;
};

} // namespace geraniumpin
