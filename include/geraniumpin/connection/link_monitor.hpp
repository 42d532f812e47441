#pragma once

#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief What is due on the links of a node.
struct LinkActions
{
  /// A link whose messages were not confirmed in time, so that its connection must be replaced.
  struct Silent
  {
    const NodeAddress peer_;
    const Duration waited_{}; ///< for the confirmation
    /// Whether to send a message on the new connection at once, from which the peer learns of the
    /// silence.
    const bool isAnnounced_ = true;

    auto operator<=>(const Silent&) const = default;
  };

  const std::vector<Silent> silent_;
  const std::vector<NodeAddress> unchecked_;   ///< need a message that expects confirmation
  const std::vector<NodeAddress> unconfirmed_; ///< need a LinkAck

  auto operator<=>(const LinkActions&) const = default;
};

/// \brief Finds links to peers whose connection became silent: open, but without delivery.
///
/// Each message carries the sender's clock reading in the latest message that arrived from its
/// receiver. A message that expects confirmation and is not confirmed in time makes its link
/// silent. The header also counts the connections that its sender replaced, since the confirmations
/// can be lost on the connection in the other direction, which the receiver then replaces as well.
///
/// Links without traffic are not monitored. Once a link proves to have been silent while its peer
/// was running, the other links are checked, in steps.
///
/// \code
/// const auto header = links.OnSend(peer, payload, now);
/// const bool replaced = links.OnMessage(envelope, now);
/// const auto actions = links.TakeDue(now);
/// \endcode
class LinkMonitor
{
public:
  /// Delay of a LinkAck, in which another message may confirm instead.
  static constexpr std::chrono::milliseconds kConfirmationDelay{ 100 };
  /// Time without confirmation after which a link is silent; doubled by each failed replacement.
  static constexpr std::chrono::milliseconds kSilenceTimeout{ 500 };
  static constexpr std::chrono::milliseconds kMaxSilenceTimeout{ 2000 };
  /// Lateness of this node by which it waits once more, since confirmations may still be unread.
  static constexpr std::chrono::milliseconds kMaxLateness{ 100 };
  /// Lowest transfer rate of a link: a long message delays the confirmation of those behind it.
  static constexpr std::int64_t kMinBytesPerSecond = 8 << 20;
  /// Failed replacements in a row after which only regular messages use a new connection.
  static constexpr int kMaxAnnouncements = 3;
  /// Interval and number of the steps of a check of all links.
  static constexpr std::chrono::milliseconds kCheckInterval{ 50 };
  static constexpr std::size_t kCheckSteps = 10;
  /// Shortest time between two checks of all links.
  static constexpr std::chrono::seconds kMinCheckPause{ 10 };
  /// Time without a message after which a link is forgotten; the transport has closed it by then.
  static constexpr std::chrono::seconds kLinkLifetime{ 60 };

  /// \brief Records that a message is sent.
  /// \param aNow The time that the message states as the sender's clock reading.
  /// \returns The header of the message.
  [[nodiscard]] LinkHeader OnSend(const NodeAddress& aPeer,
                                  const Payload& aPayload,
                                  TimePoint aNow);

  /// \brief Records a message of a peer.
  /// \returns True if the connection to the peer must be replaced.
  [[nodiscard]] bool OnMessage(const Envelope& aEnvelope, TimePoint aNow);

  /// \brief Returns what is due, once.
  [[nodiscard]] LinkActions TakeDue(TimePoint aNow);

  /// \brief The time at which TakeDue must be called at the latest; max() if nothing is pending.
  [[nodiscard]] TimePoint NextDeadline() const noexcept { return nextDueAt_; }

private:
  struct Link
  {
    std::uint64_t incarnation_ = 0;         ///< of the peer
    bool isMonitored_ = true;               ///< the peer confirms messages
    Duration received_{};                   ///< the peer's clock reading in its latest message
    std::uint32_t peerReplacements_ = 0;    ///< stated by the peer
    std::uint32_t replacements_ = 0;        ///< of the connection to the peer
    int failedReplacements_ = 0;            ///< in a row
    bool isPostponed_ = false;              ///< waits once more, since this node was late
    TimePoint usedAt_;                      ///< last message to the peer
    TimePoint sentAt_;                      ///< last message that expects confirmation
    TimePoint transferredAt_;               ///< long messages have been transferred by then
    TimePoint confirmedAt_;                 ///< a confirmation arrived
    std::optional<TimePoint> waitingSince_; ///< first message that waits for a confirmation
    TimePoint timeoutBeganAt_;              ///< of that message
    std::optional<TimePoint> replacedAt_;   ///< and nothing was confirmed since
    std::optional<TimePoint> ackDueAt_;     ///< of a LinkAck to the peer
  };

  [[nodiscard]] static Duration SilenceTimeout(const Link& aLink) noexcept;
  [[nodiscard]] static TimePoint SilentAt(const Link& aLink) noexcept;
  void OnConfirmation(Link& aLink, Duration aConfirmed, TimePoint aNow);
  void BeginCheck(TimePoint aNow, TimePoint aConfirmedBefore);
  [[nodiscard]] std::vector<NodeAddress> TakeCheckStep(TimePoint aNow);
  void Schedule(const NodeAddress& aPeer, TimePoint aDueAt);
  void RemoveUnused(TimePoint aNow);

  std::map<NodeAddress, Link> links_;
  std::set<NodeAddress> pending_; ///< links with a confirmation that is awaited or due
  std::vector<NodeAddress> unchecked_;
  std::size_t checksPerStep_ = 0;
  TimePoint nextCheckStepAt_;
  TimePoint nextCheckAt_;
  TimePoint nextRemovalAt_;
  TimePoint nextDueAt_ = TimePoint::max();
};

} // namespace geraniumpin
