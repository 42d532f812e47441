#pragma once

#include "geraniumpin/version/document_assembly.hpp"
#include "geraniumpin/version/part_split.hpp"
#include "geraniumpin/version/version_store.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpin {

/// \brief Encodes the parts of the versions that one node publishes, one after the other; parts
/// that did not change are not encoded again.
class PartEncoder
{
public:
  /// \brief Encodes the parts of an assembly.
  /// \pre aAssembly.HasDocument().
  template<PartCodec Codec>
  void Update(const DocumentAssembly& aAssembly, const Codec& aCodec)
  {
    const auto& item = aAssembly.Document();
    const auto& document = std::get<PublishedDocument>(*item);
    if (item != document_) {
      document_ = item;
      SetPart(part_name::kTeams, document.teams_, aCodec);
      splitParts_.clear();
      for (const auto& [name, routes] : SplitRoutes(document.routes_)) {
        SetPart(name, routes, aCodec);
        splitParts_.insert(name);
      }
      for (const auto& [name, keys] : SplitKeys(document.keys_)) {
        SetPart(name, keys, aCodec);
        splitParts_.insert(name);
      }
    }
    auto names = splitParts_;
    names.insert({ std::string(part_name::kTeams), std::string(part_name::kFailureDomains) });
    SetPart(part_name::kFailureDomains, aAssembly.FailureDomains(), aCodec);
    for (const auto& service : aAssembly.Services()) {
      const auto name = std::string(part_name::kServicePrefix) + service.name_;
      SetPart(name, service, aCodec);
      names.insert(name);
    }
    const auto isGone = [&](const auto& aEntry) { return !names.contains(aEntry.first); };
    std::erase_if(bytes_, isGone);
    std::erase_if(values_, isGone);
    std::erase_if(digests_, isGone);
  }

  [[nodiscard]] const DecodedParts& Values() const noexcept { return values_; }
  [[nodiscard]] const std::map<std::string, SharedBytes>& Bytes() const noexcept { return bytes_; }
  [[nodiscard]] const PartDigests& Digests() const noexcept { return digests_; }

private:
  template<PartCodec Codec>
  void SetPart(std::string_view aName, const PartValue& aValue, const Codec& aCodec)
  {
    const std::string name(aName);
    const auto known = values_.find(name);
    if (known != values_.end() && *known->second == aValue) {
      return;
    }
    const auto bytes = std::make_shared<const std::string>(aCodec.Encode(aValue));
    values_.insert_or_assign(name, std::make_shared<const PartValue>(aValue));
    digests_.insert_or_assign(name, Digest::Compute(*bytes));
    bytes_.insert_or_assign(name, bytes);
  }

  std::shared_ptr<const DecodedItem> document_; ///< whose parts are encoded
  std::set<std::string> splitParts_;            ///< names of the parts with routes and keys
  DecodedParts values_;
  std::map<std::string, SharedBytes> bytes_;
  PartDigests digests_;
};

} // namespace geraniumpin
