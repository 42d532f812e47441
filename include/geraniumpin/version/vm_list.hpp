#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief A VM that is running or about to end.
struct ListedVm
{
  NodeAddress node_;
  NodeAddress admin_;
  std::string failureDomain_;
  bool leaving_ = false;

  auto operator<=>(const ListedVm&) const = default;
};

/// \brief The platform's list of VMs, if it has one; a VM that is not listed has ended.
struct VmList
{
  std::uint64_t revision_ = 0;
  std::vector<ListedVm> vms_;

  auto operator<=>(const VmList&) const = default;
};

} // namespace geraniumpin
