#pragma once

#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/log_event.hpp"
#include "geraniumpin/process/receive_window.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace geraniumpin {

/// \brief What a message between nodes is for.
enum class TrafficKind
{
  Version,    ///< distributes the configuration
  Membership, ///< heartbeats and confirmations
  Limit,      ///< tokens of teams and their lessors
  Request,    ///< requests, replies and what controls them, without large content
  Content     ///< requests and replies with large content
};

inline constexpr std::size_t kTrafficKinds = 5;

/// \brief Content in bytes from which a request or reply counts as TrafficKind::Content.
inline constexpr std::size_t kMinLargeContentBytes = std::size_t{ 16 } << 10U;

[[nodiscard]] TrafficKind
FindTrafficKind(const Payload& aPayload) noexcept;

/// \brief Returns the kind as a lower-case word.
[[nodiscard]] std::string_view
ToString(TrafficKind aKind) noexcept;

/// \brief Messages of one kind that arrived within a period.
struct ReceivedTraffic
{
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0; ///< of bodies and parts of versions, without headers
  Duration longestDelay_{}; ///< beyond the shortest transit time of the link

  auto operator<=>(const ReceivedTraffic&) const = default;
};

/// \brief What arrived from other nodes within a period, by kind.
struct TrafficReport
{
  Duration period_{};
  std::array<ReceivedTraffic, kTrafficKinds> kinds_{}; ///< indexed by TrafficKind

  [[nodiscard]] const ReceivedTraffic& Of(TrafficKind aKind) const
  {
    return kinds_.at(static_cast<std::size_t>(aKind));
  }

  auto operator<=>(const TrafficReport&) const = default;
};

/// \brief Makes the log event of a report.
/// \param aWindow State of the receive window at its end.
[[nodiscard]] LogEvent
MakeTrafficEvent(const TrafficReport& aReport, const WindowState& aWindow);

/// \brief Sums up what arrives over the links of a node, for one report a period.
///
/// It shows whether messages of one kind are late by the bytes of another one.
class LinkTraffic
{
public:
  static constexpr std::chrono::seconds kPeriod{ 1 };

  /// \brief Records a message of a peer.
  /// \param aDelay Its transit time beyond the shortest one of its link.
  /// \returns A report of the messages before it, if the period has passed.
  [[nodiscard]] std::optional<TrafficReport> OnMessage(const Payload& aPayload,
                                                       Duration aDelay,
                                                       TimePoint aNow);

private:
  TrafficReport report_;
  std::optional<TimePoint> since_; ///< the first message of the period
};

} // namespace geraniumpin
