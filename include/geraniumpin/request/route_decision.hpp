#pragma once

#include "geraniumpin/request/call.hpp"
#include "geraniumpin/version/snapshot.hpp"

#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Whom a request runs for and where it goes; holds the snapshot that it was decided by.
struct RouteDecision
{
  const SharedSnapshot snapshot_;
  const Route& route_;
  const std::string team_; ///< empty on open routes
  const Digest keyDigest_; ///< zero on open routes
};

/// \brief Whether the node may still vouch for keys.
enum class ConfigFreshness
{
  Current, ///< the node hears from others or from the platform
  Expired  ///< it has heard of nobody for longer than the document allows
};

/// \brief Returns the host of a request in lower case and without its port.
[[nodiscard]] std::string
NormalizeHost(std::string_view aHost);

/// \brief Finds the route of a call and checks its key.
///
/// \param aKeyDigest The digest of the caller's key; nothing if the caller showed none.
/// \returns The decision, or the reason for which the call is refused as not run.
///
/// \code
/// const auto decision = DecideRoute(snapshot, "", "GET", "/orders/1", Digest::Compute(key),
/// freshness); \endcode
[[nodiscard]] tl::expected<RouteDecision, Reason>
DecideRoute(const SharedSnapshot& aSnapshot,
            std::string_view aHost,
            std::string_view aMethod,
            std::string_view aPath,
            const std::optional<Digest>& aKeyDigest,
            ConfigFreshness aFreshness);

} // namespace geraniumpin
