#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief Orders nodes by rendezvous hash.
///
/// The order depends only on the subject and the set of nodes; a node that joins or leaves does not
/// change the relative order of the others.
/// \param aSubject What the nodes are ranked for, for example a team or a version.
[[nodiscard]] std::vector<NodeAddress>
RankNodes(std::string_view aSubject, const std::vector<NodeAddress>& aNodes);

/// \brief Returns the first node in that order without sorting.
/// \param aNodes At least one node.
[[nodiscard]] const NodeAddress&
FirstNode(std::string_view aSubject, const std::vector<NodeAddress>& aNodes);

/// \brief Returns how many of the nodes come before the node in that order.
[[nodiscard]] std::size_t
FindRank(std::string_view aSubject,
         const NodeAddress& aNode,
         const std::vector<NodeAddress>& aNodes) noexcept;

} // namespace geraniumpin
