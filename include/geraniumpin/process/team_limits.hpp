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

/// \brief Immediate result of a request for a token.
enum class TokenState
{
  Taken,
  Awaited,    ///< a lessor may still grant one
  Exhausted,  ///< every lessor that answers has none left
  Unavailable ///< no lessor answers
};

/// \brief Finds the node that grants the tokens of a team in a failure domain.
/// \returns Null if the failure domain has no node.
[[nodiscard]] inline const NodeAddress*
FindLessor(const Snapshot& aSnapshot, const std::string& aTeam, const std::string& aFailureDomain)
{
  const auto& nodes = aSnapshot.FindNodes(aFailureDomain);
  return nodes.empty() ? nullptr : &FirstNode("home/" + aTeam, nodes);
}

/// \brief Computes the part of a team's limit that each failure domain grants.
///
/// Every failure domain of the document counts, in service or not, with nodes or without. The slack
/// is for the load pattern "small team": the bucket does not run empty when several callers of the
/// team send at the same time.
/// \param aSlack Requests by which the team may exceed its burst, summed over all failure domains.
[[nodiscard]] inline TeamShare
ComputeShare(const Snapshot& aSnapshot, const Team& aTeam, double aSlack)
{
  const auto domainCount = static_cast<double>(aSnapshot.FailureDomains().size());
  return { .ratePerSecond_ = aTeam.ratePerSecond_ / domainCount,
           .burst_ = (aTeam.burst_ + aSlack) / domainCount };
}

/// \brief Enforces team limits at one node: holds leases for the requests that it admits, and
/// grants leases of the teams that it is lessor of.
template<NodePortSet PortSet>
class TeamLimits
{
public:
  /// Time without contact with any other node of its failure domain after which a lessor counts as
  /// isolated and grants nothing. Applies only if the settings tolerate a short excess.
  static constexpr std::chrono::milliseconds kIsolationTimeout{ 3000 };
  /// Time without contact with a node after which a takeover proceeds without its confirmation: if
  /// that node was lessor, it has counted as isolated by then, and its leases have expired. Applies
  /// only if the settings tolerate a short excess.
  static constexpr std::chrono::milliseconds kConfirmationTimeout{ 6000 };

  explicit TeamLimits(NodeContext<PortSet>& aContext)
    : context_(aContext)
    , startedAt_(aContext.Now())
  {
  }

  /// \brief Takes a token of the team, or requests tokens from a lessor if there is none.
  /// \param aWaiting Requests of the team that wait for a token, this one included.
  /// \returns The state, with the token if it was taken.
  [[nodiscard]] std::pair<TokenState, std::optional<ConsumedToken>> Take(const std::string& aTeam,
                                                                         std::size_t aWaiting)
  {
    auto& holder = FindOrAddHolder(aTeam);
    const auto now = context_.Now();
    auto token = holder.TryTake(now);
    RequestTokens(holder, token ? 0 : aWaiting);
    if (token) {
      return { TokenState::Taken, std::move(token) };
    }
    if (!holder.IsExhausted(now)) {
      return { TokenState::Awaited, std::nullopt };
    }
    return { holder.IsUnreachable(now) ? TokenState::Unavailable : TokenState::Exhausted,
             std::nullopt };
  }

  /// \brief Returns the earliest time at which an exhausted team may get a token.
  [[nodiscard]] TimePoint RetryAt(const std::string& aTeam) const
  {
    const auto found = holders_.find(aTeam);
    return found == holders_.end() ? TimePoint::max() : found->second.RetryAt();
  }

  void Refund(const std::string& aTeam, const ConsumedToken& aToken)
  {
    FindOrAddHolder(aTeam).Refund(aToken, context_.Now());
  }

  /// \brief Updates lessors and shares from a new snapshot.
  void OnSnapshot(const Snapshot& aSnapshot)
  {
    const auto now = context_.Now();
    RecordRemovedNodes(aSnapshot);
    for (auto& [team, holder] : holders_) {
      holder.SetLessors(FindLessors(aSnapshot, team));
    }
    const bool becameLessor = ApplyShares(aSnapshot, now);
    if (becameLessor || (lessor_.IsTakeoverPending() && !takeover_.IsActive())) {
      BeginTakeover(aSnapshot, now);
    }
  }

