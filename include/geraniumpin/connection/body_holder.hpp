#pragma once

#include "geraniumpin/connection/link_window.hpp"
#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/connection/transfer.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief A message and the peer that gets it.
struct AddressedMessage
{
  const NodeAddress peer_;
  const Payload payload_;
};

/// \brief Holds requests and replies whose receivers want their bodies offered, until they are
/// granted.
///
/// Granted bodies are sent by rank while those that were sent before take less than the window of
/// the own link, so that messages behind them are not late either.
///
/// \code
/// if (const auto offer = holder.Hold(peer, request, deadline, now)) {
///   Send(peer, *offer);
/// } else {
///   Send(peer, request);
/// }
/// holder.OnGrant(peer, grant);
/// for (const auto& message : holder.TakeReady(now)) { ... }
/// \endcode
class BodyHolder
{
public:
  explicit BodyHolder(const LinkWindow& aLink)
    : link_(aLink)
  {
  }

  /// \brief Records what a message of a peer states about offers to it.
  /// \param aOfferMinBytes As in Envelope. Messages that need no offer by it become ready.
  void OnPeer(const NodeAddress& aPeer, std::uint64_t aOfferMinBytes);

  /// \brief Holds a CallRequest or CallReply, if its receiver wants its body offered.
  /// \param aExpiresAt Time at which the message is removed; max() if the caller withdraws it.
  /// \returns The offer to send instead; nothing if the message must be sent itself.
  [[nodiscard]] std::optional<Payload> Hold(const NodeAddress& aPeer,
                                            const Payload& aMessage,
                                            TimePoint aExpiresAt,
                                            TimePoint aNow);

  /// \brief Makes a message ready; a grant for one that is not held is ignored.
  void OnGrant(const NodeAddress& aPeer, const BodyGrant& aGrant);

  /// \brief Removes a message.
  /// \returns True if it was held: its body was not sent.
  bool Withdraw(const TransferId& aId);

  /// \brief Removes and returns what may be sent now; requests state the time that remains.
  [[nodiscard]] std::vector<AddressedMessage> TakeReady(TimePoint aNow);

  /// \brief Removes and returns all replies, for the end of the process.
  [[nodiscard]] std::vector<AddressedMessage> TakeReplies();

  /// \brief The time at which TakeReady must be called at the latest.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  [[nodiscard]] bool HoldsReplies() const noexcept;

private:
  struct Held
  {
    NodeAddress peer_;
    Payload message_;
    std::size_t bytes_ = 0;
    std::uint32_t rank_ = 0;
    TimePoint heldAt_;
    TimePoint expiresAt_;
    bool isReady_ = false;
  };
  using Order = std::pair<std::uint32_t, std::uint64_t>; ///< rank and order of arrival

  [[nodiscard]] std::uint64_t OfferMinBytesOf(const NodeAddress& aPeer) const;
  void MakeReady(const TransferId& aId, Held& aHeld);
  void RemoveExpired(TimePoint aNow);
  /// The time from which the own link may take a further body.
  [[nodiscard]] TimePoint LinkReadyAt() const noexcept;

  LinkWindow link_;
  std::map<NodeAddress, std::uint64_t> offerMinBytes_; ///< as peers stated it
  std::uint64_t lastOfferMinBytes_ = 0; ///< stated by any peer; assumed of unknown ones
  std::map<TransferId, Held> held_;
  std::map<Order, TransferId> ready_;
  std::uint64_t sequence_ = 0;
  TimePoint linkFreeAt_{}; ///< when the bodies sent so far have left
};

} // namespace geraniumpin
