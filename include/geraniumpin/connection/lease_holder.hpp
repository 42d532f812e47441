#pragma once

#include "geraniumpin/connection/message.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief A lease request with the lessor that it is sent to.
struct AddressedLeaseRequest
{
  const NodeAddress lessor_;
  const LeaseRequest request_;

  auto operator<=>(const AddressedLeaseRequest&) const = default;
};

/// \brief Identifies the lease that a consumed token came from.
struct ConsumedToken
{
  const NodeAddress lessor_;
  const std::uint64_t sequence_ = 0;

  auto operator<=>(const ConsumedToken&) const = default;
};

/// \brief The leases of one team's tokens that an entry node holds.
///
/// A token is consumed at most once and only before its lease expires. The term is counted from the
/// time at which the request was sent, so a lease never expires later than the lessor assumes.
///
/// \code
/// if (!holder.TryTake(now)) { // wait for a token
///   if (const auto addressed = holder.NextRequest(now, 1)) { Send(*addressed); }
/// }
/// \endcode
class LeaseHolder
{
public:
  /// Time after which a lessor that has not answered counts as unresponsive.
  static constexpr std::chrono::milliseconds kAnswerTimeout{ 150 };
  /// Time for which an unresponsive lessor gets no further request.
  static constexpr std::chrono::milliseconds kUnresponsiveTime{ 1500 };
  /// Time after the last use of a token after which unused tokens are returned.
  static constexpr std::chrono::milliseconds kIdleReturnDelay{ 1000 };
  /// Tokens are requested in advance for the consumption of this time. One message for several
  /// tokens costs less than one for each; the unused tokens stay far below a burst.
  static constexpr std::chrono::milliseconds kPrefetch{ 400 };

  /// \param aFirstSequence Above every sequence number of earlier holders of this incarnation.
  LeaseHolder(std::string aTeam, std::uint64_t aFirstSequence)
    : team_(std::move(aTeam))
    , sequence_(aFirstSequence)
  {
  }

  /// \brief Replaces the lessors.
  /// \param aLessors In the order in which they get requests, nearest first.
  void SetLessors(std::vector<NodeAddress> aLessors);

  /// \brief Consumes one token.
  /// \returns Nothing if there is none.
  [[nodiscard]] std::optional<ConsumedToken> TryTake(TimePoint aNow);

  /// \brief Returns a token whose request was not executed, if its lease is still open.
  void Refund(const ConsumedToken& aToken, TimePoint aNow);

  /// \brief Returns true if every lessor is exhausted or unresponsive.
  [[nodiscard]] bool IsExhausted(TimePoint aNow) const;

  /// \brief Makes the next request for tokens.
  /// \param aWaiting Requests that wait for a token.
  /// \returns Nothing while an answer is awaited, all lessors are exhausted or tokens suffice.
  [[nodiscard]] std::optional<AddressedLeaseRequest> NextRequest(TimePoint aNow,
                                                                 std::size_t aWaiting);

  /// \brief Returns the earliest time at which a lessor is neither exhausted nor unresponsive.
  [[nodiscard]] TimePoint RetryAt() const;

  /// \brief Records a grant; late and repeated ones add no tokens.
  void OnGrant(const NodeAddress& aLessor, const LeaseGrant& aGrant, TimePoint aNow);

  /// \brief Closes leases that are consumed or expired, and all others once the holder is idle.
  /// \returns The messages to send.
  [[nodiscard]] std::vector<AddressedLeaseRequest> CloseIdleLeases(TimePoint aNow);

  /// \brief Returns the earliest time at which NextRequest or CloseIdleLeases has to be called.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// \brief Returns true if every lessor is unresponsive.
  [[nodiscard]] bool IsUnreachable(TimePoint aNow) const;

  [[nodiscard]] std::uint32_t CountUnused(TimePoint aNow) const;

private:
  struct Lease
  {
    std::uint32_t tokens_ = 0; ///< as granted
    std::uint32_t unused_ = 0;
    TimePoint expiresAt_;
  };
  struct Pending
  {
    std::uint64_t sequence_ = 0;
    TimePoint sentAt_;
  };
  struct Lessor
  {
    NodeAddress node_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<LeaseClosure> closures_;
    std::optional<Pending> pending_;
    std::set<std::uint64_t> timedOut_; ///< requests whose answer came too late or not at all
    TimePoint exhaustedUntil_;
    TimePoint unresponsiveUntil_;
  };

  [[nodiscard]] Lessor* FindLessor(const NodeAddress& aNode);
  static void ExpirePending(Lessor& aLessor, TimePoint aNow);
  static void CloseLeases(Lessor& aLessor, TimePoint aNow, bool aReturnUnused);
  void RecordUse(TimePoint aNow);
  [[nodiscard]] std::uint32_t ComputeRequestSize(TimePoint aNow, std::size_t aWaiting) const;
  [[nodiscard]] AddressedLeaseRequest MakeRequest(Lessor& aLessor, std::uint32_t aRequested);

  std::string team_;
  std::uint64_t sequence_;
  std::vector<Lessor> lessors_;
  TimePoint lastUse_;
  double usesPerSecond_ = 0;
};

} // namespace geraniumpin
