#pragma once

#include "geraniumpin/connection/message.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Term of a lease: the time for which a holder may use the granted tokens.
inline constexpr std::chrono::milliseconds kLeaseTerm{ 2000 };

/// \brief Time past the term after which the lessor counts a lease as expired.
inline constexpr std::chrono::milliseconds kLeaseMargin{ 200 };

/// \brief The part of a team's rate and burst that one lessor grants.
struct TeamShare
{
  double ratePerSecond_ = 0;
  double burst_ = 0;

  auto operator<=>(const TeamShare&) const = default;
};

/// \brief Identifies a lease by its holder, the holder's incarnation and the request's number.
struct LeaseKey
{
  NodeAddress holder_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;

  auto operator<=>(const LeaseKey&) const = default;
};

/// \brief The token buckets of the teams whose tokens this node grants.
///
/// For each team, the level of the bucket plus the outstanding tokens never exceeds the share of
/// the burst, and the level grows at no more than the share of the rate. In any window of length t,
/// at most burst + rate * t tokens are consumed.
class TokenLessor
{
public:
  /// \brief Adds a team or changes its share.
  /// \returns True if the team is new: its bucket is empty and grants nothing until the takeover is
  /// complete.
  [[nodiscard]] bool SetShare(const std::string& aTeam, const TeamShare& aShare, TimePoint aNow);
  /// \brief Removes a team; leases that were granted expire at their holders.
  void RemoveShare(const std::string& aTeam);

  /// \brief Lets all buckets refill and grant, including those of new teams.
  void CompleteTakeover(TimePoint aNow);

  /// \brief Answers a request for tokens; a repeated request gets the same lease again.
  [[nodiscard]] LeaseGrant OnRequest(const NodeAddress& aHolder,
                                     std::uint64_t aIncarnation,
                                     const LeaseRequest& aRequest,
                                     TimePoint aNow);

  /// \brief Returns true if this node is lessor of the team and its takeover is complete.
  [[nodiscard]] bool MayGrant(const std::string& aTeam) const;

  /// \brief Returns true if a bucket may not grant yet.
  [[nodiscard]] bool IsTakeoverPending() const;

  [[nodiscard]] std::size_t TeamCount() const noexcept { return buckets_.size(); }

private:
  struct Lease
  {
    std::uint32_t tokens_ = 0;
    TimePoint expiresAt_;
  };
  struct Bucket
  {
    TeamShare share_;
    double level_ = 0;
    double outstanding_ = 0;
    bool mayGrant_ = false;
    TimePoint refilledAt_;
    TimePoint lastRetrySlotAt_; ///< when the holder that was refused last may ask again
    std::map<LeaseKey, Lease> leases_;
    std::map<std::pair<NodeAddress, std::uint64_t>, std::uint64_t> lastSequence_;
  };

  static void Refill(Bucket& aBucket, TimePoint aNow);
  static void ExpireLeases(Bucket& aBucket, TimePoint aNow);
  static void CloseLease(Bucket& aBucket, const LeaseKey& aKey, std::uint32_t aUnused);
  static std::uint32_t Grant(Bucket& aBucket,
                             const LeaseKey& aKey,
                             std::uint32_t aRequested,
                             TimePoint aNow);

  /// For the load pattern "hot team": each refused holder gets a slot for its retry, one for each
  /// token that the bucket refills, so that the requests for tokens do not grow with the holders.
  [[nodiscard]] static Duration ReserveRetrySlot(Bucket& aBucket, TimePoint aNow);

  std::map<std::string, Bucket> buckets_;
};

} // namespace geraniumpin
