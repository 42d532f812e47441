#pragma once

#include "geraniumpin/connection/message.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Longest time for which a lessor node lends tokens.
inline constexpr std::chrono::milliseconds kLeaseTerm{ 2000 };

/// \brief Extra time that a lessor node waits before it counts a lease as ended.
inline constexpr std::chrono::milliseconds kLeaseMargin{ 200 };

/// \brief The part of a team's rate and burst that one lessor node grants.
struct TeamShare
{
  double ratePerSecond_ = 0;
  double burst_ = 0;

  auto operator<=>(const TeamShare&) const = default;
};

/// \brief Names who holds a lease: a node, its incarnation and the request it answered.
struct LeaseKey
{
  NodeAddress holder_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;

  auto operator<=>(const LeaseKey&) const = default;
};

/// \brief The token buckets of the teams for which this node is lessor.
///
/// For each team, the level of the bucket plus the tokens on loan never exceeds the share of the
/// burst, and the level grows at no more than the share of the rate. Thus at maxTokens
/// burst + rate * t tokens are spent in any window of length t.
class TokenLessor
{
public:
  /// \brief Starts or changes the duty for a team.
  /// \returns Whether the duty is new; its bucket is then empty and waits for authority.
  [[nodiscard]] bool SetShare(const std::string& aTeam, const TeamShare& aShare, TimePoint aNow);
  /// \brief Ends the duty for a team; its leases run out at their holders.
  void EndShare(const std::string& aTeam);

  /// \brief Lets the buckets that waited for authority fill and grant.
  void CompleteTakeover(TimePoint aNow);

  /// \brief Answers a request for tokens; a repeated request gets the same lease again.
  [[nodiscard]] LeaseGrant OnRequest(const NodeAddress& aHolder,
                                     std::uint64_t aIncarnation,
                                     const LeaseRequest& aRequest,
                                     TimePoint aNow);

  /// \brief Says whether the node is lessor for the team and may grant.
  [[nodiscard]] bool MayGrant(const std::string& aTeam) const;

  /// \brief Says whether some bucket waits for authority.
  [[nodiscard]] bool IsTakeoverPending() const;

  [[nodiscard]] std::size_t Teams() const noexcept { return buckets_.size(); }

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

  std::map<std::string, Bucket> buckets_;
};

} // namespace geraniumpin