  void OnRequest(const Envelope& aEnvelope, const LeaseRequest& aRequest)
  {
    if (ToleratesExcess() && IsIsolated(context_.Now())) {
      context_.GetMetrics().Count("lease_refused_isolated");
      return;
    }
    const auto grant =
      lessor_.OnRequest(aEnvelope.sender_, aEnvelope.senderIncarnation_, aRequest, context_.Now());
    if (aRequest.requestedTokens_ == 0) {
      return;
    }
    context_.Write(LogEvent("lease_grant", Severity::Routine)
                     .With("team", aRequest.team_)
                     .With("holder", aEnvelope.sender_.Text())
                     .With("wanted", aRequest.requestedTokens_)
                     .With("granted", grant.tokens_)
                     .With("authorized", lessor_.MayGrant(aRequest.team_)));
    context_.Send(aEnvelope.sender_, grant);
  }

  void OnGrant(const Envelope& aEnvelope, const LeaseGrant& aGrant)
  {
    FindOrAddHolder(aGrant.team_).OnGrant(aEnvelope.sender_, aGrant, context_.Now());
  }

  void OnTakeoverRequest(const Envelope& aEnvelope, const TakeoverRequest& aTakeoverRequest)
  {
    std::vector<NodeAddress> removedNodes;
    for (const auto& node : removedNodes_) {
      if (node != aEnvelope.sender_ &&
          !context_.GetMembership().IsTerminated(node, context_.Now())) {
        removedNodes.push_back(node);
      }
    }
    context_.Send(aEnvelope.sender_,
                  TakeoverConfirmation{ aTakeoverRequest.number_, std::move(removedNodes) });
  }

  void OnTakeoverConfirmation(const Envelope& aEnvelope, const TakeoverConfirmation& aConfirmation)
  {
    takeover_.RequireConfirmation(aConfirmation.removedNodes_);
    takeover_.OnVersion(aEnvelope.sender_, aEnvelope.senderVersion_, context_.Now());
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    for (auto& [team, holder] : holders_) {
      for (const auto& addressed : holder.CloseIdleLeases(now)) {
        context_.Send(addressed.lessor_, addressed.request_);
      }
    }
    AdvanceTakeover(now);
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    auto next = takeover_.NextDeadline();
    for (const auto& [team, holder] : holders_) {
      if (const auto time = holder.NextDeadline()) {
        next = next ? std::min(*next, *time) : *time;
      }
    }
    return next;
  }

  /// \brief Returns true if this node may grant tokens of every team that it is lessor of.
  [[nodiscard]] bool IsTakeoverComplete() const { return !lessor_.IsTakeoverPending(); }
  [[nodiscard]] std::size_t LeasedTeamCount() const noexcept { return lessor_.TeamCount(); }
  [[nodiscard]] bool IsTakeoverActive() const { return takeover_.IsActive(); }

private:
  [[nodiscard]] std::vector<NodeAddress> FindLessors(const Snapshot& aSnapshot,
                                                     const std::string& aTeam) const
  {
    std::vector<NodeAddress> lessors;
    const auto& own = context_.NodeSettings().FailureDomainName();
    if (const auto* lessor = FindLessor(aSnapshot, aTeam, own)) {
      lessors.push_back(*lessor);
    }
    for (const auto& domain : aSnapshot.FailureDomains()) {
      const auto* lessor = FindLessor(aSnapshot, aTeam, domain.name_);
      if (domain.name_ != own && lessor != nullptr) {
        lessors.push_back(*lessor);
      }
    }
    return lessors;
  }

  [[nodiscard]] LeaseHolder& FindOrAddHolder(const std::string& aTeam)
  {
    auto found = holders_.find(aTeam);
    if (found == holders_.end()) {
      found = holders_.emplace(aTeam, LeaseHolder(aTeam, 0)).first;
      if (const auto& snapshot = context_.Versions().Current()) {
        found->second.SetLessors(FindLessors(*snapshot, aTeam));
      }
    }
    return found->second;
  }

  void RequestTokens(LeaseHolder& aHolder, std::size_t aWaiting)
  {
    if (const auto addressed = aHolder.NextRequest(context_.Now(), aWaiting)) {
      context_.Send(addressed->lessor_, addressed->request_);
    }
  }

