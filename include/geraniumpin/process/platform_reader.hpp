#pragma once

#include "geraniumpin/connection/backoff.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/last_contact.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/watcher_rank.hpp"
#include "geraniumpin/version/document_assembly.hpp"
#include "geraniumpin/version/part_split.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace geraniumpin {

/// \brief Reads the platform while this node has the duty, and hands complete versions on.
///
/// The first read lists all items page by page; then a watch brings the changes. A version is named
/// by the revision of the platform at which its items were read.
template<Environment Env>
class PlatformReader
{
public:
  /// Time that a starting node with seeds gives its peers before it reads the platform.
  static constexpr std::chrono::milliseconds kPeersFirst{ 600 };
  /// Spreads the first reads of nodes that start together.
  static constexpr std::chrono::milliseconds kStartJitter{ 300 };
  static constexpr std::chrono::milliseconds kFirstBackoff{ 200 };
  /// Longest pause after failures of a node with the duty; with a read's timeout it stays below the
  /// bound for applying a version once the platform is back.
  static constexpr std::chrono::milliseconds kMostBackoff{ 1000 };
  /// Longest pause after failures of a node that only stands in, so that an outage does not turn
  /// the whole fleet into readers.
  static constexpr std::chrono::milliseconds kMostStandInBackoff{ 60000 };
  /// Least time between two reads; changes that come together cost one read.
  static constexpr std::chrono::milliseconds kLeastGap{ 150 };
  /// Time after which a node without duty looks again whether it has one.
  static constexpr std::chrono::milliseconds kDutyCheck{ 200 };
  /// Time for which one watch waits; short enough to notice a silent connection.
  static constexpr std::chrono::milliseconds kWatchWait{ 3000 };
  /// Longest time that an answer may take beyond that.
  static constexpr std::chrono::milliseconds kReadTimeout{ 700 };
  /// Time without an answer after which published instances may have lapsed although they live.
  static constexpr std::chrono::milliseconds kLapseOutage{ 3000 };
  /// Time that lapsed instances get to come back.
  static constexpr std::chrono::milliseconds kLapseGrace{ 2000 };

  PlatformReader(NodeContext<Env>& aContext, ConfigService<Env>& aConfig)
    : context_(aContext)
    , config_(aConfig)
    , freshness_(aContext.Now())
    , answeredAt_(aContext.Now())
    , backoff_(kFirstBackoff, kMostBackoff)
    , standInBackoff_(kFirstBackoff, kMostStandInBackoff)
  {
    const auto jitter = DrawFraction(context_.Outside().random_) * kStartJitter;
    const auto peersFirst =
      context_.NodeSettings().Seeds().empty() ? Duration{} : Duration(kPeersFirst);
    nextRead_ = context_.Now() + peersFirst + std::chrono::duration_cast<Duration>(jitter);
  }

  void OnItemsRead(const ItemsRead& aRead)
  {
    if (!readEndsAt_) {
      return; // an answer to a read that was given up
    }
    readEndsAt_.reset();
    switch (aRead.result_) {
      case ReadResult::Failed:
        Fail(aRead.detail_);
        return;
      case ReadResult::HistoryGone:
        context_.Measures().Count("platform_history_gone");
        BeginListing();
        nextRead_ = context_.Now();
        return;
      case ReadResult::Complete:
        Succeed(aRead);
        return;
    }
  }

