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
  return std::string(kInForcePrefix) + "instance " + aId;
}

/// Returns true if the first state of an instance follows the second one. An instance that drains
/// does not accept requests again before its next start.
bool
IsLater(const BackendServer& aFirst, const BackendServer& aSecond)
{
  return aFirst.startedAt_ > aSecond.startedAt_ ||
         (aFirst.startedAt_ == aSecond.startedAt_ && aFirst.state_ == InstanceState::Draining &&
          aSecond.state_ == InstanceState::Ready);
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
  for (auto& instance : ReadInstances(*running_)) {
    unlisted_.emplace(instance.backendServer_.name_, instance);
  }
  for (const auto& key : assembly_.Keys()) {
    const auto* known = std::get_if<PublishedInstance>(assembly_.Find(key));
    if (known == nullptr) {
      continue;
    }
    // The version of a peer can be later than the items that this node has read.
    const auto inForce = unlisted_.extract(known->backendServer_.name_);
    if (inForce.empty()) {
      Erase(key);
    } else if (IsLater(inForce.mapped().backendServer_, known->backendServer_)) {
      Erase(key);
      assembly_.Put(key, inForce.mapped());
    }
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
  if (instance != nullptr) {
    Erase(MakeInForceKey(instance->backendServer_.name_));
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
  const auto& id = aListed.backendServer_.name_;
  const auto* inForce = FindInForce(aKey, id);
  const auto grace = GraceOfCopied(aKey, inForce, aListed.backendServer_);
  if (grace == Duration{}) {
    Apply(aKey, aListed, aNow);
  } else {
    if (inForce != nullptr) {
      assembly_.Put(aKey, PublishedInstance(*inForce));
    }
    Hold(aKey, aNow + grace, aListed);
  }
  unlisted_.erase(id);
}

Duration
PlatformItems::GraceOfCopied(const std::string& aKey,
                             const PublishedInstance* aInForce,
                             const BackendServer& aListed) const
{
  if (aInForce != nullptr) {
    return IsLater(aInForce->backendServer_, aListed) ? Duration(kOutdatedGrace) : Duration{};
  }
  const auto removal = removals_.find(aKey);
  if (removal != removals_.end() && aListed.startedAt_ <= removal->second.startedAt_) {
    return kOutdatedGrace;
  }
  return kMissingGrace; // it has left, or the running version does not have it yet
}

const PublishedInstance*
PlatformItems::FindInForce(const std::string& aKey, const std::string& aId) const
{
  if (const auto* known = assembly_.Find(aKey)) {
    return std::get_if<PublishedInstance>(known);
  }
  const auto found = unlisted_.find(aId);
  return found == unlisted_.end() ? nullptr : &found->second;
}

void
PlatformItems::Remove(const std::string& aKey, TimePoint aNow)
{
  const auto* known = assembly_.Find(aKey);
  const bool isInstance = known != nullptr && std::holds_alternative<PublishedInstance>(*known);
  if (isInstance && aNow < expiryGraceEndsAt_) {
    Hold(aKey, expiryGraceEndsAt_, std::nullopt);
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
    const auto* item = assembly_.Find(key);
    if (aOrigin != ItemOrigin::Copy) {
      Remove(key, aNow);
    } else if (std::holds_alternative<PublishedInstance>(*item)) {
      Hold(key, aNow + kMissingGrace, std::nullopt);
    } else if (std::holds_alternative<DomainOutOfService>(*item)) {
      Hold(key, aNow + kOutOfServiceGrace, std::nullopt);
    } else {
      Hold(key, kNoEnd, std::nullopt);
    }
  }
  // Items that were never in force and that the platform no longer has.
  std::erase_if(held_, [&](const auto& aEntry) {
    return !aKeys.contains(aEntry.first) && assembly_.Find(aEntry.first) == nullptr;
  });
  if (aOrigin == ItemOrigin::Copy && running_) {
    KeepDocumentInForce();
    KeepInstancesInForce(aNow);
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
  const auto place = FindInstancePlace();
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
  if (FindInstancePlace() == InstancePlace::Document) {
    return;
  }
  for (auto& [id, instance] : unlisted_) {
    const auto key = MakeInForceKey(id);
    assembly_.Put(key, instance);
    Hold(key, aNow + kMissingGrace, std::nullopt);
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
    std::erase_if(removals_, [&](const auto& aEntry) {
      return aEntry.second.removedAt_ + kRemovalRecord < aNow;
    });
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
  held_.emplace(aKey, Held{ aUntil, std::move(aListed) });
}

std::uint64_t
PlatformItems::DocumentNumber() const
{
  return assembly_.HasDocument() ? NumberOf(*assembly_.Document()) : 0;
}

InstancePlace
PlatformItems::FindInstancePlace() const
{
  if (assembly_.HasDocument()) {
    const auto& services = std::get<PublishedDocument>(*assembly_.Document()).services_;
    const bool hasInstances =
      std::any_of(services.begin(), services.end(), [](const auto& aService) {
        return !aService.backendServers_.empty();
      });
    return hasInstances ? InstancePlace::Document : InstancePlace::Items;
  }
  const auto keys = assembly_.Keys();
  const bool hasItems = std::any_of(keys.begin(), keys.end(), [&](const auto& aKey) {
    return std::holds_alternative<PublishedInstance>(*assembly_.Find(aKey));
  });
  return hasItems ? InstancePlace::Items : InstancePlace::Document;
}

} // namespace geraniumpin
