#include "geraniumpin/request/instance_choice.hpp"

#include <algorithm>

namespace geraniumpin {

bool
DecideSpillOver(const std::vector<Candidate>& aCandidates, bool aSpilling) noexcept
{
  double load = 0;
  std::size_t count = 0;
  for (const auto& candidate : aCandidates) {
    if (candidate.local_) {
      load += std::min(candidate.loadReport_.load_, 1.0);
      ++count;
    }
  }
  if (count == 0) {
    return true;
  }
  const double average = load / static_cast<double>(count);
  return average > (aSpilling ? kSpillBackLoad : kSpillOverLoad);
}

std::vector<Candidate>
FilterLocal(const std::vector<Candidate>& aCandidates, bool aSpilling)
{
  return aSpilling ? aCandidates : FilterByFailureDomain(aCandidates, true);
}

std::vector<Candidate>
FilterByFailureDomain(const std::vector<Candidate>& aCandidates, bool aLocal)
{
  std::vector<Candidate> filtered;
  for (const auto& candidate : aCandidates) {
    if (candidate.local_ == aLocal) {
      filtered.push_back(candidate);
    }
  }
  return filtered.empty() ? aCandidates : filtered;
}

} // namespace geraniumpin
