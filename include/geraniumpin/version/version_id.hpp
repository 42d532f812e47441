#pragma once

#include "geraniumpin/version/digest.hpp"

#include <compare>
#include <cstdint>

namespace geraniumpin {

/// \brief Identifies a published configuration by its number and the digest of its manifest.
///
/// The number orders configurations; two digests with the same number are a fault of the publisher.
///
/// \code
/// assert((VersionId{ 2, a } > VersionId{ 1, b }));
/// \endcode
struct VersionId
{
  std::uint64_t number_ = 0;
  Digest digest_;

  auto operator<=>(const VersionId&) const = default;
};

} // namespace geraniumpin
