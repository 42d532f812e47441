#pragma once

#include "geraniumpin/version/snapshot.hpp"

#include <algorithm>

namespace geraniumpin::impl {

/// \brief Checks that the parts are complete and unique and that every reference resolves.
/// \param aBase Parts of a valid snapshot, which are not checked again; may be null.
/// \returns All faults found; empty for a valid set of parts.
[[nodiscard]] Faults
CheckParts(const Manifest& aManifest, const DecodedParts& aParts, const DecodedParts* aBase);

/// \brief Returns the services of the first set that are missing or different in the second.
[[nodiscard]] std::vector<const Service*>
FindChangedServices(const DecodedParts& aParts, const DecodedParts& aOther);

/// \brief Returns true if both sets share all their parts of a kind; compares addresses.
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
