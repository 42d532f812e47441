#include "geraniumpin/process/dissemination.hpp"

#include "geraniumpin/process/placement_hash.hpp"

#include <algorithm>
#include <string>

namespace geraniumpin {

namespace impl {
namespace {

std::vector<NodeAddress>
TreeOrder(TreeNumber aTree, std::uint64_t aVersion, const std::vector<NodeAddress>& aNodes)
{
  const auto salt = aTree == kPushTree ? "" : std::to_string(aTree) + "/";
  return RankNodes("tree/" + salt + std::to_string(aVersion), aNodes);
}

} // namespace
} // namespace impl

std::vector<NodeAddress>
TreeChildren(TreeNumber aTree,
             std::uint64_t aVersion,
             const NodeAddress& aSelf,
             const std::vector<NodeAddress>& aNodes)
{
  const auto order = impl::TreeOrder(aTree, aVersion, aNodes);
  const auto self = std::find(order.begin(), order.end(), aSelf);
  if (self == order.end()) {
    return {};
  }
  const auto position = static_cast<std::size_t>(self - order.begin());
  const auto first = std::min(order.size(), position * kTreeFanOut + 1);
  const auto last = std::min(order.size(), first + kTreeFanOut);
  return { order.begin() + static_cast<std::ptrdiff_t>(first),
           order.begin() + static_cast<std::ptrdiff_t>(last) };
}

std::vector<NodeAddress>
TreeRoots(TreeNumber aTree,
          std::uint64_t aVersion,
          const NodeAddress& aSelf,
          const std::vector<NodeAddress>& aNodes)
{
  auto order = impl::TreeOrder(aTree, aVersion, aNodes);
  order.resize(std::min(order.size(), kTreeRoots));
  std::erase(order, aSelf);
  return order;
}

} // namespace geraniumpin
