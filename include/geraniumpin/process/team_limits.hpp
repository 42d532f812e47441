#pragma once

#include "geraniumpin/connection/lease_holder.hpp"
#include "geraniumpin/process/lessor_takeover.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/token_lessor.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief How a request for a token ended at once.
enum class TokenState
{
  Taken,
  Awaited,
  Exhausted,  ///< every home node answered that it has none
  Unavailable ///< no home node answers
};

/// \brief Names the home node of a team in a failure domain.
/// \returns Null if the failure domain has no node.
[[nodiscard]] inline const NodeAddress*
HomeOf(const Snapshot& aSnapshot, const std::string& aTeam, const std::string& aFailureDomain)
{
  const auto& nodes = aSnapshot.NodesOf(aFailureDomain);
  return nodes.empty() ? nullptr : &FirstNode("home/" + aTeam, nodes);
}

/// \brief The part of a team's limit that each failure domain grants.
///
/// All failure domains of the document count, in service or not, with nodes or without. Answers the
/// load pattern "small team": with the slack its bucket does not run dry when a few of its callers
/// come together.
/// \param aSlack Requests by which the team may exceed its burst, over all failure domains.
[[nodiscard]] inline TeamShare
ShareOf(const Snapshot& aSnapshot, const Team& aTeam, double aSlack)
{
  const auto parts = static_cast<double>(aSnapshot.FailureDomains().size());
  return { .ratePerSecond_ = aTeam.ratePerSecond_ / parts,
           .burst_ = (aTeam.burst_ + aSlack) / parts };
}

/// \brief Team limits at one node: the leases that it holds and the buckets that it is home to.
template<Environment Env>
class TeamLimits
{
public:
  /// Time without a word from any other node of its failure domain after which a home counts as cut
  /// off and grants nothing, where limits tolerate moments of excess.
  static constexpr std::chrono::milliseconds kIsolation{ 3000 };
  /// Silence of a node after which a claim goes on without its confirmation: had it been home, it
  /// has counted itself as cut off by then, and its leases have ended.
  static constexpr std::chrono::milliseconds kSilentHome{ 6000 };

  explicit TeamLimits(NodeContext<Env>& aContext)
    : context_(aContext)
    , startedAt_(aContext.Now())
  {
  }

  /// \brief Takes a token of the team or asks for one.
  /// \param aWaiting Requests of the team that wait, this one included.
  /// \returns The state, with the token if it was taken.
  [[nodiscard]] std::pair<TokenState, std::optional<SpentToken>> Take(const std::string& aTeam,
                                                                      std::size_t aWaiting)
  {
    auto& holder = HolderOf(aTeam);
    const auto now = context_.Now();
    auto token = holder.TryTake(now);
    Ask(holder, token ? 0 : aWaiting);
    if (token) {
      return { TokenState::Taken, std::move(token) };
    }
    if (!holder.IsExhausted(now)) {
      return { TokenState::Awaited, std::nullopt };
    }
    return { holder.IsUnreachable(now) ? TokenState::Unavailable : TokenState::Exhausted,
             std::nullopt };
  }

  /// \brief The earliest time at which an exhausted team may get a token.
  [[nodiscard]] TimePoint RetryAt(const std::string& aTeam) const
  {
    const auto found = holders_.find(aTeam);
    return found == holders_.end() ? TimePoint::max() : found->second.RetryAt();
  }

  void Refund(const std::string& aTeam, const SpentToken& aToken)
  {
    HolderOf(aTeam).Refund(aToken, context_.Now());
  }

  /// \brief Adapts homes and shares to a new snapshot.
  void OnSnapshot(const Snapshot& aSnapshot)
  {
    const auto now = context_.Now();
    RememberFormer(aSnapshot);
    for (auto& [team, holder] : holders_) {
      holder.SetHomes(HomesOf(aSnapshot, team));
    }
    const bool gained = ApplyShares(aSnapshot, now);
    if (gained || (home_.AwaitsAuthority() && !authority_.IsActive())) {
      BeginClaim(aSnapshot, now);
    }
  }

