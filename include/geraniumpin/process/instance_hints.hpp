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
class InstanceHints
{
public:
  /// Time for which an instance that failed or refused new work is passed over.
  static constexpr std::chrono::milliseconds kAvoidance{ 1000 };
  /// Time after which a load that nobody reported again counts as unknown.
  static constexpr std::chrono::milliseconds kHintAge{ 2000 };

  void OnHint(const NodeAddress& aNode, const LoadHint& aHint, TimePoint aNow);

  /// \brief Notes that a request was sent to the node; it adds to the load that was reported last.
  void OnSent(const NodeAddress& aNode);

  /// \brief Passes the instance over for a while.
  void Avoid(const NodeAddress& aNode, TimePoint aNow);

  /// \brief Lists the instances of a service that may get new work.
  ///
  /// Leaves out instances in failure domains out of service, leaving or suspected nodes, nodes that
  /// lately refused new work, and those already tried. If only avoided ones remain, they count.
  [[nodiscard]] std::vector<Candidate> Candidates(const Snapshot& aSnapshot,
                                                  const std::string& aService,
                                                  const Membership& aMembers,
                                                  const std::string& aFailureDomain,
                                                  const std::set<NodeAddress>& aTried,
                                                  TimePoint aNow) const;

  /// \brief Narrows the candidates to the own failure domain unless its instances are busy.
  [[nodiscard]] std::vector<Candidate> Narrow(const std::string& aService,
                                              const std::vector<Candidate>& aCandidates);

private:
  struct Entry
  {
    LoadHint hint_;
    TimePoint heardAt_;
    TimePoint avoidUntil_;
    std::uint32_t sentSince_ = 0; ///< requests sent since the load was reported
  };

  [[nodiscard]] LoadHint HintOf(const BackendServer& aServer,
                                std::uint32_t aSlots,
                                TimePoint aNow) const;

  std::map<NodeAddress, Entry> entries_;
  std::map<std::string, bool> spilling_;
};

} // namespace geraniumpin
