#pragma once

#include "geraniumpin/version/document_assembly.hpp"
#include "geraniumpin/version/published.hpp"
#include "geraniumpin/version/snapshot.hpp"

#include <vector>

namespace geraniumpin {

/// \brief Where the platform publishes instances.
enum class InstancePlace
{
  Items,   ///< each one on its own
  Document ///< with the services of the document
};

/// \brief Returns where the platform that has these items publishes instances.
[[nodiscard]] InstancePlace
FindInstancePlace(const DocumentAssembly& aItems);

/// \brief Reassembles the operators' document that a version contains.
/// \param aPlace Decides whether the services of the result have their instances.
[[nodiscard]] PublishedDocument
ReadDocument(const Snapshot& aSnapshot, InstancePlace aPlace);

/// \brief Lists the instances of a version.
[[nodiscard]] std::vector<PublishedInstance>
ReadInstances(const Snapshot& aSnapshot);

} // namespace geraniumpin
