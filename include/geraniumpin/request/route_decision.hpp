#pragma once

#include "geraniumpin/request/call.hpp"
#include "geraniumpin/version/snapshot.hpp"

#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Team and route of a request; holds the snapshot that they come from.
struct RouteDecision
{
  const SharedSnapshot snapshot_;
  const Route& route_;
  const std::string team_; ///< empty on open routes
  const Digest keyDigest_; ///< zero on open routes
};

/// \brief Whether the configuration is recent enough to authenticate keys.
enum class ConfigFreshness
{
  Current, ///< external contact or platform read within the limit
  Expired  ///< none for longer than the document allows, or not confirmed yet
};

/// \brief Returns the host of a request in lower case and without the port.
[[nodiscard]] std::string
NormalizeHost(std::string_view aHost);

/// \brief Finds the route of a request and checks its key.
///
/// \param aSnapshot Null before the node has a configuration.
/// \param aKeyDigest Digest of the caller's key; empty if the request has none.
/// \returns The decision, or the reason of the refusal; the request did not run then.
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
