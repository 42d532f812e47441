#pragma once

#include "geraniumpin/process/membership.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/version/snapshot.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Load, service times and exclusions of the instances that an entry node sent requests to.
class InstanceLoadTable
{
public:
  /// Time for which an instance that failed or refused a request gets no new ones.
  static constexpr std::chrono::milliseconds kExclusionTime{ 1000 };
  /// Age from which a load report is ignored.
  static constexpr std::chrono::milliseconds kMaxReportAge{ 2000 };
  /// Divisor of the exponential smoothing: the newest service time has a weight of 1/8.
  static constexpr int kServiceTimeSmoothing = 8;
  /// Maximum routes per instance with a stored service time.
  static constexpr std::size_t kMaxServiceTimes = 64;

  /// \brief Stores a load report; excludes an instance that accepts no requests.
  void OnLoadReport(const NodeAddress& aNode, const LoadReport& aReport, TimePoint aNow);

  /// \brief Records that a request was sent to the node; it adds to the last reported load.
  void OnSent(const NodeAddress& aNode);

  /// \brief Records the service time of a request of the route at the node's instance.
  void OnServed(const NodeAddress& aNode, const std::string& aRoute, Duration aElapsed);

  /// \brief Returns the smoothed service time of a route at the node's instance; 0: unknown.
  [[nodiscard]] Duration ExpectedServiceTime(const NodeAddress& aNode,
                                             const std::string& aRoute) const;

  /// \brief Excludes the node's instance for kExclusionTime.
  void ExcludeTemporarily(const NodeAddress& aNode, TimePoint aNow);

  /// \brief Lists the instances of a service that may get a request.
  ///
  /// Never lists instances that are not ready, in a failure domain out of service or on a node in
  /// aTried. Lists excluded instances and those of leaving or suspected nodes only if no other
  /// instance remains.
  /// \param aFailureDomain Failure domain of the entry node.
  /// \param aTried Owner nodes that earlier attempts were sent to.
  [[nodiscard]] std::vector<Candidate> FindCandidates(const Snapshot& aSnapshot,
                                                      const std::string& aService,
                                                      const Route& aRoute,
                                                      const Membership& aMembership,
                                                      const std::string& aFailureDomain,
                                                      const std::set<NodeAddress>& aTried,
                                                      TimePoint aNow) const;

  /// \brief Returns the candidates in the local failure domain; all candidates if none is local or
  /// the service spills over.
  [[nodiscard]] std::vector<Candidate> PreferLocalFailureDomain(
    const std::string& aService,
    const std::vector<Candidate>& aCandidates);

private:
  struct Entry
  {
    LoadReport loadReport_;
    TimePoint lastContactAt_;
    TimePoint excludedUntil_;
    std::uint32_t sentSinceReport_ = 0;            ///< requests sent since the last load report
    std::map<std::string, Duration> serviceTimes_; ///< smoothed, by route
  };

  /// Returns the last reported load, if recent, plus the requests sent since as a share of the
  /// slots.
  [[nodiscard]] LoadReport EstimateLoad(const BackendServer& aServer,
                                        std::uint32_t aSlots,
                                        TimePoint aNow) const;
  /// Returns the expected service time divided by the route's target latency; 0: unknown.
  [[nodiscard]] double ServiceTimeShare(const NodeAddress& aNode, const Route& aRoute) const;

  std::map<NodeAddress, Entry> entries_;
  std::map<std::string, bool> spilling_; ///< by service
};

} // namespace geraniumpin
