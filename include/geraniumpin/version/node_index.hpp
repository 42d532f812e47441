#pragma once

#include "geraniumpin/version/document.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief The nodes of each failure domain, in order of address.
///
/// An index is immutable; a changed version shares the lists of the failure domains that it leaves
/// as they are.
///
/// \code
/// const auto next = index.With(added).Without(removed);
/// \endcode
class NodeIndex
{
public:
  [[nodiscard]] const std::vector<NodeAddress>& FindNodes(std::string_view aFailureDomain) const;

  /// \brief Adds the nodes of services.
  [[nodiscard]] NodeIndex With(const std::vector<const Service*>& aServices) const;

  /// \brief Removes the nodes of services.
  [[nodiscard]] NodeIndex Without(const std::vector<const Service*>& aServices) const;

private:
  using NodeList = std::vector<NodeAddress>;
  using NodesByDomain = std::map<std::string, NodeList, std::less<>>;

  [[nodiscard]] static NodesByDomain GroupByDomain(const std::vector<const Service*>& aServices);

  std::map<std::string, std::shared_ptr<const NodeList>, std::less<>> lists_;
};

} // namespace geraniumpin
