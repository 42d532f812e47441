#pragma once

#include "geraniumpin/connection/backoff.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/last_contact.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/reader_timing.hpp"
#include "geraniumpin/process/watcher_rank.hpp"
#include "geraniumpin/version/document_assembly.hpp"
#include "geraniumpin/version/part_split.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Reads the platform while this node should watch it, and publishes complete versions.
///
/// The first reads list all items page by page; after them a watch returns the changes. The number
/// of a version is the revision of the platform at which its items were read.
template<NodePortSet PortSet>
class PlatformReader
{
public:
  /// Delay of the first read of a node with seeds, in which its peers can deliver a version.
  static constexpr std::chrono::milliseconds kSeededStartDelay{ 600 };
  /// Range of the random delay that spreads the first reads of nodes that start together.
  static constexpr std::chrono::milliseconds kStartJitter{ 300 };
  static constexpr std::chrono::milliseconds kFirstBackoff{ 200 };
  /// Longest pause after failures of a backup watcher, so that during an outage not all nodes read
  /// the platform.
  static constexpr std::chrono::milliseconds kMaxBackupBackoff{ 60000 };
  /// Period in which a node that does not watch checks whether it should.
  static constexpr std::chrono::milliseconds kWatchCheckPeriod{ 200 };
  /// Time without an answer after which published instances may have expired although they run.
  static constexpr std::chrono::milliseconds kExpiryOutage{ 3000 };
  /// Grace period in which expired instances can be published again.
  static constexpr std::chrono::milliseconds kExpiryGrace{ 2000 };

  /// Maximum number of items of a listing: over twice the instances of the target size.
  static constexpr std::size_t kMaxListedItems = 50'000;
  /// Maximum number of bytes in the keys and values of a listing.
  static constexpr std::size_t kMaxListedBytes = 64U << 20U;

  PlatformReader(NodeContext<PortSet>& aContext, ConfigService<PortSet>& aConfig)
    : context_(aContext)
    , config_(aConfig)
    , lastContact_(aContext.Now())
    , timing_(ReaderTiming::Make(aContext.NodeSettings().ApplyBound(),
                                 aContext.NodeSettings().ContactBound()))
    , lastAnswerAt_(aContext.Now())
    , backoff_(kFirstBackoff, timing_.maxBackoff_)
    , backupBackoff_(kFirstBackoff, kMaxBackupBackoff)
  {
    const auto jitter = DrawFraction(context_.Ports().random_) * kStartJitter;
    const auto startDelay =
      context_.NodeSettings().Seeds().empty() ? Duration{} : Duration(kSeededStartDelay);
    nextRead_ = context_.Now() + startDelay + std::chrono::duration_cast<Duration>(jitter);
  }

  void OnItemsRead(const ItemsRead& aRead)
  {
    if (!readDeadline_) {
      return; // the answer to a cancelled read
    }
    readDeadline_.reset();
    switch (aRead.result_) {
      case ReadResult::Failed:
        OnReadFailed(aRead.detail_);
        return;
      case ReadResult::HistoryGone:
        context_.GetMetrics().Count("platform_history_gone");
        context_.Write(DescribeRead("platform_history_gone", aRead, revision_));
        BeginListing();
        nextRead_ = context_.Now();
        return;
      case ReadResult::Complete:
        OnReadSucceeded(aRead);
        return;
    }
  }

