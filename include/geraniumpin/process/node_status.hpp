#pragma once

#include "geraniumpin/version/node_address.hpp"
#include "geraniumpin/version/version_id.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief State of a node.
enum class NodeState
{
  Starting,       ///< has no configuration yet
  OpenRoutesOnly, ///< cannot authenticate keys: not confirmed since the start, or isolated
  Serving,
  Draining
};

/// \brief Returns the name of the state in lower case with underscores.
[[nodiscard]] std::string_view
ToString(NodeState aState) noexcept;

/// \brief Status of a node as shown to operators.
struct NodeStatus
{
  const NodeAddress node_;
  const std::string failureDomain_;
  const std::uint64_t incarnation_ = 0;
  const VersionId version_; ///< in force
  const NodeState state_ = NodeState::Starting;
  const bool watcher_ = false;
  const std::size_t leasedTeams_ = 0;
  const bool takeoversComplete_ = false;
  const std::size_t entryCalls_ = 0;
  const std::size_t ownedAttempts_ = 0;
  const std::size_t queued_ = 0;
  const double concurrencyLimit_ = 0;
  const double saturation_ = 0; ///< from 0 to 1; 0 without overload control

  auto operator<=>(const NodeStatus&) const = default;
};

/// \brief An instance that could serve a request.
struct ExplainedCandidate
{
  const std::string backendServer_;
  const bool local_ = false;
  const double load_ = 0;

  auto operator<=>(const ExplainedCandidate&) const = default;
};

/// \brief How a request would be routed.
struct Explanation
{
  const std::uint64_t version_ = 0;
  const std::string route_;
  const std::string team_;
  const std::string service_;
  const std::vector<ExplainedCandidate> candidates_;
  const std::string chosen_; ///< empty if no instance accepts work

  auto operator<=>(const Explanation&) const = default;
};

} // namespace geraniumpin
