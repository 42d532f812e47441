#include "geraniumpin/version/version_store.hpp"

#include <algorithm>

namespace geraniumpin {

std::string_view
ToString(VersionRefusal aRefusal) noexcept
{
  switch (aRefusal) {
    case VersionRefusal::NotNewer:
      return "not_newer";
    case VersionRefusal::DigestConflict:
      return "digest_conflict";
    case VersionRefusal::KnownBad:
      return "known_bad";
    case VersionRefusal::BaseMissing:
      return "base_missing";
    case VersionRefusal::ContentMismatch:
      return "content_mismatch";
    case VersionRefusal::Invalid:
      return "invalid";
  }
  return "unknown";
}

namespace {

/// Returns true if two versions have one number, which is not interim, and different contents.
bool
IsConflict(const VersionId& aId, const VersionId& aRunning) noexcept
{
  const auto& number = aId.number_;
  const auto& running = aRunning.number_;
  const bool sameNumber = number.document_ == 0 && running.era_ == 0
                            ? number.revision_ == running.revision_
                            : number == running;
  return sameNumber && running.IsExact() && aId.digest_ != aRunning.digest_;
}

} // namespace

std::optional<VersionRefusal>
VersionStore::FindRefusal(const VersionId& aId) const
{
  const auto running = CurrentId();
  if (IsConflict(aId, running)) {
    return VersionRefusal::DigestConflict;
  }
  if (!Supersedes(aId, running)) {
    return VersionRefusal::NotNewer;
  }
  if (invalid_.contains(aId)) {
    return VersionRefusal::KnownBad;
  }
  return std::nullopt;
}

bool
VersionStore::HasRunningBase(const Delta& aDelta) const
{
  return !IsConfiguration(aDelta.from_) || aDelta.from_.digest_ == CurrentId().digest_;
}

std::optional<std::map<std::string, SharedBytes>>
VersionStore::Merge(const Delta& aDelta) const
{
  const bool fromNothing = !IsConfiguration(aDelta.from_);
  if (!fromNothing && !current_) {
    return std::nullopt;
  }
  std::map<std::string, SharedBytes> merged;
  if (!fromNothing) {
    merged = bytes_;
  }
  for (const auto& name : aDelta.removed_) {
    merged.erase(name);
  }
  for (const auto& [name, bytes] : aDelta.changed_) {
    merged.insert_or_assign(name, bytes);
  }
  return merged;
}

tl::unexpected<RefusedVersion>
VersionStore::RefuseInvalid(const VersionId& aId, Faults aFaults)
{
  invalid_.insert(aId);
  return tl::make_unexpected(RefusedVersion{ VersionRefusal::Invalid, std::move(aFaults) });
}

void
VersionStore::Install(SharedSnapshot aSnapshot, std::map<std::string, SharedBytes> aBytes)
{
  current_ = std::move(aSnapshot);
  bytes_ = std::move(aBytes);
  history_.push_back(current_->GetManifest());
  if (history_.size() > kManifestHistory) {
    history_.pop_front();
  }
  std::erase_if(invalid_, [&](const VersionId& aId) { return !Supersedes(aId, CurrentId()); });
}

SharedPart
VersionStore::FindReusable(const std::string& aName, const Digest& aDigest) const
{
  if (!current_) {
    return nullptr;
  }
  const auto& digests = current_->GetManifest().parts_;
  const auto found = digests.find(aName);
  const bool same = found != digests.end() && found->second == aDigest;
  return same ? current_->Decoded().find(aName)->second : nullptr;
}

Delta
VersionStore::MakeDelta(const VersionId& aPeerVersion) const
{
  const auto base = std::find_if(history_.begin(), history_.end(), [&](const Manifest& aManifest) {
    return aManifest.number_.revision_ == aPeerVersion.number_.revision_ &&
           MakeVersionId(aManifest).digest_ == aPeerVersion.digest_;
  });
  const bool known = base != history_.end();
  return known ? MakeDelta(aPeerVersion, base->parts_) : MakeDelta({}, PartDigests{});
}

Delta
VersionStore::MakeDelta(const VersionId& aPeerVersion, const PartDigests& aPeerParts) const
{
  const auto difference = CompareManifests(aPeerParts, current_->GetManifest().parts_);
  std::map<std::string, SharedBytes> changed;
  for (const auto& name : difference.changed_) {
    changed.emplace(name, bytes_.at(name));
  }
  return { .from_ = aPeerVersion,
           .to_ = CurrentId(),
           .changed_ = std::move(changed),
           .removed_ = difference.removed_ };
}

namespace impl {

Manifest
MakeManifest(const VersionNumber& aNumber,
             const std::map<std::string, SharedBytes>& aParts,
             const std::map<std::string, SharedBytes>& aKnownBytes,
             const PartDigests& aKnownDigests)
{
  PartDigests digests;
  for (const auto& [name, bytes] : aParts) {
    const auto known = aKnownBytes.find(name);
    const bool same =
      known != aKnownBytes.end() && (known->second == bytes || *known->second == *bytes);
    digests.emplace(name, same ? aKnownDigests.at(name) : Digest::Compute(*bytes));
  }
  return { .number_ = aNumber, .parts_ = std::move(digests) };
}

} // namespace impl

} // namespace geraniumpin
