#pragma once

#include "geraniumpin/connection/link_window.hpp"
#include "geraniumpin/connection/transfer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief A body that a peer offers to send.
struct TransferOffer
{
  const TransferId id_;
  const std::size_t bytes_ = 0;
  const std::uint32_t rank_ = 0; ///< the lowest is granted first
  const TimePoint grantBy_;      ///< later it is of no use

  auto operator<=>(const TransferOffer&) const = default;
};

/// \brief Result of an offer that was not refused.
enum class OfferResult
{
  Granted,
  Queued
};

/// \brief What became of offers after time passed or a body arrived.
struct WindowActions
{
  const std::vector<TransferId> granted_;
  const std::vector<TransferId> refused_; ///< could not be granted in time

  auto operator<=>(const WindowActions&) const = default;
};

/// \brief What is under way to this node and waits, for logs.
struct WindowState
{
  const std::size_t grantedBytes_ = 0;
  const std::size_t waitingBytes_ = 0;
  const Duration oldestGranted_{}; ///< since its grant
  const Duration oldestWaiting_{}; ///< since its offer
  const std::uint64_t lost_ = 0;   ///< grants that expired without a body so far

  auto operator<=>(const WindowState&) const = default;
};

/// \brief Bounds the bytes of bodies under way to this node.
///
/// For the load pattern "many senders, one narrow receiver": only the receiver sees all senders, so
/// it grants what they may send. Offers are granted by rank, then by age, while the granted bytes
/// fit the window. A body larger than the window is granted alone.
///
/// \code
/// ReceiveWindow window(LinkWindow{ 10'000'000, milliseconds(100) });
/// const auto result = window.Offer(offer, now);
/// window.Remove(id); // its body has arrived
/// for (const auto& id : window.Advance(now).granted_) { ... }
/// \endcode
class ReceiveWindow
{
public:
  /// Time after which a granted body counts as lost, beyond its time on the link.
  static constexpr std::chrono::milliseconds kArrivalGrace{ 500 };

  explicit ReceiveWindow(const LinkWindow& aLink)
    : link_(aLink)
    , windowBytes_(aLink.BytesWithin(aLink.window_))
  {
  }

  /// \brief Grants, queues or refuses a body.
  /// \returns If it cannot be granted in time, the time that what precedes it takes on the link.
  [[nodiscard]] tl::expected<OfferResult, Duration> Offer(const TransferOffer& aOffer,
                                                          TimePoint aNow);

  [[nodiscard]] bool Contains(const TransferId& aId) const;

  /// \brief Removes an offer or a grant: its body has arrived, or is not sent any more.
  /// \returns False if there is none.
  bool Remove(const TransferId& aId);

  /// \brief Removes and returns all requests that wait.
  [[nodiscard]] std::vector<TransferId> RemoveWaitingRequests();

  /// \brief Removes expired grants and offers, and grants what fits the window.
  [[nodiscard]] WindowActions Advance(TimePoint aNow);

  /// \brief The time at which Advance must be called at the latest.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// \brief Computes the time that all bodies that were granted or wait take on the link.
  [[nodiscard]] Duration Backlog() const noexcept;

  [[nodiscard]] bool IsEmpty() const noexcept { return granted_.empty() && waiting_.empty(); }
  [[nodiscard]] WindowState State(TimePoint aNow) const;

private:
  struct Grant
  {
    std::size_t bytes_ = 0;
    TimePoint grantedAt_;
    TimePoint expiresAt_;
  };
  struct Waiting
  {
    TransferOffer offer_;
    TimePoint offeredAt_;
  };
  using Position = std::pair<std::uint32_t, std::uint64_t>; ///< rank and order of arrival

  [[nodiscard]] bool Fits(std::size_t aBytes) const noexcept
  {
    return !link_.IsBounded() || granted_.empty() || grantedBytes_ + aBytes <= windowBytes_;
  }
  /// Bytes that precede an offer of a rank.
  [[nodiscard]] std::size_t BytesAhead(std::uint32_t aRank) const;
  void AddGrant(const TransferId& aId, std::size_t aBytes, TimePoint aNow);
  std::vector<TransferId> EraseWaitingIf(
    const std::function<bool(const TransferOffer&)>& aCondition);
  void EraseWaiting(std::map<Position, Waiting>::iterator aPosition);

  LinkWindow link_;
  std::size_t windowBytes_ = 0;
  std::size_t grantedBytes_ = 0;
  std::size_t waitingBytes_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t lost_ = 0;
  std::map<TransferId, Grant> granted_;
  std::map<Position, Waiting> waiting_;
  std::map<TransferId, Position> positions_; ///< of what waits
};

} // namespace geraniumpin
