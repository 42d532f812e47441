#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <cstdint>
#include <vector>

namespace geraniumpin {

/// \brief Children of each node in the tree that distributes a version within a failure domain.
inline constexpr std::size_t kTreeFanOut = 3;

/// \brief Nodes at the top of the tree, which get a version from the node that distributes it.
inline constexpr std::size_t kTreeRoots = 2;

/// \brief Numbers the trees of a version; each has an order of its own.
using TreeNumber = std::uint32_t;

/// \brief The tree along which nodes send a version. They announce it along the others, so that a
/// node that the pushes missed pulls it.
inline constexpr TreeNumber kPushTree = 0;

/// \brief Returns the children of a node in the tree of one version.
///
/// The tree is a heap over the nodes in an order that differs for each version, so that the inner
/// positions, which send more, are taken by different nodes each time.
///
/// \param aNodes The nodes of the failure domain, in any order.
/// \returns Nothing if the node is not one of them.
[[nodiscard]] std::vector<NodeAddress>
TreeChildren(TreeNumber aTree,
             std::uint64_t aVersion,
             const NodeAddress& aSelf,
             const std::vector<NodeAddress>& aNodes);

/// \brief Returns the nodes at the top of the tree of one version, without the node itself.
[[nodiscard]] std::vector<NodeAddress>
TreeRoots(TreeNumber aTree,
          std::uint64_t aVersion,
          const NodeAddress& aSelf,
          const std::vector<NodeAddress>& aNodes);

} // namespace geraniumpin
