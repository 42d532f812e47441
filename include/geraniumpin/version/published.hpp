#pragma once

#include "geraniumpin/version/document.hpp"
#include "geraniumpin/version/fault.hpp"
#include "geraniumpin/version/vm_list.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace geraniumpin {

/// \brief The operators' document as the platform publishes it, decoded.
///
/// DocumentAssembly adds the instances that are published separately and applies
/// DomainOutOfService.
struct PublishedDocument
{
  const FailureDomainsPart failureDomains_;
  const RoutesPart routes_;
  const std::vector<Service> services_;
  const TeamsPart teams_;
  const KeysPart keys_;

  auto operator<=>(const PublishedDocument&) const = default;
};

/// \brief One instance that is published separately from the document.
struct PublishedInstance
{
  const std::string service_;
  const BackendServer backendServer_;

  auto operator<=>(const PublishedInstance&) const = default;
};

/// \brief A failure domain that operators took out of service.
struct DomainOutOfService
{
  const std::string name_;

  auto operator<=>(const DomainOutOfService&) const = default;
};

/// \brief The decoded content of one item of the platform.
using DecodedItem = std::variant<PublishedDocument, PublishedInstance, DomainOutOfService, VmList>;

/// \brief Decodes items of the platform.
///
/// Decode returns nothing for an item that does not concern the mesh, and the faults of a malformed
/// one.
template<class D>
concept ItemDecoder = requires(const D& aDecoder, std::string_view aText)
{
  {
    aDecoder.Decode(aText, aText)
    } -> std::same_as<tl::expected<std::optional<DecodedItem>, Faults>>;
};

} // namespace geraniumpin
