#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <span>
#include <utility>

namespace geraniumpin {

/// \brief The least progress of a body that is being received.
struct ProgressLimits
{
  /// Time of less progress after which the connection closes. Longer than any timeout of a route
  /// in use (6 s), so that no caller would still wait for a response.
  const std::chrono::milliseconds bodyTimeout_ = kDefaultBodyTimeout;
  /// Bytes a second; one segment of TCP, so that any client that still sends reaches it.
  const std::size_t minBytesPerSecond_ = kDefaultMinBytesPerSecond;

  static constexpr std::chrono::milliseconds kDefaultBodyTimeout{ 10000 };
  static constexpr std::size_t kDefaultMinBytesPerSecond = 1024;

  auto operator<=>(const ProgressLimits&) const = default;
};

/// \brief Measures the bytes that a connection has moved lately, in intervals of a second.
class ProgressMeter
{
public:
  static constexpr std::chrono::milliseconds kInterval{ 1000 };

  /// \brief Begins a measurement, with an interval that may be shorter than the others.
  /// \param aTotalBytes Bytes that the connection has moved since its start, here and below.
  void Begin(std::size_t aTotalBytes) noexcept
  {
    *this = {};
    countedBytes_ = aTotalBytes;
  }

  void EndInterval(std::size_t aTotalBytes, std::size_t aMinBytes) noexcept
  {
    lastBytes_ = aTotalBytes - std::exchange(countedBytes_, aTotalBytes);
    ++intervals_;
    slowIntervals_ = lastBytes_ < aMinBytes ? slowIntervals_ + 1 : 0;
  }

  /// \brief Returns the bytes of the last interval and the current one.
  [[nodiscard]] std::size_t RecentBytes(std::size_t aTotalBytes) const noexcept
  {
    return lastBytes_ + (aTotalBytes - countedBytes_);
  }

  /// \brief Returns true after a whole interval with less than the minimum.
  [[nodiscard]] bool HasStalled(std::size_t aTotalBytes, std::size_t aMinBytes) const noexcept
  {
    return intervals_ >= 2 && RecentBytes(aTotalBytes) < aMinBytes;
  }

  /// \brief Returns how long the progress has been below the minimum.
  [[nodiscard]] std::chrono::milliseconds SlowFor() const noexcept
  {
    return slowIntervals_ * kInterval;
  }

private:
  std::size_t countedBytes_ = 0; ///< at the end of the last interval
  std::size_t lastBytes_ = 0;    ///< of the last interval
  int intervals_ = 0;
  int slowIntervals_ = 0; ///< one after the other, up to now
};

/// \brief A connection that holds memory while its client sends a body or receives responses.
struct HoldingConnection
{
  const std::size_t heldBytes_ = 0;
  const std::size_t recentBytes_ = 0; ///< that moved lately, see ProgressMeter
  const bool mayClose_ = false;       ///< false while a complete request of it runs

  auto operator<=>(const HoldingConnection&) const = default;
};

/// \brief Chooses the connection to close when memory is short: the one that has made the least
/// progress for the bytes that it holds, and among equals the one that holds most.
/// \returns Its index; nothing if none may close or each one holds nothing.
[[nodiscard]] std::optional<std::size_t>
FindConnectionToClose(std::span<const HoldingConnection> aConnections) noexcept;

} // namespace geraniumpin
