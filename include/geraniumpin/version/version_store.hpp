#pragma once

#include "geraniumpin/version/snapshot.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace geraniumpin {

/// \brief The bytes of a part, shared between versions and outgoing messages.
using SharedBytes = std::shared_ptr<const std::string>;

/// \brief A change from one version to another, as it is sent between nodes.
struct Delta
{
  const VersionId from_; ///< no configuration: the change has all parts
  const VersionId to_;
  const std::map<std::string, SharedBytes> changed_;
  const std::vector<std::string> removed_;
  /// Values of changed parts that this node encoded itself and need not decode.
  const DecodedParts decoded_{};
};

/// \brief Why a version was not applied.
enum class VersionRefusal
{
  NotNewer,        ///< it does not supersede the running version
  DigestConflict,  ///< the running version has this number and another digest
  KnownBad,        ///< it was found to be invalid before
  BaseMissing,     ///< the delta starts from a version that is not the running one
  ContentMismatch, ///< the digest of the parts differs from the announced one
  Invalid          ///< a part or a reference is invalid, as the faults describe
};

/// \brief A refusal with the faults that explain it, if any.
struct RefusedVersion
{
  const VersionRefusal refusal_;
  const Faults faults_;
};

[[nodiscard]] std::string_view
ToString(VersionRefusal aRefusal) noexcept;

/// \brief Decodes the bytes of a part into its value, and back.
template<class Codec>
concept PartCodec = requires(const Codec& aCodec, std::string_view aText, const PartValue& aPart)
{
  {
    aCodec.Encode(aPart)
    } -> std::same_as<std::string>;
  {
    aCodec.Decode(aText, aText)
    } -> std::same_as<tl::expected<SharedPart, Faults>>;
};

/// \brief Stores the running snapshot, the bytes of its parts and the ids of invalid versions.
///
/// The running version is only replaced by one that supersedes it, and an invalid version changes
/// nothing.
class VersionStore
{
public:
  /// Manifests that are kept to compute deltas for nodes that run earlier versions.
  static constexpr std::size_t kManifestHistory = 64;

  /// \brief Returns the running snapshot; null before the first version.
  [[nodiscard]] const SharedSnapshot& Current() const noexcept { return current_; }

  /// \brief Returns the running version; no configuration before the first.
  [[nodiscard]] VersionId CurrentId() const noexcept
  {
    return current_ ? current_->Id() : VersionId{};
  }

  /// \brief Checks by its id whether a version would be refused.
  /// \returns The reason, or nothing if it may be fetched.
  [[nodiscard]] std::optional<VersionRefusal> FindRefusal(const VersionId& aId) const;

  /// \brief Applies a change completely, or refuses it and leaves the running version unchanged.
  template<PartCodec Codec>
  [[nodiscard]] tl::expected<SharedSnapshot, RefusedVersion> Apply(const Delta& aDelta,
                                                                   const Codec& aCodec);

  /// \brief Makes the change from the version of a peer to the running one.
  ///
  /// It has all parts if the version of the peer is not in the history.
  [[nodiscard]] Delta MakeDelta(const VersionId& aPeerVersion) const;

  /// \brief The same for a peer that sent the digests of its parts.
  ///
  /// Nodes that read the platform skip different revisions, so its version may be in no other
  /// history.
  [[nodiscard]] Delta MakeDelta(const VersionId& aPeerVersion, const PartDigests& aPeerParts) const;

private:
  /// Returns true if the change has all parts or starts from the running version.
  [[nodiscard]] bool HasRunningBase(const Delta& aDelta) const;
  /// Applies the changed parts to the running ones. A change from another version may still yield
  /// the right content, which the digest shows. \returns Nothing if no version is running.
  [[nodiscard]] std::optional<std::map<std::string, SharedBytes>> Merge(const Delta& aDelta) const;
  [[nodiscard]] tl::unexpected<RefusedVersion> RefuseInvalid(const VersionId& aId, Faults aFaults);
  void Install(SharedSnapshot aSnapshot, std::map<std::string, SharedBytes> aBytes);
  [[nodiscard]] SharedPart FindReusable(const std::string& aName, const Digest& aDigest) const;

  SharedSnapshot current_;
  std::map<std::string, SharedBytes> bytes_;
  std::deque<Manifest> history_;
  std::set<VersionId> invalid_;
};

namespace impl {

/// \brief Makes the manifest of a set of parts, reusing the digests of known bytes.
[[nodiscard]] Manifest
MakeManifest(const VersionNumber& aNumber,
             const std::map<std::string, SharedBytes>& aParts,
             const std::map<std::string, SharedBytes>& aKnownBytes,
             const PartDigests& aKnownDigests);

} // namespace impl

template<PartCodec Codec>
tl::expected<SharedSnapshot, RefusedVersion>
VersionStore::Apply(const Delta& aDelta, const Codec& aCodec)
{
  if (const auto refusal = FindRefusal(aDelta.to_)) {
    return tl::make_unexpected(RefusedVersion{ *refusal, {} });
  }
  const auto merged = Merge(aDelta);
  if (!merged) {
    return tl::make_unexpected(RefusedVersion{ VersionRefusal::BaseMissing, {} });
  }
  const auto manifest = impl::MakeManifest(
    aDelta.to_.number_, *merged, bytes_, current_ ? current_->GetManifest().parts_ : PartDigests{});
  if (MakeVersionId(manifest).digest_ != aDelta.to_.digest_) {
    const auto refusal =
      HasRunningBase(aDelta) ? VersionRefusal::ContentMismatch : VersionRefusal::BaseMissing;
    return tl::make_unexpected(RefusedVersion{ refusal, {} });
  }
  SnapshotBuilder builder(manifest, current_);
  for (const auto& [name, digest] : manifest.parts_) {
    if (auto reused = FindReusable(name, digest)) {
      builder.Add(name, std::move(reused));
      continue;
    }
    if (const auto known = aDelta.decoded_.find(name); known != aDelta.decoded_.end()) {
      builder.Add(name, known->second);
      continue;
    }
    auto decoded = aCodec.Decode(name, *merged->at(name));
    if (!decoded) {
      return RefuseInvalid(aDelta.to_, std::move(decoded.error()));
    }
    builder.Add(name, std::move(*decoded));
  }
  auto snapshot = builder.Build();
  if (!snapshot) {
    return RefuseInvalid(aDelta.to_, std::move(snapshot.error()));
  }
  const auto stated = aDelta.to_.number_.document_;
  if (stated != 0 && stated != (*snapshot)->DocumentNumber()) {
    return tl::make_unexpected(RefusedVersion{ VersionRefusal::ContentMismatch, {} });
  }
  // A sender of an earlier release does not state the document, which also orders the version.
  if (const auto refusal = FindRefusal((*snapshot)->Id())) {
    return tl::make_unexpected(RefusedVersion{ *refusal, {} });
  }
  Install(*snapshot, *merged);
  return *snapshot;
}

} // namespace geraniumpin
