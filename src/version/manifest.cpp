#include "geraniumpin/version/manifest.hpp"

namespace geraniumpin {

VersionId
MakeVersionId(const Manifest& aManifest)
{
  // Nodes of earlier releases compute the digest of the revision and the parts alone.
  std::string text = std::to_string(aManifest.number_.revision_) + "\n";
  for (const auto& [name, digest] : aManifest.parts_) {
    text += name;
    text += digest.Bytes();
  }
  return { aManifest.number_, Digest::Compute(text) };
}

ManifestDifference
CompareManifests(const PartDigests& aFrom, const PartDigests& aTo)
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
