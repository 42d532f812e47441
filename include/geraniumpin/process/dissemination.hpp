#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <cstdint>
#include <vector>

namespace geraniumpin {

/// \brief Children of a node in the tree that spreads a version inside a failure domain.
inline constexpr std::size_t kTreeFanOut = 3;

/// \brief Nodes at the top of the tree that get a version from whoever brings it in.
inline constexpr std::size_t kTreeRoots = 2;

/// \brief Lists the children of a node in the tree of one version.
///
/// The tree is a heap over the nodes in an order that differs for each version, so that the inner
/// positions, which send more, fall to different nodes each time.
///
/// \param aNodes The members of the failure domain, in any order.
[[nodiscard]] std::vector<NodeAddress>
TreeChildren(std::uint64_t aVersion,
             const NodeAddress& aSelf,
             const std::vector<NodeAddress>& aNodes);

/// \brief Lists the nodes at the top of the tree of one version, without the node itself.
[[nodiscard]] std::vector<NodeAddress>
TreeRoots(std::uint64_t aVersion, const NodeAddress& aSelf, const std::vector<NodeAddress>& aNodes);

} // namespace geraniumpin
