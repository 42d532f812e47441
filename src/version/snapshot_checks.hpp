#pragma once

#include "geraniumpin/version/snapshot.hpp"

namespace geraniumpin::impl {

/// \brief Checks completeness, uniqueness and every reference between the parts.
/// \returns All faults found; empty for a valid set of parts.
[[nodiscard]] Faults
CheckParts(const Manifest& aManifest, const DecodedParts& aParts);

} // namespace geraniumpin::impl
