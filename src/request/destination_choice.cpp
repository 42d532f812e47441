#include "geraniumpin/request/destination_choice.hpp"

#include <algorithm>

namespace geraniumpin {

namespace impl {
namespace {

// Rounds after which the order of a dealing repeats closely enough for a random start.
constexpr double kStartRounds = 100;

} // namespace
} // namespace impl

std::size_t
DestinationChoice::Advance(Dealer& aDealer)
{
  double total = 0;
  for (std::size_t i = 0; i < aDealer.destinations_.size(); ++i) {
    const double weight = aDealer.destinations_[i].weight_;
    aDealer.credits_[i] += weight;
    total += weight;
  }
  const auto largest = std::max_element(aDealer.credits_.begin(), aDealer.credits_.end());
  *largest -= total;
  return static_cast<std::size_t>(largest - aDealer.credits_.begin());
}

const std::string&
DestinationChoice::Next(const Route& aRoute, double aStart)
{
  const auto& destinations = aRoute.destinations_;
  if (destinations.size() == 1) {
    return destinations.front().service_;
  }
  auto& dealer = dealers_[aRoute.name_];
  if (dealer.destinations_ != destinations) {
    dealer.destinations_.clear();
    for (const auto& destination : destinations) {
      dealer.destinations_.push_back(destination);
    }
    dealer.credits_.assign(destinations.size(), 0);
    for (int i = 0; i < static_cast<int>(aStart * impl::kStartRounds); ++i) {
      (void)Advance(dealer);
    }
  }
  return destinations[Advance(dealer)].service_;
}

} // namespace geraniumpin