  /// \returns Whether this node became lessor of a team.
  [[nodiscard]] bool ApplyShares(const Snapshot& aSnapshot, TimePoint aNow)
  {
    bool becameLessor = false;
    const auto& domain = context_.NodeSettings().FailureDomainName();
    std::vector<std::string> teams;
    for (const auto& team : aSnapshot.Teams()) {
      const auto* lessor = FindLessor(aSnapshot, team.name_, domain);
      if (lessor != nullptr && *lessor == context_.Self()) {
        const auto share = ComputeShare(aSnapshot, team, context_.NodeSettings().LimitSlack());
        becameLessor = lessor_.SetShare(team.name_, share, aNow) || becameLessor;
        teams.push_back(team.name_);
      }
    }
    for (const auto& team : std::exchange(leasedTeams_, teams)) {
      if (std::find(teams.begin(), teams.end(), team) == teams.end()) {
        lessor_.RemoveShare(team);
      }
    }
    return becameLessor;
  }

  /// Records the nodes that a version removes from the failure domain: they may still act as lessor
  /// for nodes that the version has not reached.
  void RecordRemovedNodes(const Snapshot& aSnapshot)
  {
    const auto& nodes = aSnapshot.FindNodes(context_.NodeSettings().FailureDomainName());
    for (const auto& node : std::exchange(domainNodes_, nodes)) {
      removedNodes_.insert(node);
    }
    for (const auto& node : nodes) {
      removedNodes_.erase(node);
    }
  }

  void BeginTakeover(const Snapshot& aSnapshot, TimePoint aNow)
  {
    auto nodes = aSnapshot.FindNodes(context_.NodeSettings().FailureDomainName());
    nodes.insert(nodes.end(), removedNodes_.begin(), removedNodes_.end());
    std::erase(nodes, context_.Self());
    const auto wait = ToleratesExcess() ? Duration{} : Duration(kLeaseTerm + kLeaseMargin);
    takeover_.Begin(aSnapshot.Id(), nodes, aNow, wait);
    context_.Write(LogEvent("home_claim")
                     .With("version", aSnapshot.Id().number_.revision_)
                     .With("teams", lessor_.TeamCount())
                     .With("nodes", nodes.size()));
  }

  [[nodiscard]] bool ToleratesExcess() const noexcept
  {
    return context_.NodeSettings().LimitTolerance() >= Settings::kImmediateGrantTolerance;
  }

  [[nodiscard]] bool IsUnresponsive(const NodeAddress& aNode, TimePoint aNow) const
  {
    return aNow - context_.GetMembership().LastContactAt(aNode).value_or(startedAt_) >=
           kConfirmationTimeout;
  }

  /// Returns true if the failure domain has other nodes and there was no contact with any of them
  /// for kIsolationTimeout.
  [[nodiscard]] bool IsIsolated(TimePoint aNow) const
  {
    bool hasOthers = false;
    for (const auto& node : domainNodes_) {
      if (node == context_.Self()) {
        continue;
      }
      hasOthers = true;
      if (aNow - context_.GetMembership().LastContactAt(node).value_or(startedAt_) <
          kIsolationTimeout) {
        return false;
      }
    }
    return hasOthers;
  }

  void AdvanceTakeover(TimePoint aNow)
  {
    if (!takeover_.IsActive()) {
      return;
    }
    const auto unconfirmed = takeover_.Unconfirmed();
    for (const auto& node : unconfirmed) {
      if (context_.GetMembership().IsTerminated(node, aNow) ||
          (ToleratesExcess() && IsUnresponsive(node, aNow))) {
        takeover_.WaiveConfirmation(node, aNow);
      }
    }
    for (const auto& node : takeover_.NodesDue(aNow)) {
      context_.Send(node, TakeoverRequest{ takeover_.Version().number_.revision_ });
    }
    if (takeover_.TryComplete(context_.Versions().CurrentId(), aNow)) {
      lessor_.CompleteTakeover(aNow);
      context_.Write(LogEvent("home_authorized")
                       .With("version", takeover_.Version().number_.revision_)
                       .With("teams", lessor_.TeamCount()));
    }
  }

  NodeContext<PortSet>& context_;
  std::map<std::string, LeaseHolder> holders_;
  TokenLessor lessor_;
  LessorTakeover takeover_;
  TimePoint startedAt_;
  std::vector<std::string> leasedTeams_;
  std::vector<NodeAddress> domainNodes_;
  std::set<NodeAddress> removedNodes_;
};

} // namespace geraniumpin