  void OnRequest(const Envelope& aEnvelope, const LeaseRequest& aRequest)
  {
    if (IsTolerant() && IsIsolated(context_.Now())) {
      context_.Measures().Count("lease_refused_isolated");
      return;
    }
    const auto grant =
      home_.OnRequest(aEnvelope.sender_, aEnvelope.senderIncarnation_, aRequest, context_.Now());
    if (aRequest.wanted_ == 0) {
      return;
    }
    context_.Write(LogEvent("lease_grant", Severity::Routine)
                     .With("team", aRequest.team_)
                     .With("holder", aEnvelope.sender_.Text())
                     .With("wanted", aRequest.wanted_)
                     .With("granted", grant.tokens_)
                     .With("authorized", home_.Grants(aRequest.team_)));
    context_.Send(aEnvelope.sender_, grant);
  }

  void OnGrant(const Envelope& aEnvelope, const LeaseGrant& aGrant)
  {
    HolderOf(aGrant.team_).OnGrant(aEnvelope.sender_, aGrant, context_.Now());
  }

  void OnClaim(const Envelope& aEnvelope, const HomeClaim& aClaim)
  {
    std::vector<NodeAddress> former;
    for (const auto& node : former_) {
      if (node != aEnvelope.sender_ && !context_.Members().IsGone(node, context_.Now())) {
        former.push_back(node);
      }
    }
    context_.Send(aEnvelope.sender_, HomeConfirm{ aClaim.number_, std::move(former) });
  }

  void OnConfirm(const Envelope& aEnvelope, const HomeConfirm& aConfirm)
  {
    authority_.Require(aConfirm.former_);
    authority_.OnVersion(aEnvelope.sender_, aEnvelope.announced_.number_, context_.Now());
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    for (auto& [team, holder] : holders_) {
      for (const auto& ask : holder.CloseIdle(now)) {
        context_.Send(ask.home_, ask.request_);
      }
    }
    AdvanceClaim(now);
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    auto next = authority_.NextDeadline();
    for (const auto& [team, holder] : holders_) {
      if (const auto time = holder.NextDeadline()) {
        next = next ? std::min(*next, *time) : *time;
      }
    }
    return next;
  }

  /// \brief Says whether this node may grant tokens of every team that it is home to.
  [[nodiscard]] bool IsAuthorized() const { return !home_.AwaitsAuthority(); }
  [[nodiscard]] std::size_t HomeTeams() const noexcept { return home_.Teams(); }
  [[nodiscard]] bool ClaimIsStuck() const { return authority_.IsActive(); }

private:
  [[nodiscard]] std::vector<NodeAddress> HomesOf(const Snapshot& aSnapshot,
                                                 const std::string& aTeam) const
  {
    std::vector<NodeAddress> homes;
    const auto& own = context_.NodeSettings().FailureDomainName();
    if (const auto* home = HomeOf(aSnapshot, aTeam, own)) {
      homes.push_back(*home);
    }
    for (const auto& domain : aSnapshot.FailureDomains()) {
      const auto* home = HomeOf(aSnapshot, aTeam, domain.name_);
      if (domain.name_ != own && home != nullptr) {
        homes.push_back(*home);
      }
    }
    return homes;
  }

  [[nodiscard]] LeaseHolder& HolderOf(const std::string& aTeam)
  {
    auto found = holders_.find(aTeam);
    if (found == holders_.end()) {
      found = holders_.emplace(aTeam, LeaseHolder(aTeam, 0)).first;
      if (const auto& snapshot = context_.Versions().Current()) {
        found->second.SetHomes(HomesOf(*snapshot, aTeam));
      }
    }
    return found->second;
  }

  void Ask(LeaseHolder& aHolder, std::size_t aWaiting)
  {
    if (const auto ask = aHolder.NextAsk(context_.Now(), aWaiting)) {
      context_.Send(ask->home_, ask->request_);
    }
  }

