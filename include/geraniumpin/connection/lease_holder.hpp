#pragma once

#include "geraniumpin/connection/message.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief A lease request and the home node that it goes to.
struct LeaseAsk
{
  const NodeAddress home_;
  const LeaseRequest request_;

  auto operator<=>(const LeaseAsk&) const = default;
};

/// \brief Names the lease that a spent token came from.
struct SpentToken
{
  const NodeAddress home_;
  const std::uint64_t sequence_ = 0;

  auto operator<=>(const SpentToken&) const = default;
};

/// \brief The tokens of one team that an entry node holds on loan from home nodes.
///
/// A token is spent at most once and only before the lease ends. The end is counted from when the
/// request was sent, so it never comes later than the home node assumes.
///
/// \code
/// if (!holder.TryTake(now)) { // wait for a token
///   if (const auto ask = holder.NextAsk(now, 1)) { Send(*ask); }
/// }
/// \endcode
class LeaseHolder
{
public:
  /// Time after which a home node that has not answered is passed over.
  static constexpr std::chrono::milliseconds kAnswerTimeout{ 150 };
  /// Time for which it is then not asked again.
  static constexpr std::chrono::milliseconds kSilence{ 1500 };
  /// Time after the last use when unspent tokens are given back.
  static constexpr std::chrono::milliseconds kIdleReturn{ 1000 };
  /// Tokens that are fetched ahead of need, as the consumption of this time. A message for several
  /// requests costs less than one for each; what lies unused stays far below a burst.
  static constexpr std::chrono::milliseconds kPrefetch{ 400 };

  /// \param aFirstSequence Above every sequence number of earlier holders of this incarnation.
  LeaseHolder(std::string aTeam, std::uint64_t aFirstSequence)
    : team_(std::move(aTeam))
    , sequence_(aFirstSequence)
  {
  }

  /// \brief Replaces the home nodes, nearest first.
  void SetHomes(std::vector<NodeAddress> aHomes);

  /// \brief Spends one token.
  /// \returns Nothing if there is none.
  [[nodiscard]] std::optional<SpentToken> TryTake(TimePoint aNow);

  /// \brief Gives back a token whose request did not run, if its own lease is still open.
  void Refund(const SpentToken& aToken, TimePoint aNow);

  /// \brief Says whether every home node has lately answered that it has no token.
  [[nodiscard]] bool IsExhausted(TimePoint aNow) const;

  /// \brief Decides whom to ask for tokens next.
  /// \param aWaiting Requests that wait for a token.
  /// \returns Nothing while an answer is awaited, all homes are exhausted or tokens suffice.
  [[nodiscard]] std::optional<LeaseAsk> NextAsk(TimePoint aNow, std::size_t aWaiting);

  /// \brief The earliest time at which a home node can be asked that has lately had no token.
  [[nodiscard]] TimePoint RetryAt() const;

  /// \brief Takes in an answer; late and repeated ones add nothing.
  void OnGrant(const NodeAddress& aHome, const LeaseGrant& aGrant, TimePoint aNow);

  /// \brief Closes spent, idle and ended leases towards their home nodes.
  /// \returns The messages to send.
  [[nodiscard]] std::vector<LeaseAsk> CloseIdle(TimePoint aNow);

  /// \brief The earliest time at which NextAsk or CloseIdle may have something to do.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// \brief Says whether all homes have been asked in this round without an answer.
  [[nodiscard]] bool IsUnreachable(TimePoint aNow) const;

  [[nodiscard]] std::uint32_t Unspent(TimePoint aNow) const;

private:
  struct Lease
  {
    std::uint32_t tokens_ = 0;
    std::uint32_t unspent_ = 0;
    TimePoint expiresAt_;
  };
  struct Pending
  {
    std::uint64_t sequence_ = 0;
    TimePoint sentAt_;
  };
  struct Home
  {
    NodeAddress node_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<LeaseClosure> closures_;
    std::optional<Pending> pending_;
    std::set<std::uint64_t> abandoned_; ///< requests whose answer came too late or not at all
    TimePoint emptyUntil_;
    TimePoint silentUntil_;
  };

  [[nodiscard]] Home* FindHome(const NodeAddress& aNode);
  static void AbandonLate(Home& aHome, TimePoint aNow);
  static void CloseFinished(Home& aHome, TimePoint aNow, bool aGiveBack);
  void CountUse(TimePoint aNow);
  [[nodiscard]] std::uint32_t Wanted(TimePoint aNow, std::size_t aWaiting) const;
  [[nodiscard]] LeaseAsk MakeAsk(Home& aHome, std::uint32_t aWanted);

  std::string team_;
  std::uint64_t sequence_;
  std::vector<Home> homes_;
  TimePoint lastUse_;
  double usesPerSecond_ = 0;
};

} // namespace geraniumpin
