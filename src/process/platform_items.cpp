#include "geraniumpin/process/platform_items.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace geraniumpin {

namespace {

/// Prefix of the keys of items that come from the running version and not from the platform. A
/// space is in no key of a platform.
constexpr std::string_view kInForcePrefix = "in force ";
constexpr std::string_view kDocumentInForce = "in force document";

std::string
MakeInForceKey(const std::string& aId)
{
  return std::string(kInForcePrefix) + aId;
}

std::uint64_t
NumberOf(const DecodedItem& aDocument)
{
  return std::get<PublishedDocument>(aDocument).failureDomains_.documentNumber_;
}

} // namespace

void
PlatformItems::BeginCopy(SharedSnapshot aRunning)
{
  running_ = std::move(aRunning);
  unlisted_.clear();
  if (!running_) {
    return;
  }
  std::map<std::string, PublishedInstance> known;
  for (const auto& key : assembly_.Keys()) {
    const auto* item = assembly_.Find(key);
    const auto* instance = std::get_if<PublishedInstance>(item);
    if (instance != nullptr) {
      known.emplace(instance->backendServer_.name_, *instance);
    }
    if (instance != nullptr || std::holds_alternative<DomainOutOfService>(*item)) {
      Erase(key);
    }
  }
  // The running version decides which instances are in force; this node can know a later state of
  // one.
  for (const auto& instance : ReadInstances(*running_)) {
    const auto& id = instance.backendServer_.name_;
    const auto found = known.find(id);
    const bool isLater =
      found != known.end() && IsLater(found->second.backendServer_, instance.backendServer_);
    unlisted_.emplace(id, isLater ? found->second : instance);
  }
}

void
PlatformItems::Put(const std::string& aKey, DecodedItem aItem, ItemOrigin aOrigin, TimePoint aNow)
{
  if (std::holds_alternative<PublishedDocument>(aItem)) {
    PutDocument(aKey, std::move(aItem));
    return;
  }
  const auto* instance = std::get_if<PublishedInstance>(&aItem);
  if (instance != nullptr && aOrigin == ItemOrigin::Copy && running_) {
    PutCopiedInstance(aKey, *instance, aNow);
    return;
  }
  const auto held = held_.find(aKey);
  if (aOrigin == ItemOrigin::Listing && held != held_.end() && held->second.listed_ == aItem) {
    return; // not written again
  }
  if (instance != nullptr && aOrigin == ItemOrigin::Listing && IsUndoneBy(aKey, *instance)) {
    HoldInstance(aKey, nullptr, *instance, aNow + kOutdatedGrace);
    return;
  }
  if (instance != nullptr) {
    Erase(MakeInForceKey(instance->backendServer_.name_));
  } else if (const auto* domain = std::get_if<DomainOutOfService>(&aItem)) {
    Erase(MakeInForceKey(domain->name_));
  }
  Apply(aKey, std::move(aItem), aNow);
}

void
PlatformItems::PutDocument(const std::string& aKey, DecodedItem aItem)
{
  if (NumberOf(aItem) < DocumentNumber()) {
    Hold(aKey, kNoEnd, std::move(aItem));
    return;
  }
  held_.erase(aKey);
  assembly_.Erase(std::string(kDocumentInForce));
  assembly_.Put(aKey, std::move(aItem));
}

void
PlatformItems::PutCopiedInstance(const std::string& aKey,
                                 const PublishedInstance& aListed,
                                 TimePoint aNow)
{
  const auto found = unlisted_.find(aListed.backendServer_.name_);
  if (found == unlisted_.end()) {
    HoldInstance(aKey, nullptr, aListed, aNow + GraceOfUnknown(aKey, aListed.backendServer_));
    return;
  }
  if (IsLater(found->second.backendServer_, aListed.backendServer_)) {
    HoldInstance(aKey, &found->second, aListed, aNow + kOutdatedGrace);
  } else {
    Apply(aKey, aListed, aNow);
  }
  unlisted_.erase(found);
}

