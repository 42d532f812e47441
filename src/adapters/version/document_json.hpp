#pragma once

#include "geraniumpin/version/document.hpp"
#include "geraniumpin/version/fault.hpp"
#include "geraniumpin/version/manifest.hpp"
#include "geraniumpin/version/snapshot.hpp"
#include "geraniumpin/version/version_store.hpp"

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Decodes published parts from JSON; satisfies PartCodec.
class JsonPartCodec
{
public:
  /// \brief Checks the text against the schema of its kind of part and decodes it.
  [[nodiscard]] tl::expected<SharedPart, Faults> Decode(std::string_view aName,
                                                        std::string_view aText) const;
};

/// \brief The encoded parts of one document.
struct EncodedDocument
{
  const Manifest manifest_;
  const std::map<std::string, SharedBytes> parts_;
};

/// \brief Splits an operator's document into parts, after checking it whole.
///
/// \code
/// const auto encoded = EncodeDocument("mesh.json", text);
/// \endcode
///
/// \returns The parts, or every fault with its position in the document.
[[nodiscard]] tl::expected<EncodedDocument, Faults>
EncodeDocument(const std::string& aSource, std::string_view aText);

} // namespace geraniumpin
