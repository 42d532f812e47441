#pragma once

#include "geraniumpin/process/membership.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/version/snapshot.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief What an entry node remembers of the instances that it sent requests to.
class InstanceLoadTable
{
public:
  /// Time for which an instance that failed or refused new work is passed over.
  static constexpr std::chrono::milliseconds kExclusionTime{ 1000 };
  /// Time after which a load that nobody reported again counts as unknown.
  static constexpr std::chrono::milliseconds kMaxReportAge{ 2000 };
  /// Weight of the newest request in the smoothed time at an instance: an eighth.
  static constexpr int kServiceTimeSmoothing = 8;
  /// Routes per instance whose time is remembered.
  static constexpr std::size_t kMaxServiceTimes = 64;

  void OnLoadReport(const NodeAddress& aNode, const LoadReport& aReport, TimePoint aNow);

  /// \brief Notes that a request was sent to the node; it adds to the load that was reported last.
  void OnSent(const NodeAddress& aNode);

  /// \brief Notes how long the instance behind the node took for a request of the route.
  void OnServed(const NodeAddress& aNode, const std::string& aRoute, Duration aElapsed);

  /// \brief The smoothed time at the instance behind the node for a route; 0: unknown.
  [[nodiscard]] Duration ExpectedServiceTime(const NodeAddress& aNode,
                                             const std::string& aRoute) const;

  /// \brief Passes the instance over for a while.
  void ExcludeTemporarily(const NodeAddress& aNode, TimePoint aNow);

  /// \brief Lists the instances of a service that may get new work.
  ///
  /// Leaves out instances in failure domains out of service, leaving or suspected nodes, nodes that
  /// lately refused new work, and those already tried. If only avoided ones remain, they count.
  [[nodiscard]] std::vector<Candidate> FindCandidates(const Snapshot& aSnapshot,
                                                      const std::string& aService,
                                                      const Route& aRoute,
                                                      const Membership& aMembership,
                                                      const std::string& aFailureDomain,
                                                      const std::set<NodeAddress>& aTried,
                                                      TimePoint aNow) const;

  /// \brief Narrows the candidates to the own failure domain unless its instances are busy.
  [[nodiscard]] std::vector<Candidate> PreferLocalFailureDomain(
    const std::string& aService,
    const std::vector<Candidate>& aCandidates);

private:
  struct Entry
  {
    LoadReport loadReport_;
    TimePoint lastContactAt_;
    TimePoint excludedUntil_;
    std::uint32_t sentSinceReport_ = 0;            ///< requests sent since the load was reported
    std::map<std::string, Duration> serviceTimes_; ///< smoothed time at the instance, by route
  };

  [[nodiscard]] LoadReport EstimateLoad(const BackendServer& aServer,
                                        std::uint32_t aSlots,
                                        TimePoint aNow) const;
  /// The expected time at the instance as a share of the route's target latency.
  [[nodiscard]] double ServiceTimeShare(const NodeAddress& aNode, const Route& aRoute) const;

  std::map<NodeAddress, Entry> entries_;
  std::map<std::string, bool> spilling_;
};

} // namespace geraniumpin
