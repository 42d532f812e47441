#include "geraniumpin/process/placement_hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <xxhash.h>

namespace geraniumpin {

namespace impl {
namespace {

std::uint64_t
Weight(std::string_view aSubject, const NodeAddress& aNode) noexcept
{
  const auto seed = XXH3_64bits(aSubject.data(), aSubject.size());
  return XXH3_64bits_withSeed(aNode.Text().data(), aNode.Text().size(), seed);
}

} // namespace
} // namespace impl

std::vector<NodeAddress>
RankNodes(std::string_view aSubject, const std::vector<NodeAddress>& aNodes)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> weights;
  weights.reserve(aNodes.size());
  for (std::size_t i = 0; i < aNodes.size(); ++i) {
    weights.emplace_back(impl::Weight(aSubject, aNodes[i]), i);
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
  return *std::max_element(
    aNodes.begin(), aNodes.end(), [&](const NodeAddress& aLeft, const NodeAddress& aRight) {
      return impl::Weight(aSubject, aLeft) < impl::Weight(aSubject, aRight);
    });
}

std::size_t
RankOf(std::string_view aSubject,
       const NodeAddress& aNode,
       const std::vector<NodeAddress>& aNodes) noexcept
{
  const auto weight = impl::Weight(aSubject, aNode);
  const auto before = std::count_if(aNodes.begin(), aNodes.end(), [&](const NodeAddress& aOther) {
    return impl::Weight(aSubject, aOther) > weight;
  });
  return static_cast<std::size_t>(before);
}

} // namespace geraniumpin
