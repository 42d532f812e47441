#pragma once

#include "geraniumpin/connection/backoff.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/listing.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/platform_contact.hpp"
#include "geraniumpin/process/platform_content.hpp"
#include "geraniumpin/process/read_log.hpp"
#include "geraniumpin/process/reader_timing.hpp"
#include "geraniumpin/process/store_era.hpp"
#include "geraniumpin/process/watcher_rank.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace geraniumpin {

/// \brief Reads the platform while this node should watch it, and publishes complete versions.
///
/// The first reads list all items page by page; after them a watch returns the changes. The number
/// of a version is the era and the revision of the platform at which its items were read. A
/// platform that came back from an older copy is listed anew; PlatformItems decides what stays in
/// force.
template<NodePortSet PortSet>
class PlatformReader
{
public:
  /// Delay of the first read of a node with seeds, in which its peers can deliver a version.
  static constexpr std::chrono::milliseconds kSeededStartDelay{ 600 };
  /// Range of the random delay that spreads the first reads of nodes that start together.
  static constexpr auto kStartJitter = ReaderTiming::kStartJitter;
  static constexpr std::chrono::milliseconds kFirstBackoff{ 200 };
  /// Longest pause after failures of a backup watcher, so that during an outage not all nodes read
  /// the platform.
  static constexpr std::chrono::milliseconds kMaxBackupBackoff{ 60000 };
  /// Period in which a node that does not watch checks whether it should.
  static constexpr std::chrono::milliseconds kWatchCheckPeriod{ 200 };
  /// Grace period in which expired instances can be published again.
  static constexpr auto kExpiryGrace = PlatformItems::kMissingGrace;

  PlatformReader(NodeContext<PortSet>& aContext, ConfigService<PortSet>& aConfig)
    : context_(aContext)
    , log_(aContext)
    , content_(aContext, aConfig)
    , contact_(aContext.Now())
    , timing_(ReaderTiming::Make(aContext.NodeSettings().ApplyBound(),
                                 aContext.NodeSettings().ContactBound()))
    , backoff_(kFirstBackoff, timing_.maxBackoff_)
    , backupBackoff_(kFirstBackoff, kMaxBackupBackoff)
  {
    const auto startDelay =
      context_.NodeSettings().Seeds().empty() ? Duration{} : Duration(kSeededStartDelay);
    nextRead_ = context_.Now() + startDelay + DrawStartJitter();
  }

  void OnItemsRead(const ItemsRead& aRead)
  {
    if (!readDeadline_) {
      return; // the answer to a cancelled read
    }
    readDeadline_.reset();
    if (aRead.result_ == ReadResult::Failed) {
      OnReadFailed(aRead.detail_);
      return;
    }
    const bool isFirstPage = listing_ && !listing_->HasPages();
    const auto history = era_.OnAnswer(aRead, lowestRevision_, isFirstPage);
    if (history == StoreHistory::Outdated) {
      context_.GetMetrics().Count("platform_outdated_answers");
      OnReadFailed("answer of an earlier era");
      return;
    }
    if (history == StoreHistory::Restored && revision_ != 0) {
      log_.Write("platform_restored", aRead, revision_);
    }
    if (aRead.result_ == ReadResult::HistoryGone && listing_) {
      OnReadFailed("no history in a listing");
      return;
    }
    if (aRead.result_ == ReadResult::HistoryGone) {
      log_.Write("platform_history_gone", aRead, revision_);
      BeginListing(history == StoreHistory::Restored ? ItemOrigin::Copy : ItemOrigin::Listing);
      nextRead_ = context_.Now();
      return;
    }
    OnReadSucceeded(aRead);
    Apply(aRead, history, isFirstPage);
  }

