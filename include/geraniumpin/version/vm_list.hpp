#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief A live or leaving VM.
struct ListedVm
{
  NodeAddress node_;
  NodeAddress admin_;
  std::string failureDomain_;
  bool leaving_ = false;

  auto operator<=>(const ListedVm&) const = default;
};

/// \brief The platform's list of VMs, if it keeps one; a VM that is not on it has ended.
struct VmList
{
  std::uint64_t revision_ = 0;
  std::vector<ListedVm> vms_;

  auto operator<=>(const VmList&) const = default;
};

} // namespace geraniumpin
