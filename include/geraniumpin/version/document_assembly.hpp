#pragma once

#include "geraniumpin/version/published.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Joins what the platform publishes item by item into the parts of one configuration.
///
/// The result depends on the items alone, so nodes that read the same revision build the same
/// parts.
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

  /// \brief Finds an item; null if there is none with that key.
  [[nodiscard]] const DecodedItem* Find(const std::string& aKey) const;

  /// \brief The keys of all items in order.
  [[nodiscard]] std::set<std::string> Keys() const;

  [[nodiscard]] bool HasDocument() const noexcept { return document_ != nullptr; }

  /// \brief The operators' document; it must have been put.
  [[nodiscard]] const std::shared_ptr<const DecodedItem>& Document() const noexcept
  {
    return document_;
  }

  /// \brief The failure domains, without service where operators took them out.
  [[nodiscard]] FailureDomainsPart FailureDomains() const;

  /// \brief The services with all their instances, those of the document first.
  ///
  /// Instances of unknown services or failure domains are left out. Of several instances at one
  /// node only the one that started last remains.
  [[nodiscard]] std::vector<Service> Services() const;

private:
  [[nodiscard]] std::vector<const PublishedInstance*> CurrentInstances() const;

  std::map<std::string, std::shared_ptr<const DecodedItem>> items_;
  std::shared_ptr<const DecodedItem> document_;
  std::string documentKey_;
};

} // namespace geraniumpin