  /// \brief Applies the age of the last contact with the platform that a peer reported.
  /// \param aFollowsRestores Whether that contact would have shown that the platform came back from
  /// an older copy; nodes of earlier releases do not notice it.
  void OnReportedAge(Duration aAge, bool aFollowsRestores = true)
  {
    contact_.OnReportedAge(aAge, aFollowsRestores, context_.Now());
  }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (readDeadline_ && now >= *readDeadline_) {
      context_.Ports().source_.CancelRead();
      readDeadline_.reset();
      OnReadFailed("no answer in time");
    }
    if (era_.OnVersion(context_.Versions().CurrentId().number_.era_)) {
      ListAfterPeer(now);
    }
    if (!IsListingHalfway() && content_.Items().ReleaseDue(now)) {
      Publish();
    }
    if (!readDeadline_ && now >= nextRead_) {
      nextRead_ = now + kWatchCheckPeriod;
      if (ShouldWatch(now) || isReadRequested_) {
        Read(now);
      }
    }
  }

  /// \brief Makes this node read the platform once, also if it does not watch it: it cannot tell by
  /// its peers what is in force. The read goes on until it is complete.
  ///
  /// It does not wait for the pause after failures once other nodes have had answers.
  void RequestRead()
  {
    isReadRequested_ = true;
    if (failing_ && PlatformAge() < PlatformContact::kExpiryOutage) {
      nextRead_ =
        std::min(nextRead_, std::max(context_.Now(), contact_.SentAt() + timing_.readInterval_));
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const noexcept
  {
    const auto next = readDeadline_ ? *readDeadline_ : nextRead_;
    const auto release = IsListingHalfway() ? std::nullopt : content_.Items().NextDeadline();
    return release ? std::min(next, *release) : next;
  }
  [[nodiscard]] Duration PlatformAge() const { return contact_.Age(context_.Now()); }
  /// \brief The same, of nodes that notice when the platform is restored.
  [[nodiscard]] Duration FollowedAge() const { return contact_.FollowedAge(context_.Now()); }
  [[nodiscard]] ReadState GetReadState() const
  {
    return { .platformAge_ = PlatformAge(),
             .ownAge_ = contact_.OwnAge(context_.Now()),
             .failing_ = failing_ };
  }
  [[nodiscard]] bool IsWatcher() const { return ShouldWatch(context_.Now()); }
  /// \brief Returns true if this process has read a complete configuration from the platform.
  [[nodiscard]] bool HasRead() const noexcept { return content_.WasComplete(); }

private:
  void Read(TimePoint aNow)
  {
    context_.GetMetrics().Count("platform_reads");
    contact_.OnReadSent(failing_, aNow);
    lowestRevision_ = FindLowestRevision();
    if (listing_) {
      readDeadline_ = aNow + ReaderTiming::kReadTimeout;
      context_.Ports().source_.ReadItems(listing_->AfterKey());
    } else {
      // A watch that the platform did not receive would hide its return for as long as it waits.
      const auto wait = failing_ ? Duration{} : timing_.watchWait_;
      readDeadline_ = aNow + (failing_ ? ReaderTiming::kRetryReadTimeout
                                       : timing_.watchWait_ + ReaderTiming::kReadTimeout);
      context_.Ports().source_.WatchItems(revision_, wait);
    }
  }

  /// Returns true if some pages of a listing were applied and others were not.
  [[nodiscard]] bool IsListingHalfway() const noexcept { return listing_ && listing_->HasPages(); }

  /// Returns the lowest revision that a linearizable answer to a read that is sent now can have,
  /// unless the store is restored.
  [[nodiscard]] std::uint64_t FindLowestRevision() const
  {
    if (IsListingHalfway()) {
      return listing_->Revision();
    }
    const auto& running = context_.Versions().CurrentId().number_;
    const bool isOfPeer = listing_ && running.era_ == era_.Value();
    return isOfPeer ? std::max(revision_, running.revision_) : revision_;
  }

  /// \param aOrigin Copy: nothing is published before the listing is complete, since what was read
  /// before belongs to an earlier era.
  void BeginListing(ItemOrigin aOrigin)
  {
    listing_ = Listing(aOrigin);
    revision_ = aOrigin == ItemOrigin::Copy ? 0 : revision_;
  }

  /// Lists the platform since a peer has published a version of a higher era. The jitter spreads
  /// the listings of the nodes that apply it at the same time.
  void ListAfterPeer(TimePoint aNow)
  {
    if (readDeadline_) {
      context_.Ports().source_.CancelRead();
      readDeadline_.reset();
    }
    context_.Write(
      LogEvent("platform_restored_for_peer").With("era", era_.Value()).With("previous", revision_));
    nextRead_ = aNow + DrawStartJitter();
    BeginListing(ItemOrigin::Copy);
  }

  [[nodiscard]] Duration DrawStartJitter()
  {
    const auto jitter = DrawFraction(context_.Ports().random_) * kStartJitter;
    return std::chrono::duration_cast<Duration>(jitter);
  }

  void OnReadSucceeded(const ItemsRead& aRead)
  {
    const auto now = context_.Now();
    if (failing_) {
      context_.Write(LogEvent("platform_regained")
                       .With("revision", aRead.revision_)
                       .With("silent_ms", Milliseconds(contact_.OwnAge(now))));
    }
    if (const auto end = contact_.FindOutageEnd(failing_, timing_.watchWait_, now)) {
      content_.Items().BeginExpiryGrace(*end);
    }
    failing_ = false;
    contact_.OnAnswer(now);
    nextRead_ = now + timing_.readInterval_;
  }

  void Apply(const ItemsRead& aRead, StoreHistory aHistory, bool aIsFirstPage)
  {
    const bool isRestored = aHistory == StoreHistory::Restored;
    if (aHistory == StoreHistory::Suspected || (isRestored && !aIsFirstPage)) {
      if (!isRestored) {
        log_.Write("platform_revision_fell", aRead, revision_);
      }
      // The answer is no page of a listing that began before it.
      const bool isCopy = isRestored || (listing_ && listing_->Origin() == ItemOrigin::Copy);
      BeginListing(isCopy ? ItemOrigin::Copy : ItemOrigin::Listing);
      nextRead_ = context_.Now() + DrawStartJitter();
      isReadRequested_ = true; // the answer may have ended the turn of a backup watcher
      return;
    }
    if (isRestored) {
      BeginListing(ItemOrigin::Copy);
    }
    if (listing_) {
      ApplyPage(aRead);
    } else {
      ApplyChanges(aRead);
    }
    if (!listing_) { // a page of a listing that may fail is no success yet
      isReadRequested_ = false;
      backoff_ = backoff_.AfterSuccess();
      backupBackoff_ = backupBackoff_.AfterSuccess();
    }
  }

  void ApplyPage(const ItemsRead& aRead)
  {
    auto& listing = *listing_;
    if (!listing.HasPages()) {
      BeginCopyIfRestored();
    }
    const bool mayGoOn = listing.BeginPage(aRead);
    for (const auto& item : aRead.items_) {
      if (!content_.Items().Contains(item.key_)) {
        listing.RecordAddition(item.key_);
      }
      content_.ApplyItem(item, listing.Origin());
    }
    if (!mayGoOn) {
      AbandonListing();
      return;
    }
    if (aRead.hasMore_ && !aRead.items_.empty()) {
      nextRead_ = context_.Now();
      return;
    }
    content_.Items().EndListing(listing.Keys(), listing.Origin(), context_.Now());
    const auto previous = std::exchange(revision_, listing.Revision());
    isPartial_ = listing.SpansChanges();
    isAuditDue_ = false;
    listing_.reset();
    log_.Write("platform_listed", aRead, previous, content_.Items().HeldCount());
    Publish();
    log_.TrackLag(era_.Value(), revision_);
  }

  /// A node that has read nothing takes the copy for one, too, if its peers still hold items.
  void BeginCopyIfRestored()
  {
    const auto& running = context_.Versions().Current();
    if (revision_ == 0 && running && !running->Id().number_.IsExact()) {
      listing_->MarkAsCopy();
    }
    if (listing_->Origin() == ItemOrigin::Copy) {
      content_.Items().BeginCopy(running);
    }
  }

  /// Ends a listing that has no end, without the items that only it has added.
  void AbandonListing()
  {
    for (const auto& key : listing_->AddedKeys()) {
      content_.Items().Erase(key);
    }
    BeginListing(listing_->Origin());
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
    isPartial_ = isAuditDue_;
    for (const auto& item : aRead.items_) {
      content_.ApplyItem(item, ItemOrigin::Change);
    }
    if (!aRead.items_.empty()) {
      log_.Write("platform_changed", aRead, previous, content_.Items().HeldCount());
      Publish();
    }
    if (isAuditDue_) {
      BeginListing(ItemOrigin::Listing);
      nextRead_ = context_.Now() + timing_.readInterval_ + DrawStartJitter();
    }
    log_.TrackLag(era_.Value(), revision_);
  }

  void Publish()
  {
    content_.Publish({ .era_ = era_.Value(), .revision_ = revision_, .isPartial_ = isPartial_ });
  }

  [[nodiscard]] bool ShouldWatch(TimePoint aNow) const
  {
    return ShouldWatchPlatform({ .watcherRank_ = context_.ComputeWatcherRank(),
                                 .platformAge_ = contact_.FollowedAge(aNow) });
  }

  void OnReadFailed(std::string_view aDetail)
  {
    context_.GetMetrics().Count("platform_read_failures");
    auto& backoff = context_.ComputeWatcherRank().IsWatcher() ? backoff_ : backupBackoff_;
    // The time in which a read had no answer is part of the pause.
    nextRead_ =
      std::max(context_.Now(), contact_.SentAt() + backoff.Draw(context_.Ports().random_)) +
      timing_.readInterval_;
    backoff = backoff.AfterFailure();
    // Without an era, the changes alone do not show whether the store was restored meanwhile.
    isAuditDue_ = isAuditDue_ || (!era_.IsStated() && !listing_);
    if (!std::exchange(failing_, true)) {
      context_.Write(LogEvent("platform_lost", Severity::Warning)
                       .With("detail", aDetail)
                       .With("revision", revision_)
                       .With("silent_ms", Milliseconds(contact_.OwnAge(context_.Now()))));
    }
  }

  NodeContext<PortSet>& context_;
  ReadLog<PortSet> log_;
  PlatformContent<PortSet> content_;
  PlatformContact contact_;
  ReaderTiming timing_;
  Backoff backoff_;
  Backoff backupBackoff_;
  TimePoint nextRead_;
  std::optional<TimePoint> readDeadline_; ///< set while a read is in flight
  std::optional<Listing> listing_ = Listing();
  std::uint64_t revision_ = 0; ///< of the last answer that was applied; 0: none
  StoreEra era_;
  std::uint64_t lowestRevision_ = 0; ///< see FindLowestRevision; for the read in flight
  bool isPartial_ = false;           ///< the items may lack changes up to the revision
  bool isAuditDue_ = false;          ///< a listing follows the next changes
  bool failing_ = false;             ///< the last read failed
  bool isReadRequested_ = false;
};

} // namespace geraniumpin
