#pragma once

#include "geraniumpin/version/digest.hpp"
#include "geraniumpin/version/version_id.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief The part names of one version, each with the digest of its bytes.
using PartDigests = std::map<std::string, Digest>;

/// \brief Names and name prefixes of the parts by kind.
namespace part_name {
inline constexpr std::string_view kFailureDomains = "failure_domains";
inline constexpr std::string_view kRoutesPrefix = "routes/";
inline constexpr std::string_view kTeams = "teams";
inline constexpr std::string_view kKeysPrefix = "keys/";
inline constexpr std::string_view kServicePrefix = "service/";
} // namespace part_name

/// \brief The number of a version and the digests of its parts.
struct Manifest
{
  const VersionNumber number_;
  const PartDigests parts_;

  auto operator<=>(const Manifest&) const = default;
};

/// \brief Makes the id of the version that the manifest describes.
[[nodiscard]] VersionId
MakeVersionId(const Manifest& aManifest);

/// \brief The parts that differ between two manifests.
struct ManifestDifference
{
  const std::vector<std::string> changed_; ///< new or with another digest
  const std::vector<std::string> removed_;

  auto operator<=>(const ManifestDifference&) const = default;
};

/// \brief Compares two manifests part by part.
[[nodiscard]] ManifestDifference
CompareManifests(const PartDigests& aFrom, const PartDigests& aTo);

} // namespace geraniumpin