void
PlatformItems::HoldInstance(const std::string& aKey,
                            const PublishedInstance* aInForce,
                            const PublishedInstance& aListed,
                            TimePoint aUntil)
{
  if (aInForce != nullptr) {
    assembly_.Put(aKey, *aInForce);
  }
  Hold(aKey, aUntil, aListed);
}

bool
PlatformItems::IsUndoneBy(const std::string& aKey, const PublishedInstance& aListed) const
{
  const auto* known = assembly_.Find(aKey);
  const auto* instance = known == nullptr ? nullptr : std::get_if<PublishedInstance>(known);
  return instance != nullptr && IsLater(instance->backendServer_, aListed.backendServer_);
}

Duration
PlatformItems::GraceOfUnknown(const std::string& aKey, const BackendServer& aListed) const
{
  const auto removal = removals_.find(aKey);
  const bool hasLeft =
    removal != removals_.end() && aListed.startedAt_ <= removal->second.startedAt_;
  return hasLeft ? kOutdatedGrace : kMissingGrace; // it can also be newer than the running version
}

void
PlatformItems::Remove(const std::string& aKey, TimePoint aNow)
{
  const auto* known = assembly_.Find(aKey);
  const auto* instance = known == nullptr ? nullptr : std::get_if<PublishedInstance>(known);
  if (instance != nullptr && aNow < expiryGraceEndsAt_) {
    held_.erase(aKey);
    held_.emplace(aKey, Held{ expiryGraceEndsAt_, false, std::nullopt });
    return;
  }
  Apply(aKey, std::nullopt, aNow);
}

void
PlatformItems::Erase(const std::string& aKey)
{
  held_.erase(aKey);
  assembly_.Erase(aKey);
}

void
PlatformItems::EndListing(const std::set<std::string>& aKeys, ItemOrigin aOrigin, TimePoint aNow)
{
  for (const auto& key : assembly_.Keys()) {
    if (aKeys.contains(key) || key.starts_with(kInForcePrefix)) {
      continue;
    }
    const auto held = held_.find(key);
    if (held != held_.end() && !held->second.listed_) {
      continue; // missing since an earlier listing
    }
    if (aOrigin != ItemOrigin::Copy) {
      Remove(key, aNow);
    } else {
      Hold(key, kNoEnd, std::nullopt); // a document, or a list of VMs
    }
  }
  // Items that were never in force and that the platform no longer has.
  std::erase_if(held_, [&](const auto& aEntry) {
    return !aKeys.contains(aEntry.first) && assembly_.Find(aEntry.first) == nullptr;
  });
  if (aOrigin == ItemOrigin::Copy) {
    copyGraceEndsAt_ = aNow + kOutdatedGrace;
  }
  if (aOrigin == ItemOrigin::Copy && running_) {
    KeepDocumentInForce();
    KeepInstancesInForce(aNow);
    KeepDomainsOutOfService(aNow);
  }
  running_.reset();
  unlisted_.clear();
}

/// Puts the document of the running version in place of an older one of the copy.
void
PlatformItems::KeepDocumentInForce()
{
  if (running_->DocumentNumber() <= DocumentNumber()) {
    return;
  }
  const auto place = FindInstancePlace(assembly_);
  for (const auto& key : assembly_.Keys()) {
    const auto* item = assembly_.Find(key);
    if (std::holds_alternative<PublishedDocument>(*item)) {
      Hold(key, kNoEnd, *item);
      assembly_.Erase(key);
    }
  }
  assembly_.Put(std::string(kDocumentInForce), ReadDocument(*running_, place));
}

/// Holds the instances of the running version that the copy lacks.
void
PlatformItems::KeepInstancesInForce(TimePoint aNow)
{
  if (FindInstancePlace(assembly_) == InstancePlace::Document) {
    return;
  }
  for (auto& [id, instance] : unlisted_) {
    const auto key = MakeInForceKey(id);
    assembly_.Put(key, instance);
    Hold(key, aNow + kMissingGrace, std::nullopt);
  }
}

