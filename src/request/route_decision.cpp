#include "geraniumpin/request/route_decision.hpp"

#include <algorithm>
#include <cctype>

namespace geraniumpin {

std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

tl::expected<RouteDecision, Reason>
DecideRoute(const SharedSnapshot& aSnapshot,
            std::string_view aHost,
            std::string_view aMethod,
            std::string_view aPath,
            const std::optional<Digest>& aKeyDigest,
            ConfigFreshness aFreshness)
{
  if (!aSnapshot) {
    return tl::make_unexpected(Reason::NotReady);
  }
  const auto* route = aSnapshot->FindRoute(NormalizeHost(aHost), aMethod, aPath);
  if (route == nullptr) {
    return tl::make_unexpected(Reason::NoRoute);
  }
  if (route->access_ == Access::Open) {
    return RouteDecision{ aSnapshot, *route, {}, {} };
  }
  if (!aKeyDigest) {
    return tl::make_unexpected(Reason::KeyMissing);
  }
  if (aFreshness == ConfigFreshness::Expired) {
    return tl::make_unexpected(Reason::CutOff);
  }
  const auto* key = aSnapshot->FindKey(*aKeyDigest);
  if (key == nullptr) {
    return tl::make_unexpected(Reason::KeyUnknown);
  }
  return RouteDecision{ aSnapshot, *route, key->team_, key->digest_ };
}

} // namespace geraniumpin
