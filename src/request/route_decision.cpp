#include "geraniumpin/request/route_decision.hpp"

namespace geraniumpin {

tl::expected<RouteDecision, Reason>
DecideRoute(const SharedSnapshot& aSnapshot,
            std::string_view aMethod,
            std::string_view aPath,
            const std::optional<Digest>& aKeyDigest,
            KeyTrust aTrust)
{
  if (!aSnapshot) {
    return tl::make_unexpected(Reason::NotReady);
  }
  const auto* route = aSnapshot->FindRoute(aMethod, aPath);
  if (route == nullptr) {
    return tl::make_unexpected(Reason::NoRoute);
  }
  const auto& service = *aSnapshot->FindService(route->service_);
  if (route->access_ == Access::Open) {
    return RouteDecision{ aSnapshot, *route, service, {}, {} };
  }
  if (!aKeyDigest) {
    return tl::make_unexpected(Reason::KeyMissing);
  }
  if (aTrust == KeyTrust::Expired) {
    return tl::make_unexpected(Reason::CutOff);
  }
  const auto* key = aSnapshot->FindKey(*aKeyDigest);
  if (key == nullptr) {
    return tl::make_unexpected(Reason::KeyUnknown);
  }
  return RouteDecision{ aSnapshot, *route, service, key->team_, key->digest_ };
}

} // namespace geraniumpin
