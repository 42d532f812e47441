#pragma once

#include "geraniumpin/version/snapshot.hpp"

#include <algorithm>

namespace geraniumpin::impl {

/// \brief Checks completeness, uniqueness and every reference between the parts.
/// \param aBase Parts of a valid snapshot, which are not checked again; may be null.
/// \returns All faults found; empty for a valid set of parts.
[[nodiscard]] Faults
CheckParts(const Manifest& aManifest, const DecodedParts& aParts, const DecodedParts* aBase);

/// \brief Lists the services of the first set that the second one lacks or has otherwise.
[[nodiscard]] std::vector<const Service*>
FindChangedServices(const DecodedParts& aParts, const DecodedParts& aOther);

/// \brief Says whether both sets have the same parts of a kind, as shared objects.
template<class Part>
[[nodiscard]] bool
SharesParts(const DecodedParts& aParts, const DecodedParts& aOther)
{
  const auto isShared = [](const DecodedParts& aFirst, const DecodedParts& aSecond) {
    return std::all_of(aFirst.begin(), aFirst.end(), [&](const auto& aEntry) {
      if (!std::holds_alternative<Part>(*aEntry.second)) {
        return true;
      }
      const auto found = aSecond.find(aEntry.first);
      return found != aSecond.end() && found->second == aEntry.second;
    });
  };
  return isShared(aParts, aOther) && isShared(aOther, aParts);
}

} // namespace geraniumpin::impl
