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
  if (aSpilling) {
    return aCandidates;
  }
  std::vector<Candidate> local;
  for (const auto& candidate : aCandidates) {
    if (candidate.local_) {
      local.push_back(candidate);
    }
  }
  return local.empty() ? aCandidates : local;
}

} // namespace geraniumpin
