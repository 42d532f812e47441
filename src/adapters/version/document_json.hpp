#pragma once

#include "geraniumpin/version/document.hpp"
#include "geraniumpin/version/fault.hpp"
#include "geraniumpin/version/manifest.hpp"
#include "geraniumpin/version/published.hpp"
#include "geraniumpin/version/snapshot.hpp"
#include "geraniumpin/version/version_store.hpp"

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Encodes parts as compressed JSON for transfer between nodes; satisfies PartCodec.
class JsonPartCodec
{
public:
  /// \brief Decodes a part, compressed or not, and checks its form.
  [[nodiscard]] tl::expected<SharedPart, Faults> Decode(std::string_view aName,
                                                        std::string_view aText) const;

  /// \brief Encodes a part; equal parts have equal bytes.
  [[nodiscard]] std::string Encode(const PartValue& aPart) const;
};

/// \brief Decodes items of the project's own platform protocol; satisfies ItemDecoder.
///
/// The whole document is one item, in the format that operators write.
class JsonItemDecoder
{
public:
  static constexpr std::string_view kDocumentKey = "document";
  static constexpr std::string_view kVmListKey = "vms";

  /// \brief Decodes and validates an item; nothing for any other key.
  [[nodiscard]] tl::expected<std::optional<DecodedItem>, Faults> Decode(
    std::string_view aKey,
    std::string_view aText) const;
};

/// \brief Decodes a list of VMs: {"vms": [{"node", "admin", "failure_domain", "state"}]}.
/// \returns Nothing if the text is malformed.
[[nodiscard]] std::optional<VmList>
ParseVmList(std::string_view aText);

/// \brief The encoded parts of one document.
struct EncodedDocument
{
  const Manifest manifest_;
  const std::map<std::string, SharedBytes> parts_;
  const std::string text_; ///< as the operator wrote it
};

/// \brief Validates an operator's document and splits it into parts.
///
/// \code
/// const auto encoded = EncodeDocument("mesh.json", text);
/// \endcode
///
/// \returns The parts, or every fault with its position in the document.
[[nodiscard]] tl::expected<EncodedDocument, Faults>
EncodeDocument(const std::string& aSource, std::string_view aText);

} // namespace geraniumpin
