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
/// The failure domains and instances that it lists are joined by those published on their own.
struct PublishedDocument
{
  const FailureDomainsPart failureDomains_;
  const RoutesPart routes_;
  const std::vector<Service> services_;
  const TeamsPart teams_;
  const KeysPart keys_;

  auto operator<=>(const PublishedDocument&) const = default;
};

/// \brief One instance that was published on its own.
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

/// \brief What one item of the platform says.
using DecodedItem = std::variant<PublishedDocument, PublishedInstance, DomainOutOfService, VmList>;

/// \brief Decodes items of the platform.
///
/// Returns nothing for an item that is not meant for the mesh, and the faults of a malformed one.
template<class D>
concept ItemDecoder = requires(const D& aDecoder, std::string_view aText)
{
  {
    aDecoder.Decode(aText, aText)
    } -> std::same_as<tl::expected<std::optional<DecodedItem>, Faults>>;
};

} // namespace geraniumpin
