#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/digest.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief A live or leaving VM as the platform lists it.
struct ListedVm
{
  NodeAddress node_;
  NodeAddress admin_;
  std::string failureDomain_;
  bool leaving_ = false;

  auto operator<=>(const ListedVm&) const = default;
};

/// \brief The platform's list of VMs at one revision.
struct VmList
{
  std::uint64_t revision_ = 0;
  std::vector<ListedVm> vms_;

  auto operator<=>(const VmList&) const = default;
};

/// \brief Reads the platform; results arrive as events at the node.
template<class S>
concept ConfigSource = requires(S& aSource, std::uint64_t aRevision, const Digest& aDigest)
{
  aSource.FetchHead(aRevision); ///< waits for a revision above this one; 0 answers at once
  aSource.FetchContent(aDigest);
  aSource.FetchVmList(aRevision);
};

} // namespace geraniumpin
