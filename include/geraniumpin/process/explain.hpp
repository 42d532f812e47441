#pragma once

#include "geraniumpin/process/instance_load_table.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/node_status.hpp"
#include "geraniumpin/request/route_decision.hpp"

#include <vector>

namespace geraniumpin {

/// \brief Explains where a request would go for which a route was decided, without sending it.
template<NodePortSet PortSet>
[[nodiscard]] Explanation
ExplainDecision(NodeContext<PortSet>& aContext,
                InstanceLoadTable& aLoadTable,
                const RouteDecision& aDecision)
{
  const auto& service = aDecision.route_.destinations_.front().service_;
  const auto candidates = aLoadTable.FindCandidates(*aDecision.snapshot_,
                                                    service,
                                                    aDecision.route_,
                                                    aContext.GetMembership(),
                                                    aContext.NodeSettings().FailureDomainName(),
                                                    {},
                                                    aContext.Now());
  const auto preferred = aLoadTable.PreferLocalFailureDomain(service, candidates);
  std::vector<ExplainedCandidate> explained;
  explained.reserve(preferred.size());
  for (const auto& candidate : preferred) {
    explained.push_back(
      { candidate.backendServer_->name_, candidate.local_, candidate.loadReport_.load_ });
  }
  const auto* chosen = ChooseInstance(preferred, 0, aContext.Ports().random_);
  return Explanation{ .version_ = aDecision.snapshot_->Id().number_.revision_,
                      .route_ = aDecision.route_.name_,
                      .team_ = aDecision.team_,
                      .service_ = service,
                      .candidates_ = explained,
                      .chosen_ = chosen == nullptr ? "" : chosen->name_ };
}

} // namespace geraniumpin
