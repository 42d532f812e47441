#pragma once

#include "geraniumpin/version/published.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Assembles the items that the platform publishes into the parts of one configuration.
///
/// The result depends only on the items, not on their order, so nodes that read the same revision
/// build the same parts.
///
/// \code
/// assembly.Put("document", document);
/// assembly.Put("instance/i-1", instance);
/// if (assembly.HasDocument()) { const auto services = assembly.Services(); }
/// \endcode
class DocumentAssembly
{
public:
  /// \brief Adds an item or replaces the one with that key.
  void Put(const std::string& aKey, DecodedItem aItem);

  /// \brief Removes an item.
  void Erase(const std::string& aKey);

  /// \brief Finds an item.
  /// \returns Null if there is none with that key.
  [[nodiscard]] const DecodedItem* Find(const std::string& aKey) const;

  /// \brief Returns the keys of all items in order.
  [[nodiscard]] std::set<std::string> Keys() const;

  [[nodiscard]] bool HasDocument() const noexcept { return document_ != nullptr; }

  /// \brief Returns the operators' document.
  /// \pre HasDocument().
  [[nodiscard]] const std::shared_ptr<const DecodedItem>& Document() const noexcept
  {
    return document_;
  }

  /// \brief Returns the failure domains; those that operators took out are marked out of service.
  /// \pre HasDocument().
  [[nodiscard]] FailureDomainsPart FailureDomains() const;

  /// \brief Returns the services with all their instances, those of the document first.
  /// \pre HasDocument().
  ///
  /// Instances of unknown services or failure domains are omitted. If several instances have the
  /// same node, only the one that started last is kept.
  [[nodiscard]] std::vector<Service> Services() const;

private:
  [[nodiscard]] std::vector<const PublishedInstance*> CurrentInstances() const;

  std::map<std::string, std::shared_ptr<const DecodedItem>> items_;
  std::shared_ptr<const DecodedItem> document_;
  std::string documentKey_;
};

} // namespace geraniumpin
