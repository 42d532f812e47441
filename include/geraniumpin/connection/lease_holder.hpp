#pragma once

#include "geraniumpin/connection/message.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief A lease request and the lessor node that it goes to.
struct AddressedLeaseRequest
{
  const NodeAddress lessor_;
  const LeaseRequest request_;

  auto operator<=>(const AddressedLeaseRequest&) const = default;
};

/// \brief Names the lease that a spent token came from.
struct ConsumedToken
{
  const NodeAddress lessor_;
  const std::uint64_t sequence_ = 0;

  auto operator<=>(const ConsumedToken&) const = default;
};

/// \brief The tokens of one team that an entry node holds on loan from lessor nodes.
///
/// A token is spent at most once and only before the lease ends. The end is counted from when the
/// request was sent, so it never comes later than the lessor node assumes.
///
/// \code
/// if (!holder.TryTake(now)) { // wait for a token
///   if (const auto addressed = holder.NextRequest(now, 1)) { Send(*addressed); }
/// }
/// \endcode
class LeaseHolder
{
public:
  /// Time after which a lessor node that has not answered is passed over.
  static constexpr std::chrono::milliseconds kAnswerTimeout{ 150 };
  /// Time for which it is then not asked again.
  static constexpr std::chrono::milliseconds kUnresponsiveTime{ 1500 };
  /// Time after the last use when unused tokens are given back.
  static constexpr std::chrono::milliseconds kIdleReturnDelay{ 1000 };
  /// Tokens that are fetched prefetch of need, as the consumption of this time. A message for
  /// several requests costs less than one for each; what lies unused stays far below a burst.
  static constexpr std::chrono::milliseconds kPrefetch{ 400 };

  /// \param aFirstSequence Above every sequence number of earlier holders of this incarnation.
  LeaseHolder(std::string aTeam, std::uint64_t aFirstSequence)
    : team_(std::move(aTeam))
    , sequence_(aFirstSequence)
  {
  }

  /// \brief Replaces the lessor nodes, nearest first.
  void SetLessors(std::vector<NodeAddress> aLessors);

  /// \brief Spends one token.
  /// \returns Nothing if there is none.
  [[nodiscard]] std::optional<ConsumedToken> TryTake(TimePoint aNow);

  /// \brief Gives back a token whose request did not run, if its own lease is still open.
  void Refund(const ConsumedToken& aToken, TimePoint aNow);

  /// \brief Says whether every lessor node has lately answered that it has no token.
  [[nodiscard]] bool IsExhausted(TimePoint aNow) const;

  /// \brief Decides whom to addressed for tokens next.
  /// \param aWaiting Requests that wait for a token.
  /// \returns Nothing while an answer is awaited, all lessors are exhausted or tokens suffice.
  [[nodiscard]] std::optional<AddressedLeaseRequest> NextRequest(TimePoint aNow,
                                                                 std::size_t aWaiting);

  /// \brief The earliest time at which a lessor node can be asked that has lately had no token.
  [[nodiscard]] TimePoint RetryAt() const;

  /// \brief Takes in an answer; late and repeated ones add nothing.
  void OnGrant(const NodeAddress& aLessor, const LeaseGrant& aGrant, TimePoint aNow);

  /// \brief Closes spent, idle and ended leases towards their lessor nodes.
  /// \returns The messages to send.
  [[nodiscard]] std::vector<AddressedLeaseRequest> CloseIdleLeases(TimePoint aNow);

  /// \brief The earliest time at which NextRequest or CloseIdleLeases may have something to do.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// \brief Says whether all lessors have been asked in this round without an answer.
  [[nodiscard]] bool IsUnreachable(TimePoint aNow) const;

  [[nodiscard]] std::uint32_t CountUnused(TimePoint aNow) const;

private:
  struct Lease
  {
    std::uint32_t tokens_ = 0;
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
