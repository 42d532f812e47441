#include "geraniumpin/process/placement_hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <xxhash.h>

namespace geraniumpin {

namespace impl {
namespace {

/// Computes the weights of nodes for one subject, whose hash is computed once.
class NodeWeights
{
public:
  explicit NodeWeights(std::string_view aSubject) noexcept
    : seed_(XXH3_64bits(aSubject.data(), aSubject.size()))
  {
  }

  [[nodiscard]] std::uint64_t ComputeWeight(const NodeAddress& aNode) const noexcept
  {
    return XXH3_64bits_withSeed(aNode.Text().data(), aNode.Text().size(), seed_);
  }

private:
  std::uint64_t seed_;
};

} // namespace
} // namespace impl

std::vector<NodeAddress>
RankNodes(std::string_view aSubject, const std::vector<NodeAddress>& aNodes)
{
  const impl::NodeWeights subject(aSubject);
  std::vector<std::pair<std::uint64_t, std::size_t>> weights;
  weights.reserve(aNodes.size());
  for (std::size_t i = 0; i < aNodes.size(); ++i) {
    weights.emplace_back(subject.ComputeWeight(aNodes[i]), i);
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<NodeAddress> ranked;
  ranked.reserve(aNodes.size());
  for (const auto& [weight, index] : weights) {
    ranked.push_back(aNodes[index]);
  }
  return ranked;
}

const NodeAddress&
FirstNode(std::string_view aSubject, const std::vector<NodeAddress>& aNodes)
{
  const impl::NodeWeights subject(aSubject);
  std::size_t first = 0;
  auto greatest = subject.ComputeWeight(aNodes.front());
  for (std::size_t i = 1; i < aNodes.size(); ++i) {
    const auto weight = subject.ComputeWeight(aNodes[i]);
    if (weight > greatest) {
      first = i;
      greatest = weight;
    }
  }
  return aNodes[first];
}

std::size_t
FindRank(std::string_view aSubject,
         const NodeAddress& aNode,
         const std::vector<NodeAddress>& aNodes) noexcept
{
  const impl::NodeWeights subject(aSubject);
  const auto weight = subject.ComputeWeight(aNode);
  const auto before = std::count_if(aNodes.begin(), aNodes.end(), [&](const NodeAddress& aOther) {
    return subject.ComputeWeight(aOther) > weight;
  });
  return static_cast<std::size_t>(before);
}

} // namespace geraniumpin
