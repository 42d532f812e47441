#include "geraniumpin/version/part_split.hpp"

#include "geraniumpin/version/manifest.hpp"

#include <utility>
#include <vector>
#include <xxhash.h>

namespace geraniumpin {

namespace impl {
namespace {

template<class Part, class Item, class MakeName>
std::map<std::string, Part>
Split(const std::vector<Item>& aItems, const MakeName& aMakeName)
{
  std::map<std::string, std::vector<Item>> split;
  for (const auto& item : aItems) {
    split[aMakeName(item)].push_back(item);
  }
  std::map<std::string, Part> parts;
  for (auto& [name, items] : split) {
    parts.emplace(name, Part{ std::move(items) });
  }
  return parts;
}

} // namespace
} // namespace impl

std::string
RoutesPartName(std::string_view aRouteName)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  const auto hash = XXH3_64bits(aRouteName.data(), aRouteName.size());
  return std::string(part_name::kRoutesPrefix) + kHexDigits[hash % kHexDigits.size()];
}

std::string
KeysPartName(const Digest& aDigest)
{
  return std::string(part_name::kKeysPrefix) + aDigest.Hex().front();
}

std::map<std::string, RoutesPart>
SplitRoutes(const RoutesPart& aRoutes)
{
  return impl::Split<RoutesPart>(aRoutes.routes_,
                                 [](const Route& aRoute) { return RoutesPartName(aRoute.name_); });
}

std::map<std::string, KeysPart>
SplitKeys(const KeysPart& aKeys)
{
  return impl::Split<KeysPart>(aKeys.keys_,
                               [](const Key& aKey) { return KeysPartName(aKey.digest_); });
}

} // namespace geraniumpin
