#pragma once

#include "geraniumpin/version/document.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief The nodes of each failure domain, sorted by address.
///
/// An index is immutable; the index of a new version shares the lists of unchanged failure domains
/// with the previous one.
///
/// \code
/// const auto next = index.With(added).Without(removed);
/// \endcode
class NodeIndex
{
public:
  [[nodiscard]] const std::vector<NodeAddress>& FindNodes(std::string_view aFailureDomain) const;

  /// \brief Returns an index with the nodes of these services added.
  [[nodiscard]] NodeIndex With(const std::vector<const Service*>& aServices) const;

  /// \brief Returns an index with the nodes of these services removed.
  [[nodiscard]] NodeIndex Without(const std::vector<const Service*>& aServices) const;

private:
  using NodeList = std::vector<NodeAddress>;
  using NodesByDomain = std::map<std::string, NodeList, std::less<>>;

  [[nodiscard]] static NodesByDomain GroupByDomain(const std::vector<const Service*>& aServices);

  std::map<std::string, std::shared_ptr<const NodeList>, std::less<>> lists_;
};

} // namespace geraniumpin