/// Holds the failure domains that are out of service in the running version and not in the copy.
void
PlatformItems::KeepDomainsOutOfService(TimePoint aNow)
{
  if (FindInstancePlace(assembly_) == InstancePlace::Document) {
    return;
  }
  for (const auto& domain : assembly_.FailureDomains().failureDomains_) {
    const auto* running = running_->FindFailureDomain(domain.name_);
    if (domain.inService_ && running != nullptr && !running->inService_) {
      const auto key = MakeInForceKey(domain.name_);
      assembly_.Put(key, DomainOutOfService{ domain.name_ });
      Hold(key, aNow + kOutOfServiceGrace, std::nullopt);
    }
  }
}

void
PlatformItems::KeepLaterInstances(const Snapshot& aRunning, TimePoint aNow)
{
  if (aNow >= copyGraceEndsAt_) {
    return;
  }
  std::map<std::string, PublishedInstance> running;
  for (auto& instance : ReadInstances(aRunning)) {
    running.emplace(instance.backendServer_.name_, std::move(instance));
  }
  for (const auto& key : assembly_.Keys()) {
    const auto* known = std::get_if<PublishedInstance>(assembly_.Find(key));
    const auto found = known == nullptr ? running.end() : running.find(known->backendServer_.name_);
    if (found == running.end() || !IsLater(found->second.backendServer_, known->backendServer_)) {
      continue;
    }
    const auto held = held_.find(key);
    auto listed = held == held_.end() ? std::optional<DecodedItem>(*known) : held->second.listed_;
    assembly_.Put(key, found->second);
    Hold(key, copyGraceEndsAt_, std::move(listed));
  }
}

void
PlatformItems::Apply(const std::string& aKey, std::optional<DecodedItem> aItem, TimePoint aNow)
{
  held_.erase(aKey);
  if (aItem) {
    removals_.erase(aKey);
    assembly_.Put(aKey, std::move(*aItem));
    return;
  }
  const auto* known = assembly_.Find(aKey);
  const auto* instance = known == nullptr ? nullptr : std::get_if<PublishedInstance>(known);
  if (instance != nullptr) {
    if (removals_.size() >= kMaxRemovals) {
      std::erase_if(removals_, [&](const auto& aEntry) {
        return aEntry.second.removedAt_ + kRemovalRecord < aNow;
      });
    }
    if (removals_.size() < kMaxRemovals) {
      removals_.insert_or_assign(aKey, Removal{ instance->backendServer_.startedAt_, aNow });
    }
  }
  assembly_.Erase(aKey);
}

bool
PlatformItems::ReleaseDue(TimePoint aNow)
{
  std::vector<std::string> due;
  for (const auto& [key, held] : held_) {
    if (held.until_ <= aNow) {
      due.push_back(key);
    }
  }
  for (const auto& key : due) {
    const auto listed = held_.at(key).listed_;
    Apply(key, listed, aNow);
  }
  return !due.empty();
}

std::optional<TimePoint>
PlatformItems::NextDeadline() const
{
  std::optional<TimePoint> next;
  for (const auto& [key, held] : held_) {
    if (held.until_ != kNoEnd) {
      next = std::min(next.value_or(held.until_), held.until_);
    }
  }
  return next;
}

void
PlatformItems::Hold(const std::string& aKey, TimePoint aUntil, std::optional<DecodedItem> aListed)
{
  held_.erase(aKey);
  held_.emplace(aKey, Held{ aUntil, true, std::move(aListed) });
}

bool
PlatformItems::HoldsAgainstCopy() const
{
  return std::any_of(
    held_.begin(), held_.end(), [](const auto& aEntry) { return aEntry.second.isAgainstCopy_; });
}

std::uint64_t
PlatformItems::DocumentNumber() const
{
  return assembly_.HasDocument() ? NumberOf(*assembly_.Document()) : 0;
}

} // namespace geraniumpin
