#pragma once

#include "geraniumpin/process/random.hpp"
#include "geraniumpin/version/document.hpp"

#include <optional>
#include <vector>

namespace geraniumpin {

/// \brief What an entry node believes about an instance; owners decide, so it may be stale.
struct LoadReport
{
  double load_ = 0; ///< running and queued requests as a share of the concurrency limit
  bool acceptsWork_ = true;

  auto operator<=>(const LoadReport&) const = default;
};

/// \brief An instance that could take a request.
struct Candidate
{
  const BackendServer* backendServer_ = nullptr;
  LoadReport loadReport_;
  bool local_ = false;          ///< in the failure domain of the entry node
  double serviceTimeShare_ = 0; ///< expected time at the instance as a share of the target latency
};

/// \brief Load above which an entry node sends work to other failure domains.
inline constexpr double kSpillOverLoad = 0.9;

/// \brief Load below which spilled work comes back to the own failure domain.
inline constexpr double kSpillBackLoad = 0.7;

/// \brief Decides by average load whether work leaves the own failure domain, with hysteresis.
/// \param aSpilling Whether it left until now.
[[nodiscard]] bool
DecideSpillOver(const std::vector<Candidate>& aCandidates, bool aSpilling) noexcept;

/// \brief Returns the local candidates, or all of them if there are none or work spills over.
[[nodiscard]] std::vector<Candidate>
FilterLocal(const std::vector<Candidate>& aCandidates, bool aSpilling);

/// \brief Load by which an instance elsewhere must be lighter than one in the own failure domain.
inline constexpr double kRemotePenalty = 0.3;

/// \brief The same for requests with large bodies, whose way costs more.
inline constexpr double kLargeBodyRemotePenalty = 0.8;

/// \brief Size from which a body counts as large.
inline constexpr std::size_t kLargeBodyBytes = 16384;

/// \brief Draws two different candidates and takes the one with the lower sum of load and cost.
///
/// Answers the load pattern "slow instance": instances of a service differ in speed, and equal
/// shares of their slots would make a part of the requests late. \returns Null if there is no
/// candidate.
template<Random R>
[[nodiscard]] const Candidate*
ChooseLessLoaded(const std::vector<const Candidate*>& aCandidates, R& aRandom)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  const auto first = DrawIndex(aRandom, aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  const auto offset = 1 + DrawIndex(aRandom, aCandidates.size() - 1);
  const auto second = (first + offset) % aCandidates.size();
  const auto score = [&](std::size_t aIndex) {
    return aCandidates[aIndex]->loadReport_.load_ + aCandidates[aIndex]->serviceTimeShare_;
  };
  const bool firstIsLessLoaded = score(first) <= score(second);
  return aCandidates[firstIsLessLoaded ? first : second];
}

/// \brief Takes the lighter of two candidates in the own failure domain, or the lighter of two
/// elsewhere if that one has clearly less load.
/// \returns Null if there is no candidate.
template<Random R>
[[nodiscard]] const BackendServer*
ChooseInstance(const std::vector<Candidate>& aCandidates, std::size_t aBodyBytes, R& aRandom)
{
  std::vector<const Candidate*> local;
  std::vector<const Candidate*> remote;
  for (const auto& candidate : aCandidates) {
    (candidate.local_ ? local : remote).push_back(&candidate);
  }
  const auto* bestLocal = ChooseLessLoaded(local, aRandom);
  const auto* bestRemote = ChooseLessLoaded(remote, aRandom);
  if (bestLocal == nullptr || bestRemote == nullptr) {
    const auto* only = bestLocal == nullptr ? bestRemote : bestLocal;
    return only == nullptr ? nullptr : only->backendServer_;
  }
  const bool large = aBodyBytes >= kLargeBodyBytes;
  const double penalty = large ? kLargeBodyRemotePenalty : kRemotePenalty;
  const bool remoteIsPreferred =
    bestRemote->loadReport_.load_ + penalty < bestLocal->loadReport_.load_;
  return (remoteIsPreferred ? bestRemote : bestLocal)->backendServer_;
}

} // namespace geraniumpin