  /// \brief Takes in the age of the platform's news that a peer knows of.
  void OnReportedAge(Duration aAge) { freshness_ = freshness_.AfterReport(aAge, context_.Now()); }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (readEndsAt_ && now >= *readEndsAt_) {
      context_.Outside().source_.CancelRead();
      readEndsAt_.reset();
      Fail("no answer in time");
    }
    if (!lapsed_.empty() && now >= lapseEndsAt_) {
      for (const auto& key : std::exchange(lapsed_, {})) {
        assembly_.Erase(key);
      }
      Publish();
    }
    if (!readEndsAt_ && now >= nextRead_) {
      nextRead_ = now + kDutyCheck;
      if (HasDuty(now)) {
        Read(now);
      }
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const noexcept
  {
    const auto next = readEndsAt_ ? *readEndsAt_ : nextRead_;
    return lapsed_.empty() ? next : std::min(next, lapseEndsAt_);
  }
  [[nodiscard]] Duration PlatformAge() const { return freshness_.Age(context_.Now()); }
  [[nodiscard]] bool IsWatcher() const { return HasDuty(context_.Now()); }
  /// \brief Says whether this process has read a whole configuration from the platform.
  [[nodiscard]] bool HasRead() const noexcept { return hasRead_; }

private:
  void Read(TimePoint aNow)
  {
    context_.Measures().Count("platform_reads");
    if (listing_) {
      readEndsAt_ = aNow + kReadTimeout;
      context_.Outside().source_.ReadItems(listing_->afterKey_);
    } else {
      readEndsAt_ = aNow + kWatchWait + kReadTimeout;
      context_.Outside().source_.WatchItems(revision_, kWatchWait);
    }
  }

  void BeginListing() { listing_ = Listing{}; }

  void Succeed(const ItemsRead& aRead)
  {
    const auto now = context_.Now();
    if (failing_) {
      failing_ = false;
      context_.Write(LogEvent("platform_regained")
                       .With("revision", aRead.revision_)
                       .With("silent_ms", Milliseconds(now - answeredAt_)));
    }
    const bool mayHaveLapsed = now - answeredAt_ >= kLapseOutage;
    if (mayHaveLapsed) {
      lapseEndsAt_ = now + kLapseGrace;
    }
    answeredAt_ = now;
    freshness_ = freshness_.AfterContact(now);
    backoff_ = backoff_.AfterSuccess();
    standInBackoff_ = standInBackoff_.AfterSuccess();
    nextRead_ = now + kLeastGap;
    if (listing_) {
      TakePage(aRead);
    } else {
      TakeChanges(aRead);
    }
  }

  void TakePage(const ItemsRead& aRead)
  {
    auto& listing = *listing_;
    if (!listing.revision_) {
      listing.revision_ = aRead.revision_;
    }
    for (const auto& item : aRead.items_) {
      listing.keys_.insert(item.key_);
      Take(item);
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
    // Later pages may show later changes; the watch repeats everything after the first page.
    revision_ = *listing.revision_;
    listing_.reset();
    Publish();
  }

  void TakeChanges(const ItemsRead& aRead)
  {
    if (aRead.revision_ < revision_) {
      context_.Write(LogEvent("platform_revision_ignored", Severity::Warning)
                       .With("revision", aRead.revision_)
                       .With("known", revision_));
      return;
    }
    revision_ = aRead.revision_;
    for (const auto& item : aRead.items_) {
      Take(item);
    }
    if (!aRead.items_.empty()) {
      Publish();
    }
  }

  void Take(const PublishedItem& aItem)
  {
    if (!aItem.value_) {
      Remove(aItem.key_);
      return;
    }
    lapsed_.erase(aItem.key_);
    auto decoded = context_.Outside().decoder_.Decode(aItem.key_, *aItem.value_);
    if (!decoded) {
      OnMalformed(aItem.key_, decoded.error());
      return;
    }
    if (!*decoded) {
      return;
    }
    if (const auto* list = std::get_if<VmList>(&**decoded)) {
      context_.Members().OnVmList({ .revision_ = ++listRevision_, .vms_ = list->vms_ });
    }
    assembly_.Put(aItem.key_, std::move(**decoded));
  }

  /// A malformed instance is no instance; a malformed document leaves the running version in force,
  /// which may be a newer one than this node has read, until a good one comes.
  void OnMalformed(const std::string& aKey, const Faults& aFaults)
  {
    context_.Measures().Count("platform_malformed_items");
    LogEvent event("platform_item_refused", Severity::Warning);
    event.With("key", aKey);
    if (!aFaults.empty()) {
      event.With("fault", ToString(aFaults.front()));
    }
    context_.Write(event);
    assembly_.Erase(aKey);
  }

  /// Instances that vanished while the platform was away get time to come back.
  void Remove(const std::string& aKey)
  {
    const auto* known = assembly_.Find(aKey);
    const bool isInstance = known != nullptr && std::holds_alternative<PublishedInstance>(*known);
    if (isInstance && context_.Now() < lapseEndsAt_) {
      lapsed_.insert(aKey);
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
    // While instances may come back the items are not exactly those of the revision.
    const auto number = lapsed_.empty() ? revision_ : revision_ - 1;
    const Manifest manifest{ .number_ = number, .parts_ = digests_ };
    const auto& running = context_.Versions().Current();
    if (running && running->Parts().parts_ == manifest.parts_) {
      return;
    }
    config_.OnPlatformVersion({ .from_ = {},
                                .to_ = IdOf(manifest),
                                .changed_ = bytes_,
                                .removed_ = {},
                                .decoded_ = values_ });
  }

  /// Brings the encoded parts up to date; those that did not change are not encoded again.
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
    const auto bytes =
      std::make_shared<const std::string>(context_.Outside().codec_.Encode(aValue));
    values_.insert_or_assign(name, std::make_shared<const PartValue>(aValue));
    digests_.insert_or_assign(name, Digest::Of(*bytes));
    bytes_.insert_or_assign(name, bytes);
  }

  [[nodiscard]] bool HasDuty(TimePoint aNow) const
  {
    return HasWatchDuty(
      { .place_ = context_.PlaceAsReader(), .platformAge_ = freshness_.Age(aNow) });
  }

  void Fail(std::string_view aDetail)
  {
    context_.Measures().Count("platform_read_failures");
    auto& backoff = context_.PlaceAsReader().IsWatcher() ? backoff_ : standInBackoff_;
    nextRead_ = context_.Now() + kLeastGap + backoff.Draw(context_.Outside().random_);
    backoff = backoff.AfterFailure();
    if (!std::exchange(failing_, true)) {
      context_.Write(LogEvent("platform_lost", Severity::Warning)
                       .With("detail", aDetail)
                       .With("revision", revision_)
                       .With("silent_ms", Milliseconds(context_.Now() - answeredAt_)));
    }
  }

  [[nodiscard]] static std::int64_t Milliseconds(Duration aTime) noexcept
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  }

  /// A listing of all items in progress.
  struct Listing
  {
    std::string afterKey_;
    std::optional<std::uint64_t> revision_; ///< of the first page
    std::set<std::string> keys_;
  };

  NodeContext<Env>& context_;
  ConfigService<Env>& config_;
  Freshness freshness_;
  TimePoint answeredAt_;
  Backoff backoff_;
  Backoff standInBackoff_;
  TimePoint nextRead_;
  std::optional<TimePoint> readEndsAt_; ///< set while a read is in flight
  std::optional<Listing> listing_ = Listing{};
  std::uint64_t revision_ = 0;
  std::uint64_t listRevision_ = 0; ///< lists of VMs taken in
  bool failing_ = false;
  bool hasRead_ = false;
  DocumentAssembly assembly_;
  std::set<std::string> lapsed_; ///< instances that the platform dropped and that may come back
  TimePoint lapseEndsAt_;
  std::shared_ptr<const Published> encodedDocument_;
  std::set<std::string> splitParts_; ///< names of the parts with routes and keys
  DecodedParts values_;              ///< what was encoded last, by part
  std::map<std::string, SharedBytes> bytes_;
  PartDigests digests_;
};

} // namespace geraniumpin
