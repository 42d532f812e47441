#pragma once

#include "geraniumpin/process/membership.hpp"
#include "geraniumpin/process/settings.hpp"
#include "geraniumpin/process/spill_over.hpp"
#include "geraniumpin/request/expected_completion.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/version/snapshot.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief The instance chosen for a request, with what decided.
struct InstanceChoice
{
  const BackendServer* chosen_ = nullptr;
  std::size_t candidates_ = 0; ///< that were compared
  double spillOverShare_ = 0;  ///< of the service's requests

  auto operator<=>(const InstanceChoice&) const = default;
};

/// \brief Load, service times and exclusions of the instances that an entry node sent requests to.
class InstanceLoadTable
{
public:
  /// Time for which an instance that failed or refused a request gets no new ones.
  static constexpr std::chrono::milliseconds kExclusionTime{ 1000 };
  /// Age from which a load report is ignored.
  static constexpr std::chrono::milliseconds kMaxReportAge{ 2000 };
  /// Maximum routes per instance with a stored service time.
  static constexpr std::size_t kMaxServiceTimes = 64;

  /// \param aBalancing How candidates are compared and how requests spill over.
  explicit InstanceLoadTable(Balancing aBalancing = Balancing::Load) noexcept
    : balancing_(aBalancing)
  {
  }

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

  /// \brief Returns the mean load of the candidates, weighted by slots; one at most for each.
  [[nodiscard]] static double MeanLoad(const std::vector<Candidate>& aCandidates);

  /// \brief Chooses an instance for a request among the candidates.
  /// \param aIsRetry A retry may leave the failure domain whatever the share that spills over: the
  /// local instance that it was sent to had no capacity.
  /// \returns The chosen instance and the candidates that remained; null if there is none.
  template<Random R>
  [[nodiscard]] InstanceChoice Choose(const std::string& aService,
                                      const std::vector<Candidate>& aCandidates,
                                      std::size_t aBodyBytes,
                                      bool aIsRetry,
                                      TimePoint aNow,
                                      R& aRandom)
  {
    if (balancing_ == Balancing::Load) {
      const auto preferred = PreferLocalFailureDomain(aService, aCandidates);
      return { ChooseInstance(preferred, aBodyBytes, aRandom), preferred.size(), 0 };
    }
    const bool isLarge = aBodyBytes >= kLargeBodyBytes;
    const auto& spillOver = UpdateSpillOver(aService, aCandidates, isLarge, aNow);
    if (aIsRetry) {
      return { ChooseInstance<CompletionScore>(aCandidates, aBodyBytes, aRandom),
               aCandidates.size(),
               spillOver.Share() };
    }
    const bool leaves = DrawFraction(aRandom) < spillOver.ShareOf(isLarge);
    const auto preferred = FilterByFailureDomain(aCandidates, !leaves);
    return { ChooseInstance<CompletionScore>(preferred, aBodyBytes, aRandom),
             preferred.size(),
             spillOver.Share() };
  }

private:
  struct Entry
  {
    LoadReport loadReport_;
    TimePoint lastContactAt_;
    TimePoint excludedUntil_;
    std::uint32_t sentSinceReport_ = 0;               ///< requests sent since the last load report
    std::map<std::string, ServiceTime> serviceTimes_; ///< by route
    ServiceTime serviceTime_;                         ///< of all routes
  };

  /// Returns the last reported load, if recent, plus the requests sent since as a share of the
  /// slots.
  [[nodiscard]] LoadReport EstimateLoad(const BackendServer& aServer,
                                        std::uint32_t aSlots,
                                        TimePoint aNow) const;
  /// Returns the expected service time divided by the route's target latency; 0: unknown.
  [[nodiscard]] double ServiceTimeShare(const NodeAddress& aNode, const Route& aRoute) const;

  /// Returns the expected completion of a request of the route at the instance of an entry.
  [[nodiscard]] Duration ExpectedCompletion(const BackendServer& aServer,
                                            const Route& aRoute,
                                            double aLoad) const;

  /// Returns true if the load of the node's instance was reported within kMaxReportAge.
  [[nodiscard]] bool IsReportRecent(const NodeAddress& aNode, TimePoint aNow) const;

  /// Adapts the share of the service's requests that leaves the failure domain.
  const SpillOver& UpdateSpillOver(const std::string& aService,
                                   const std::vector<Candidate>& aCandidates,
                                   bool aIsLarge,
                                   TimePoint aNow);

  Balancing balancing_;
  std::map<NodeAddress, Entry> entries_;
  std::map<std::string, ServiceTime> routeTimes_; ///< of all instances, by route
  std::map<std::string, SpillOver> spillOver_;    ///< by service
  std::map<std::string, bool> spilling_;          ///< by service
};

} // namespace geraniumpin