  /// \returns Whether the node became home to a team.
  [[nodiscard]] bool ApplyShares(const Snapshot& aSnapshot, TimePoint aNow)
  {
    bool gained = false;
    const auto& domain = context_.NodeSettings().FailureDomainName();
    std::vector<std::string> teams;
    for (const auto& team : aSnapshot.Teams()) {
      const auto* home = HomeOf(aSnapshot, team.name_, domain);
      if (home != nullptr && *home == context_.Self()) {
        const auto share = ShareOf(aSnapshot, team, context_.NodeSettings().LimitSlack());
        gained = home_.SetShare(team.name_, share, aNow) || gained;
        teams.push_back(team.name_);
      }
    }
    for (const auto& team : std::exchange(homeTeams_, teams)) {
      if (std::find(teams.begin(), teams.end(), team) == teams.end()) {
        home_.EndShare(team);
      }
    }
    return gained;
  }

  /// Notes the nodes that a version takes out of the failure domain: they may still be home for
  /// those whom the version has not reached.
  void RememberFormer(const Snapshot& aSnapshot)
  {
    const auto& nodes = aSnapshot.NodesOf(context_.NodeSettings().FailureDomainName());
    for (const auto& node : std::exchange(members_, nodes)) {
      former_.insert(node);
    }
    for (const auto& node : nodes) {
      former_.erase(node);
    }
  }

  void BeginClaim(const Snapshot& aSnapshot, TimePoint aNow)
  {
    auto nodes = aSnapshot.NodesOf(context_.NodeSettings().FailureDomainName());
    nodes.insert(nodes.end(), former_.begin(), former_.end());
    std::erase(nodes, context_.Self());
    const auto wait = IsTolerant() ? Duration{} : Duration(kLeaseTerm + kLeaseMargin);
    authority_.Begin(aSnapshot.Id().number_, nodes, aNow, wait);
    context_.Write(LogEvent("home_claim")
                     .With("version", aSnapshot.Id().number_)
                     .With("teams", home_.Teams())
                     .With("nodes", nodes.size()));
  }

  [[nodiscard]] bool IsTolerant() const noexcept
  {
    return context_.NodeSettings().LimitTolerance() >= Settings::kLeastLimitTolerance;
  }

  [[nodiscard]] bool IsSilent(const NodeAddress& aNode, TimePoint aNow) const
  {
    return aNow - context_.Members().HeardAt(aNode).value_or(startedAt_) >= kSilentHome;
  }

  /// Says whether there are other nodes in the failure domain and none was heard lately.
  [[nodiscard]] bool IsIsolated(TimePoint aNow) const
  {
    bool hasOthers = false;
    for (const auto& node : members_) {
      if (node == context_.Self()) {
        continue;
      }
      hasOthers = true;
      if (aNow - context_.Members().HeardAt(node).value_or(startedAt_) < kIsolation) {
        return false;
      }
    }
    return hasOthers;
  }

  void AdvanceClaim(TimePoint aNow)
  {
    if (!authority_.IsActive()) {
      return;
    }
    const auto missing = authority_.Missing();
    for (const auto& node : missing) {
      if (context_.Members().IsGone(node, aNow) || (IsTolerant() && IsSilent(node, aNow))) {
        authority_.OnGone(node, aNow);
      }
    }
    for (const auto& node : authority_.Due(aNow)) {
      context_.Send(node, HomeClaim{ authority_.Number() });
    }
    if (authority_.TakeCompletion(context_.Versions().CurrentId().number_, aNow)) {
      home_.Authorize(aNow);
      context_.Write(LogEvent("home_authorized")
                       .With("version", authority_.Number())
                       .With("teams", home_.Teams()));
    }
  }

  NodeContext<Env>& context_;
  std::map<std::string, LeaseHolder> holders_;
  LimitHome home_;
  HomeAuthority authority_;
  TimePoint startedAt_;
  std::vector<std::string> homeTeams_;
  std::vector<NodeAddress> members_;
  std::set<NodeAddress> former_;
};

} // namespace geraniumpin
