#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/random.hpp"
#include "geraniumpin/version/document.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace geraniumpin {

/// \brief Load of an instance as known to an entry node; may be stale, the owner decides.
struct LoadReport
{
  double load_ = 0; ///< running and queued requests as a share of the concurrency limit
  bool acceptsWork_ = true;
  double saturation_ = 0; ///< of the owner node, 0 to 1

  auto operator<=>(const LoadReport&) const = default;
};

/// \brief An instance that can be chosen for a request.
struct Candidate
{
  const BackendServer* backendServer_ = nullptr;
  LoadReport loadReport_;
  bool local_ = false;            ///< in the failure domain of the entry node
  double serviceTimeShare_ = 0;   ///< expected service time divided by the target latency
  Duration expectedCompletion_{}; ///< time until the response, if it is sent there now
  std::uint32_t slots_ = 0;       ///< concurrent requests that the instance can run
  bool isReportRecent_ = false;   ///< the load rests on a recent report
};

/// \brief Orders the candidates of a request: the one with the lowest score is preferred.
template<class S>
concept CandidateScore = requires(const S& aScore, const Candidate& aCandidate)
{
  {
    aScore(aCandidate)
    } -> std::convertible_to<double>;
};

/// \brief Scores a candidate by the sum of load and service time share.
///
/// The service time share is for the load pattern "slow instance": instances of a service differ in
/// speed, and at equal load of their slots the slow ones would answer too late.
struct LoadScore
{
  [[nodiscard]] double operator()(const Candidate& aCandidate) const noexcept
  {
    return aCandidate.loadReport_.load_ + aCandidate.serviceTimeShare_;
  }
};

/// \brief Scores a candidate by its expected completion.
///
/// Saturation of the owner node delays the messages of the request in both directions, so it
/// multiplies the expected time.
struct CompletionScore
{
  [[nodiscard]] double operator()(const Candidate& aCandidate) const noexcept
  {
    const std::chrono::duration<double> expected = aCandidate.expectedCompletion_;
    return expected.count() * (1 + aCandidate.loadReport_.saturation_);
  }
};

/// \brief Average load above which requests spill over to other failure domains.
inline constexpr double kSpillOverLoad = 0.9;

/// \brief Average load below which requests stay in the local failure domain again.
inline constexpr double kSpillBackLoad = 0.7;

/// \brief Decides by the average local load whether requests spill over, with hysteresis.
///
/// An instance counts as full at most. For the load pattern "instance that fails its work": its
/// load is many times that of a full one, and alone it would make the others send their work away.
/// \param aSpilling The previous decision.
/// \returns True also if there is no local candidate.
[[nodiscard]] bool
DecideSpillOver(const std::vector<Candidate>& aCandidates, bool aSpilling) noexcept;

/// \brief Returns the local candidates; all candidates if none is local or requests spill over.
[[nodiscard]] std::vector<Candidate>
FilterLocal(const std::vector<Candidate>& aCandidates, bool aSpilling);

/// \brief Returns the candidates of the local failure domain, or those of the others; all
/// candidates if there are none of these.
[[nodiscard]] std::vector<Candidate>
FilterByFailureDomain(const std::vector<Candidate>& aCandidates, bool aLocal);

/// \brief Load by which a remote instance must be below a local one to be chosen.
inline constexpr double kRemotePenalty = 0.3;

/// \brief kRemotePenalty for requests with large bodies, which are more expensive to transfer.
inline constexpr double kLargeBodyRemotePenalty = 0.8;

/// \brief Minimum size of a large body, in bytes.
inline constexpr std::size_t kLargeBodyBytes = 16384;

/// \brief Draws two different candidates and returns the one with the lower score.
/// \returns Null if there is no candidate.
template<CandidateScore Score = LoadScore, Random R>
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
  const Score score;
  const bool firstIsLessLoaded = score(*aCandidates[first]) <= score(*aCandidates[second]);
  return aCandidates[firstIsLessLoaded ? first : second];
}

/// \brief Chooses the less loaded of two random local candidates, or that of two random remote ones
/// if its load is lower by more than the remote penalty.
/// \param aBodyBytes Size of the request body; selects the penalty.
/// \returns Null if there is no candidate.
template<CandidateScore Score = LoadScore, Random R>
[[nodiscard]] const BackendServer*
ChooseInstance(const std::vector<Candidate>& aCandidates, std::size_t aBodyBytes, R& aRandom)
{
  std::vector<const Candidate*> local;
  std::vector<const Candidate*> remote;
  for (const auto& candidate : aCandidates) {
    (candidate.local_ ? local : remote).push_back(&candidate);
  }
  const auto* bestLocal = ChooseLessLoaded<Score>(local, aRandom);
  const auto* bestRemote = ChooseLessLoaded<Score>(remote, aRandom);
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
