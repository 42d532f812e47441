#pragma once

#include "geraniumpin/connection/backoff.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/last_contact.hpp"
#include "geraniumpin/process/listing.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
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
  /// Time without an answer after which published instances may have expired although they run.
  static constexpr std::chrono::milliseconds kExpiryOutage{ 3000 };
  /// Grace period in which expired instances can be published again.
  static constexpr auto kExpiryGrace = PlatformItems::kMissingGrace;

  PlatformReader(NodeContext<PortSet>& aContext, ConfigService<PortSet>& aConfig)
    : context_(aContext)
    , log_(aContext)
    , content_(aContext, aConfig)
    , lastContact_(aContext.Now())
    , followedContact_(aContext.Now())
    , timing_(ReaderTiming::Make(aContext.NodeSettings().ApplyBound(),
                                 aContext.NodeSettings().ContactBound()))
    , lastAnswerAt_(aContext.Now())
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
    const auto known = listing_ && !isFirstPage ? listing_->Revision() : revision_;
    const auto history = era_.OnAnswer(aRead, known, isFirstPage);
    if (history == StoreHistory::Outdated) {
      context_.GetMetrics().Count("platform_outdated_answers");
      OnReadFailed("answer of an earlier era");
      return;
    }
    if (history == StoreHistory::Restored && revision_ != 0) {
      context_.GetMetrics().Count("platform_restores");
      context_.Write(log_.Describe("platform_restored", aRead, revision_));
    }
    if (aRead.result_ == ReadResult::HistoryGone) {
      context_.GetMetrics().Count("platform_history_gone");
      context_.Write(log_.Describe("platform_history_gone", aRead, revision_));
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
    if (aFollowsRestores) {
      followedContact_ = followedContact_.AfterReportedAge(aAge, context_.Now());
    }
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
    if (!listing_ && content_.Items().ReleaseDue(now)) {
      Publish();
    }
    if (era_.OnVersion(context_.Versions().CurrentId().number_.era_)) {
      ListAfterPeer(now);
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
    if (failing_ && PlatformAge() < kExpiryOutage) {
      nextRead_ =
        std::min(nextRead_, std::max(context_.Now(), readSentAt_ + timing_.readInterval_));
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const noexcept
  {
    const auto next = readDeadline_ ? *readDeadline_ : nextRead_;
    const auto release = listing_ ? std::nullopt : content_.Items().NextDeadline();
    return release ? std::min(next, *release) : next;
  }
  [[nodiscard]] Duration PlatformAge() const { return lastContact_.Age(context_.Now()); }
  /// \brief The same, of nodes that notice when the platform is restored.
  [[nodiscard]] Duration FollowedAge() const { return followedContact_.Age(context_.Now()); }
  [[nodiscard]] ReadState GetReadState() const
  {
    return { .platformAge_ = PlatformAge(),
             .ownAge_ = context_.Now() - lastAnswerAt_,
             .failing_ = failing_ };
  }
  [[nodiscard]] bool IsWatcher() const { return ShouldWatch(context_.Now()); }
  /// \brief Returns true if this process has read a complete configuration from the platform.
  [[nodiscard]] bool HasRead() const noexcept { return content_.WasComplete(); }

private:
  void Read(TimePoint aNow)
  {
    context_.GetMetrics().Count("platform_reads");
    readSentAt_ = aNow;
    if (!failing_) {
      longestGap_ = {};
    }
    if (listing_) {
      readDeadline_ =
        aNow + (failing_ ? ReaderTiming::kRetryReadTimeout : ReaderTiming::kReadTimeout);
      context_.Ports().source_.ReadItems(listing_->AfterKey());
    } else {
      // A watch that the platform did not receive would hide its return for as long as it waits.
      const auto wait = failing_ ? Duration{} : timing_.watchWait_;
      readDeadline_ = aNow + (failing_ ? ReaderTiming::kRetryReadTimeout
                                       : timing_.watchWait_ + ReaderTiming::kReadTimeout);
      context_.Ports().source_.WatchItems(revision_, wait);
    }
  }

  void BeginListing(ItemOrigin aOrigin) { listing_ = Listing(aOrigin); }

  /// Lists the platform since a peer has published a version of a higher era. The jitter spreads
  /// the listings of the nodes that apply it at the same time.
  void ListAfterPeer(TimePoint aNow)
  {
    if (readDeadline_) {
      context_.Ports().source_.CancelRead();
      readDeadline_.reset();
    }
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
                       .With("silent_ms", Milliseconds(now - lastAnswerAt_)));
    }
    if (MayFollowOutage(now)) {
      content_.Items().BeginExpiryGrace(now);
    }
    failing_ = false;
    lastAnswerAt_ = now;
    lastContact_ = lastContact_.AfterContact(now);
    followedContact_ = followedContact_.AfterContact(now);
    nextRead_ = now + timing_.readInterval_;
  }

  void Apply(const ItemsRead& aRead, StoreHistory aHistory, bool aIsFirstPage)
  {
    const bool isRestored = aHistory == StoreHistory::Restored;
    if (aHistory == StoreHistory::Suspected || (isRestored && !aIsFirstPage)) {
      // The answer is no page of a listing that began before it.
      BeginListing(isRestored ? ItemOrigin::Copy : ItemOrigin::Listing);
      nextRead_ = context_.Now() + DrawStartJitter();
      isReadRequested_ = true; // the answer may have ended the turn of a backup watcher
      return;
    }
    if (isRestored) {
      listing_->MarkAsCopy();
      revision_ =
        revision_ == 0 ? 0 : aRead.revision_; // a repeated first page is no further restore
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
    spansChanges_ = listing.SpansChanges();
    listing_.reset();
    context_.GetMetrics().Count("platform_listings");
    context_.Write(
      log_.Describe("platform_listed", aRead, previous).With("held", content_.Items().HeldCount()));
    Publish();
    log_.TrackLag(era_.Value(), revision_);
  }

  /// A node that has read nothing takes the copy for one, too, if its peers still hold items.
  void BeginCopyIfRestored()
  {
    const auto& running = context_.Versions().Current();
    if (revision_ == 0 && running && running->Id().number_.interim_) {
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
    spansChanges_ = false;
    for (const auto& item : aRead.items_) {
      content_.ApplyItem(item, ItemOrigin::Change);
    }
    if (!aRead.items_.empty()) {
      context_.Write(log_.Describe("platform_changed", aRead, previous));
      Publish();
    }
    log_.TrackLag(era_.Value(), revision_);
  }

  void Publish()
  {
    content_.Publish(
      { .era_ = era_.Value(), .revision_ = revision_, .spansChanges_ = spansChanges_ });
  }

  [[nodiscard]] bool ShouldWatch(TimePoint aNow) const
  {
    return ShouldWatchPlatform({ .watcherRank_ = context_.ComputeWatcherRank(),
                                 .platformAge_ = followedContact_.Age(aNow) });
  }

  void OnReadFailed(std::string_view aDetail)
  {
    context_.GetMetrics().Count("platform_read_failures");
    auto& backoff = context_.ComputeWatcherRank().IsWatcher() ? backoff_ : backupBackoff_;
    // The time in which a read had no answer is part of the pause.
    nextRead_ = std::max(context_.Now(), readSentAt_ + backoff.Draw(context_.Ports().random_)) +
                timing_.readInterval_;
    backoff = backoff.AfterFailure();
    // Without an era, the revision alone does not show whether the store was restored meanwhile.
    if (!era_.IsStated() && !listing_) {
      BeginListing(ItemOrigin::Listing);
    }
    if (!std::exchange(failing_, true)) {
      context_.Write(LogEvent("platform_lost", Severity::Warning)
                       .With("detail", aDetail)
                       .With("revision", revision_)
                       .With("silent_ms", Milliseconds(context_.Now() - lastAnswerAt_)));
    }
  }

  NodeContext<PortSet>& context_;
  ReadLog<PortSet> log_;
  PlatformContent<PortSet> content_;
  LastContact lastContact_;
  LastContact followedContact_; ///< by a node that notices when the platform is restored
  ReaderTiming timing_;
  TimePoint lastAnswerAt_;
  Backoff backoff_;
  Backoff backupBackoff_;
  TimePoint nextRead_;
  std::optional<TimePoint> readDeadline_; ///< set while a read is in flight
  TimePoint readSentAt_;                  ///< of the last read
  std::optional<Listing> listing_ = Listing();
  std::uint64_t revision_ = 0; ///< of the last answer that was applied; 0: none
  StoreEra era_;
  bool spansChanges_ = false; ///< the items changed between the pages of their listing
  bool failing_ = false;      ///< the last read failed
  bool isReadRequested_ = false;
  Duration longestGap_{}; ///< between answers to any node, since a read did not follow a failure
};

} // namespace geraniumpin