  /// \brief Applies the age of the last contact with the platform that a peer reported.
  void OnReportedAge(Duration aAge)
  {
    longestGap_ = std::max(longestGap_, lastContact_.Age(context_.Now()));
    lastContact_ = lastContact_.AfterReportedAge(aAge, context_.Now());
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (readDeadline_ && now >= *readDeadline_) {
      context_.Ports().source_.CancelRead();
      readDeadline_.reset();
      OnReadFailed("no answer in time");
    }
    if (!expiredKeys_.empty() && now >= graceEndsAt_) {
      for (const auto& key : std::exchange(expiredKeys_, {})) {
        assembly_.Erase(key);
      }
      Publish();
    }
    if (!readDeadline_ && now >= nextRead_) {
      nextRead_ = now + kWatchCheckPeriod;
      if (ShouldWatch(now)) {
        Read(now);
      }
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const noexcept
  {
    const auto next = readDeadline_ ? *readDeadline_ : nextRead_;
    return expiredKeys_.empty() ? next : std::min(next, graceEndsAt_);
  }
  [[nodiscard]] Duration PlatformAge() const { return lastContact_.Age(context_.Now()); }
  [[nodiscard]] ReadState GetReadState() const
  {
    return { .platformAge_ = PlatformAge(),
             .ownAge_ = context_.Now() - lastAnswerAt_,
             .failing_ = failing_ };
  }
  [[nodiscard]] bool IsWatcher() const { return ShouldWatch(context_.Now()); }
  /// \brief Returns true if this process has read a complete configuration from the platform.
  [[nodiscard]] bool HasRead() const noexcept { return hasRead_; }

private:
  void Read(TimePoint aNow)
  {
    context_.GetMetrics().Count("platform_reads");
    readSentAt_ = aNow;
    if (!failing_) {
      longestGap_ = {};
    }
    if (listing_) {
      readDeadline_ = aNow + ReaderTiming::kReadTimeout;
      context_.Ports().source_.ReadItems(listing_->afterKey_);
    } else {
      // A watch that the platform did not receive would hide its return for as long as it waits.
      const auto wait = failing_ ? Duration{} : timing_.watchWait_;
      readDeadline_ = aNow + (failing_ ? ReaderTiming::kRetryReadTimeout
                                       : timing_.watchWait_ + ReaderTiming::kReadTimeout);
      context_.Ports().source_.WatchItems(revision_, wait);
    }
  }

  void BeginListing() { listing_ = Listing{}; }

  void OnReadSucceeded(const ItemsRead& aRead)
  {
    const auto now = context_.Now();
    if (failing_) {
      context_.Write(LogEvent("platform_regained")
                       .With("revision", aRead.revision_)
                       .With("silent_ms", Milliseconds(now - lastAnswerAt_)));
    }
    if (MayFollowOutage(now)) {
      graceEndsAt_ = now + kExpiryGrace;
    }
    failing_ = false;
    lastAnswerAt_ = now;
    lastContact_ = lastContact_.AfterContact(now);
    nextRead_ = now + timing_.readInterval_;
    if (listing_) {
      ApplyPage(aRead);
    } else {
      ApplyChanges(aRead);
    }
    if (!listing_) { // a page of a listing that may fail is no success yet
      backoff_ = backoff_.AfterSuccess();
      backupBackoff_ = backupBackoff_.AfterSuccess();
    }
  }

  /// Returns true if a successful read may follow an outage of the platform: for that time no node
  /// is known to have had an answer. A node that did not read, or whose own answer was lost, learns
  /// of the answers to others.
  [[nodiscard]] bool MayFollowOutage(TimePoint aNow) const
  {
    // Without a failure, the time in which a watch waits for changes is no silence.
    return failing_ ? std::max(longestGap_, lastContact_.Age(aNow)) >= kExpiryOutage
                    : lastContact_.Age(readSentAt_) >= kExpiryOutage + timing_.watchWait_;
  }

  void ApplyPage(const ItemsRead& aRead)
  {
    auto& listing = *listing_;
    if (!listing.revision_) {
      listing.revision_ = aRead.revision_;
    }
    const bool isRepeated =
      aRead.hasMore_ && !aRead.items_.empty() && listing.keys_.contains(aRead.items_.back().key_);
    for (const auto& item : aRead.items_) {
      listing.bytes_ += item.key_.size() + (item.value_ ? item.value_->size() : 0);
      if (listing.keys_.insert(item.key_).second && assembly_.Find(item.key_) == nullptr) {
        listing.addedKeys_.push_back(item.key_);
      }
      ApplyItem(item);
    }
    if (isRepeated || listing.keys_.size() > kMaxListedItems || listing.bytes_ > kMaxListedBytes) {
      AbandonListing();
      return;
    }
    if (aRead.hasMore_ && !aRead.items_.empty()) {
      listing.afterKey_ = aRead.items_.back().key_;
      nextRead_ = context_.Now();
      return;
    }
    for (const auto& key : assembly_.Keys()) {
      if (!listing.keys_.contains(key)) {
        Remove(key);
      }
    }
    // Later pages may contain later changes; the watch repeats all changes after the first page.
    const auto previous = std::exchange(revision_, *listing.revision_);
    listing_.reset();
    context_.GetMetrics().Count("platform_listings");
    context_.Write(DescribeRead("platform_listed", aRead, previous));
    Publish();
    TrackLag();
  }

  /// Describes what a read changed, in the terms that tell apart a store that went back, one
  /// revision with two contents, and a change that was missed.
  [[nodiscard]] LogEvent DescribeRead(std::string_view aEvent,
                                      const ItemsRead& aRead,
                                      std::uint64_t aPrevious) const
  {
    LogEvent event(aEvent);
    event.With("revision", aRead.revision_)
      .With("previous", aPrevious)
      .With("era", aRead.era_ ? std::to_string(*aRead.era_) : "none")
      .With("items", aRead.items_.size())
      .With("version", context_.Versions().CurrentId().number_.revision_);
    return event;
  }

  /// Logs when the revision of the platform falls below the version in force, and when it no longer
  /// is: between the two, no change takes effect.
  void TrackLag()
  {
    const bool isBehind = revision_ < context_.Versions().CurrentId().number_.revision_;
    if (isBehind == behindSince_.has_value()) {
      return;
    }
    if (isBehind) {
      behindSince_ = context_.Now();
      context_.GetMetrics().Count("platform_behind");
      context_.Write(LogEvent("platform_behind", Severity::Warning)
                       .With("revision", revision_)
                       .With("version", context_.Versions().CurrentId().number_.revision_));
      return;
    }
    const auto lasted = context_.Now() - *std::exchange(behindSince_, std::nullopt);
    context_.GetMetrics().Record("platform_behind_ms", lasted);
    context_.Write(LogEvent("platform_caught_up")
                     .With("revision", revision_)
                     .With("version", context_.Versions().CurrentId().number_.revision_)
                     .With("behind_ms", Milliseconds(lasted)));
  }

  /// Ends a listing that has no end, without the items that only it has added.
  void AbandonListing()
  {
    for (const auto& key : listing_->addedKeys_) {
      assembly_.Erase(key);
    }
    BeginListing();
    OnReadFailed("listing without end");
  }

  void ApplyChanges(const ItemsRead& aRead)
  {
    if (aRead.revision_ < revision_) {
      context_.Write(LogEvent("platform_revision_ignored", Severity::Warning)
                       .With("revision", aRead.revision_)
                       .With("known", revision_));
      return;
    }
    const auto previous = std::exchange(revision_, aRead.revision_);
    for (const auto& item : aRead.items_) {
      ApplyItem(item);
    }
    if (!aRead.items_.empty()) {
      context_.Write(DescribeRead("platform_changed", aRead, previous));
      Publish();
    }
    TrackLag();
  }

  void ApplyItem(const PublishedItem& aItem)
  {
    if (!aItem.value_) {
      Remove(aItem.key_);
      return;
    }
    expiredKeys_.erase(aItem.key_);
    auto decoded = context_.Ports().decoder_.Decode(aItem.key_, *aItem.value_);
    if (!decoded) {
      OnMalformed(aItem.key_, decoded.error());
      return;
    }
    if (!*decoded) {
      return;
    }
    if (const auto* list = std::get_if<VmList>(&**decoded)) {
      context_.GetMembership().OnVmList({ .revision_ = ++vmListRevision_, .vms_ = list->vms_ });
    }
    assembly_.Put(aItem.key_, std::move(**decoded));
  }

  /// A malformed item is treated as absent. While the document is malformed the running version,
  /// which may be newer than any that this node has read, stays in force.
  void OnMalformed(const std::string& aKey, const Faults& aFaults)
  {
    context_.GetMetrics().Count("platform_malformed_items");
    LogEvent event("platform_item_refused", Severity::Warning);
    event.With("key", aKey);
    if (!aFaults.empty()) {
      event.With("fault", ToString(aFaults.front()));
    }
    context_.Write(event);
    assembly_.Erase(aKey);
  }

  /// Instances that were removed during an outage of the platform stay until the grace period ends.
  void Remove(const std::string& aKey)
  {
    const auto* known = assembly_.Find(aKey);
    const bool isInstance = known != nullptr && std::holds_alternative<PublishedInstance>(*known);
    if (isInstance && context_.Now() < graceEndsAt_) {
      expiredKeys_.insert(aKey);
      return;
    }
    assembly_.Erase(aKey);
  }

  void Publish()
  {
    if (!assembly_.HasDocument() || revision_ == 0) {
      return;
    }
    hasRead_ = true;
    EncodeParts();
    // In the grace period the items are not exactly those of the revision: they come after the
    // revision before and before this one.
    const auto& document = std::get<PublishedDocument>(*assembly_.Document());
    const bool isExact = expiredKeys_.empty();
    const Manifest manifest{ .number_ = { .document_ = document.failureDomains_.documentNumber_,
                                          .revision_ = isExact ? revision_ : revision_ - 1,
                                          .interim_ = !isExact },
                             .parts_ = digests_ };
    const auto& running = context_.Versions().Current();
    if (running && running->GetManifest().parts_ == manifest.parts_) {
      return;
    }
    config_.OnPlatformVersion({ .from_ = {},
                                .to_ = MakeVersionId(manifest),
                                .changed_ = bytes_,
                                .removed_ = {},
                                .decoded_ = values_ });
  }

  /// Updates the encoded parts; those that did not change are not encoded again.
  void EncodeParts()
  {
    const auto& item = assembly_.Document();
    const auto& document = std::get<PublishedDocument>(*item);
    if (item != encodedDocument_) {
      encodedDocument_ = item;
      SetPart(part_name::kTeams, document.teams_);
      splitParts_.clear();
      for (const auto& [name, routes] : SplitRoutes(document.routes_)) {
        SetPart(name, routes);
        splitParts_.insert(name);
      }
      for (const auto& [name, keys] : SplitKeys(document.keys_)) {
        SetPart(name, keys);
        splitParts_.insert(name);
      }
    }
    auto names = splitParts_;
    names.insert({ std::string(part_name::kTeams), std::string(part_name::kFailureDomains) });
    SetPart(part_name::kFailureDomains, assembly_.FailureDomains());
    for (const auto& service : assembly_.Services()) {
      const auto name = std::string(part_name::kServicePrefix) + service.name_;
      SetPart(name, service);
      names.insert(name);
    }
    std::erase_if(bytes_, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
    std::erase_if(values_, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
    std::erase_if(digests_, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
  }

  void SetPart(std::string_view aName, const PartValue& aValue)
  {
    const std::string name(aName);
    const auto known = values_.find(name);
    if (known != values_.end() && *known->second == aValue) {
      return;
    }
    const auto bytes = std::make_shared<const std::string>(context_.Ports().codec_.Encode(aValue));
    values_.insert_or_assign(name, std::make_shared<const PartValue>(aValue));
    digests_.insert_or_assign(name, Digest::Compute(*bytes));
    bytes_.insert_or_assign(name, bytes);
  }

  [[nodiscard]] bool ShouldWatch(TimePoint aNow) const
  {
    return ShouldWatchPlatform(
      { .watcherRank_ = context_.ComputeWatcherRank(), .platformAge_ = lastContact_.Age(aNow) });
  }

  void OnReadFailed(std::string_view aDetail)
  {
    context_.GetMetrics().Count("platform_read_failures");
    auto& backoff = context_.ComputeWatcherRank().IsWatcher() ? backoff_ : backupBackoff_;
    // The time in which a read had no answer is part of the pause.
    nextRead_ = std::max(context_.Now(), readSentAt_ + backoff.Draw(context_.Ports().random_)) +
                timing_.readInterval_;
    backoff = backoff.AfterFailure();
    if (!std::exchange(failing_, true)) {
      context_.Write(LogEvent("platform_lost", Severity::Warning)
                       .With("detail", aDetail)
                       .With("revision", revision_)
                       .With("silent_ms", Milliseconds(context_.Now() - lastAnswerAt_)));
    }
  }

  /// Progress of a listing of all items.
  struct Listing
  {
    std::string afterKey_;
    std::optional<std::uint64_t> revision_; ///< of the first page
    std::set<std::string> keys_;
    std::vector<std::string> addedKeys_; ///< of items that were unknown before
    std::size_t bytes_ = 0;
  };

  NodeContext<PortSet>& context_;
  ConfigService<PortSet>& config_;
  LastContact lastContact_;
  ReaderTiming timing_;
  TimePoint lastAnswerAt_;
  Backoff backoff_;
  Backoff backupBackoff_;
  TimePoint nextRead_;
  std::optional<TimePoint> readDeadline_; ///< set while a read is in flight
  TimePoint readSentAt_;                  ///< of the last read
  std::optional<Listing> listing_ = Listing{};
  std::uint64_t revision_ = 0;
  std::uint64_t vmListRevision_ = 0;     ///< number of lists of VMs that were applied
  std::optional<TimePoint> behindSince_; ///< set while revision_ is below the version in force
  bool failing_ = false;                 ///< the last read failed
  Duration longestGap_{}; ///< between answers to any node, since a read did not follow a failure
  bool hasRead_ = false;
  DocumentAssembly assembly_;
  std::set<std::string> expiredKeys_; ///< removed instances whose grace period runs
  TimePoint graceEndsAt_;
  std::shared_ptr<const DecodedItem> encodedDocument_;
  std::set<std::string> splitParts_; ///< names of the parts with routes and keys
  DecodedParts values_;              ///< values of the encoded parts
  std::map<std::string, SharedBytes> bytes_;
  PartDigests digests_;
};

} // namespace geraniumpin
