#include "geraniumpin/version/manifest.hpp"

#include <charconv>
#include <xxhash.h>

namespace geraniumpin {

namespace impl {
namespace {

std::vector<std::string>
ShardTexts(const Manifest& aManifest)
{
  std::vector<std::string> shards(Manifest::kIndexShards);
  for (const auto& [name, digest] : aManifest.parts_) {
    shards[IndexShardOf(name)] += name + " " + digest.Hex() + "\n";
  }
  return shards;
}

std::string_view
TakeLine(std::string_view& aText) noexcept
{
  const auto end = aText.find('\n');
  const auto line = aText.substr(0, end);
  aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  return line;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText) noexcept
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace
} // namespace impl

std::size_t
IndexShardOf(std::string_view aPartName) noexcept
{
  return XXH3_64bits(aPartName.data(), aPartName.size()) % Manifest::kIndexShards;
}

std::string
EncodeIndexShard(const Manifest& aManifest, std::size_t aShard)
{
  return impl::ShardTexts(aManifest).at(aShard);
}

std::string
EncodeHead(const Manifest& aManifest)
{
  std::string head = std::to_string(aManifest.number_) + "\n";
  for (const auto& shard : impl::ShardTexts(aManifest)) {
    head += Digest::Of(shard).Hex() + "\n";
  }
  return head;
}

std::optional<Head>
ParseHead(std::string_view aText)
{
  const auto number = impl::ParseNumber(impl::TakeLine(aText));
  if (!number) {
    return std::nullopt;
  }
  std::vector<Digest> shards;
  while (!aText.empty()) {
    const auto digest = Digest::FromHex(impl::TakeLine(aText));
    if (!digest) {
      return std::nullopt;
    }
    shards.push_back(*digest);
  }
  if (shards.size() != Manifest::kIndexShards) {
    return std::nullopt;
  }
  return Head{ .number_ = *number, .shards_ = shards };
}

std::optional<PartDigests>
ParseIndexShard(std::string_view aText)
{
  PartDigests parts;
  while (!aText.empty()) {
    const auto line = impl::TakeLine(aText);
    const auto space = line.find(' ');
    if (space == std::string_view::npos) {
      return std::nullopt;
    }
    const auto digest = Digest::FromHex(line.substr(space + 1));
    if (!digest) {
      return std::nullopt;
    }
    parts.emplace(line.substr(0, space), *digest);
  }
  return parts;
}

VersionId
IdOf(const Manifest& aManifest)
{
  return { aManifest.number_, Digest::Of(EncodeHead(aManifest)) };
}

ManifestDifference
Difference(const PartDigests& aFrom, const PartDigests& aTo)
{
  std::vector<std::string> changed;
  std::vector<std::string> removed;
  for (const auto& [name, digest] : aTo) {
    const auto before = aFrom.find(name);
    if (before == aFrom.end() || before->second != digest) {
      changed.push_back(name);
    }
  }
  for (const auto& [name, digest] : aFrom) {
    if (!aTo.contains(name)) {
      removed.push_back(name);
    }
  }
  return { .changed_ = changed, .removed_ = removed };
}

} // namespace geraniumpin
