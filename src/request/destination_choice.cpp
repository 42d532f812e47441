#include "geraniumpin/request/destination_choice.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

// Steps over which the start positions are spread; after that many the sequence repeats closely
// enough for a random start.
constexpr double kStartRounds = 100;

} // namespace
} // namespace impl

std::size_t
DestinationChoice::Advance(WeightedRoundRobin& aRoundRobin)
{
  double total = 0;
  for (std::size_t i = 0; i < aRoundRobin.destinations_.size(); ++i) {
    const double weight = aRoundRobin.destinations_[i].weight_;
    aRoundRobin.credits_[i] += weight;
    total += weight;
  }
  const auto largest = std::max_element(aRoundRobin.credits_.begin(), aRoundRobin.credits_.end());
  *largest -= total;
  return static_cast<std::size_t>(largest - aRoundRobin.credits_.begin());
}

const std::string&
DestinationChoice::Next(const Route& aRoute, double aStart)
{
  const auto& destinations = aRoute.destinations_;
  if (destinations.size() == 1) {
    return destinations.front().service_;
  }
  auto& roundRobin = roundRobins_[aRoute.name_];
  if (roundRobin.destinations_ != destinations) {
    roundRobin.destinations_.clear();
    for (const auto& destination : destinations) {
      roundRobin.destinations_.push_back(destination);
    }
    roundRobin.credits_.assign(destinations.size(), 0);
    for (int i = 0; i < static_cast<int>(aStart * impl::kStartRounds); ++i) {
      (void)Advance(roundRobin);
    }
  }
  return destinations[Advance(roundRobin)].service_;
}

} // namespace geraniumpin
