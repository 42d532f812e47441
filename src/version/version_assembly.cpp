#include "geraniumpin/version/version_assembly.hpp"

namespace geraniumpin {

VersionAssembly::VersionAssembly(const Head& aHead, VersionId aId, const VersionStore& aStore)
  : id_(aId)
{
  const auto running = aStore.Current() ? aStore.Current()->Parts() : Manifest{};
  const auto before = ParseHead(EncodeHead(running));
  for (std::size_t shard = 0; shard < aHead.shards_.size(); ++shard) {
    const auto& digest = aHead.shards_[shard];
    if (before->shards_[shard] == digest) {
      AddShard(*ParseIndexShard(EncodeIndexShard(running, shard)), aStore);
    } else if (digest != Digest::Of("")) {
      missingShards_.insert(digest);
    }
  }
}

void
VersionAssembly::AddShard(const PartDigests& aParts, const VersionStore& aStore)
{
  for (const auto& [name, digest] : aParts) {
    parts_.emplace(name, digest);
    if (auto bytes = aStore.FindBytes(digest)) {
      known_.emplace(digest, std::move(bytes));
    } else {
      missingParts_.insert(digest);
    }
  }
}

std::vector<Digest>
VersionAssembly::Missing() const
{
  if (!missingShards_.empty()) {
    return { missingShards_.begin(), missingShards_.end() };
  }
  return { missingParts_.begin(), missingParts_.end() };
}

bool
VersionAssembly::Add(const Digest& aDigest, std::string aBytes, const VersionStore& aStore)
{
  if (Digest::Of(aBytes) != aDigest) {
    return false;
  }
  if (missingParts_.erase(aDigest) > 0) {
    known_.emplace(aDigest, std::make_shared<const std::string>(std::move(aBytes)));
    return true;
  }
  if (missingShards_.erase(aDigest) == 0) {
    return true; // fetched twice
  }
  const auto shard = ParseIndexShard(aBytes);
  if (!shard) {
    return false;
  }
  AddShard(*shard, aStore);
  return true;
}

std::optional<Delta>
VersionAssembly::Complete() const
{
  if (!missingShards_.empty() || !missingParts_.empty()) {
    return std::nullopt;
  }
  std::map<std::string, SharedBytes> changed;
  for (const auto& [name, digest] : parts_) {
    changed.emplace(name, known_.at(digest));
  }
  return Delta{ .from_ = {}, .to_ = id_, .changed_ = std::move(changed), .removed_ = {} };
}

} // namespace geraniumpin
