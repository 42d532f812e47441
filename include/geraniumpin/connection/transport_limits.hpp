#pragma once

#include "geraniumpin/process/settings.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <limits>

namespace geraniumpin {

/// \brief Bounds in bytes of the messages between nodes.
struct TransportLimits
{
  /// Of all messages that wait to be sent.
  const std::size_t maxQueuedBytes_ = std::numeric_limits<std::size_t>::max();
  /// Of the messages that wait to be sent to one peer.
  const std::size_t maxQueuedBytesPerPeer_ = std::numeric_limits<std::size_t>::max();
  /// Of a received part of a message; a starting node gets the whole configuration in one. The
  /// connection of its sender is closed beyond it.
  const std::size_t maxMessageBytes_ = std::size_t{ 64 } << 20U;

  auto operator<=>(const TransportLimits&) const = default;
};

/// \brief Computes the limits for a machine.
///
/// Half of the memory may wait in all, so that a machine of 160 MB still sends one body of 64 MB; a
/// quarter, but at least one such body, for one peer.
/// \param aMachine Its memory is in bytes; 0 is unknown and sets no bound on what waits.
/// \param aMaxBodyBytes Largest body of a request or response.
[[nodiscard]] inline TransportLimits
MakeTransportLimits(const MachineLimits& aMachine, std::size_t aMaxBodyBytes) noexcept
{
  // Header fields of a request have 64 KB at most.
  constexpr std::size_t kMaxEnvelopeBytes = std::size_t{ 1 } << 20U;
  const auto maxMessage =
    std::max(TransportLimits{}.maxMessageBytes_, aMaxBodyBytes + kMaxEnvelopeBytes);
  if (aMachine.memoryBytes_ == 0) {
    return { .maxMessageBytes_ = maxMessage };
  }
  const auto all = aMachine.memoryBytes_ / 2;
  const auto one = std::max(aMachine.memoryBytes_ / 4, aMaxBodyBytes + kMaxEnvelopeBytes);
  return { .maxQueuedBytes_ = all,
           .maxQueuedBytesPerPeer_ = std::min(all, one),
           .maxMessageBytes_ = maxMessage };
}

} // namespace geraniumpin
