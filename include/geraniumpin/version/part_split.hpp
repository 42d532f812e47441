#pragma once

#include "geraniumpin/version/document.hpp"

#include <map>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief Returns the name of the part that holds a route.
///
/// For the load pattern "burst of versions": a change of one route leaves fifteen of sixteen
/// parts unchanged, so they are neither sent nor decoded again.
[[nodiscard]] std::string
RoutesPartName(std::string_view aRouteName);

/// \brief Returns the name of the part that holds the key with that digest.
[[nodiscard]] std::string
KeysPartName(const Digest& aDigest);

/// \brief Divides routes among parts; within a part they keep their order.
///
/// \code
/// for (const auto& [name, part] : SplitRoutes(document.routes_)) { Publish(name, part); }
/// \endcode
[[nodiscard]] std::map<std::string, RoutesPart>
SplitRoutes(const RoutesPart& aRoutes);

/// \brief Divides keys among parts; within a part they keep their order.
[[nodiscard]] std::map<std::string, KeysPart>
SplitKeys(const KeysPart& aKeys);

} // namespace geraniumpin
