#pragma once

#include "geraniumpin/version/snapshot.hpp"

namespace geraniumpin::impl {

/// \brief Checks completeness, uniqueness and every reference between the parts.
/// \param aKnown Parts of a valid snapshot, which are not checked again; may be null.
/// \returns All faults found; empty for a valid set of parts.
[[nodiscard]] Faults
CheckParts(const Manifest& aManifest, const DecodedParts& aParts, const DecodedParts* aKnown);

/// \brief Lists the services of the first set that the second one lacks or has otherwise.
[[nodiscard]] std::vector<const Service*>
ServicesOnlyIn(const DecodedParts& aParts, const DecodedParts& aOther);

} // namespace geraniumpin::impl
