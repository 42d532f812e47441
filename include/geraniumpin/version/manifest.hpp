#pragma once

#include "geraniumpin/version/digest.hpp"
#include "geraniumpin/version/version_id.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief The part names of one version, each with the digest of its bytes.
using PartDigests = std::map<std::string, Digest>;

/// \brief Part names by kind.
namespace part_name {
inline constexpr std::string_view kFailureDomains = "failure_domains";
inline constexpr std::string_view kRoutes = "routes";
inline constexpr std::string_view kTeams = "teams";
inline constexpr std::string_view kKeysPrefix = "keys/";
inline constexpr std::string_view kServicePrefix = "service/";
} // namespace part_name

/// \brief Lists the parts of one version.
///
/// The published head does not list the parts one by one: it lists index shards, so that a change
/// of one part costs a reader one shard and one part, whatever the number of services.
struct Manifest
{
  static constexpr std::size_t kIndexShards = 24;

  const std::uint64_t number_ = 0;
  const PartDigests parts_;

  auto operator<=>(const Manifest&) const = default;
};

/// \brief Returns which index shard lists the part.
[[nodiscard]] std::size_t
IndexShardOf(std::string_view aPartName) noexcept;

/// \brief Encodes one index shard: a line "name digest" for each of its parts, in order of name.
[[nodiscard]] std::string
EncodeIndexShard(const Manifest& aManifest, std::size_t aShard);

/// \brief Encodes the head: the version number, then the digest of each index shard, a line each.
///
/// \code
/// const auto head = EncodeHead(manifest);
/// assert(Digest::Of(head) == IdOf(manifest).digest_);
/// \endcode
[[nodiscard]] std::string
EncodeHead(const Manifest& aManifest);

/// \brief What a head says: the version number and the digest of each index shard.
struct Head
{
  const std::uint64_t number_ = 0;
  const std::vector<Digest> shards_;

  auto operator<=>(const Head&) const = default;
};

/// \brief Decodes a head.
/// \returns Nothing unless the text is exactly what EncodeHead writes.
[[nodiscard]] std::optional<Head>
ParseHead(std::string_view aText);

/// \brief Decodes one index shard.
/// \returns Nothing if a line is malformed.
[[nodiscard]] std::optional<PartDigests>
ParseIndexShard(std::string_view aText);

/// \brief Names the version that the manifest describes.
[[nodiscard]] VersionId
IdOf(const Manifest& aManifest);

/// \brief The parts that differ between two manifests.
struct ManifestDifference
{
  const std::vector<std::string> changed_; ///< new or with another digest
  const std::vector<std::string> removed_;

  auto operator<=>(const ManifestDifference&) const = default;
};

/// \brief Compares two manifests part by part.
[[nodiscard]] ManifestDifference
Difference(const PartDigests& aFrom, const PartDigests& aTo);

} // namespace geraniumpin
