#pragma once

#include "geraniumpin/connection/backoff.hpp"
#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/freshness.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/placement_hash.hpp"
#include "geraniumpin/process/watch_duty.hpp"
#include "geraniumpin/version/version_assembly.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace geraniumpin {

/// \brief The platform's answer to a read of the head; nothing in it if the read failed.
struct HeadRead
{
  const std::optional<std::string> text_;
  const std::uint64_t revision_ = 0;
};

/// \brief The platform's answer to a read of a part or index shard.
struct ContentRead
{
  const Digest digest_;
  const std::optional<std::string> bytes_;
};

/// \brief The platform's answer to a read of the list of VMs.
struct VmListRead
{
  const std::optional<VmList> list_;
};

/// \brief Reads the platform while this node has the duty, and hands complete versions on.
template<Environment Env>
class PlatformReader
{
public:
  /// Time that a starting node gives its peers before it reads the platform.
  static constexpr std::chrono::milliseconds kPeersFirst{ 600 };
  static constexpr std::chrono::milliseconds kStartJitter{ 400 };
  static constexpr std::chrono::milliseconds kFirstBackoff{ 500 };
  static constexpr std::chrono::milliseconds kMostBackoff{ 60000 };
  /// Least time between two reads.
  static constexpr std::chrono::milliseconds kLeastGap{ 100 };
  /// Time after which a node without duty looks again whether it has one.
  static constexpr std::chrono::milliseconds kDutyCheck{ 1000 };

  PlatformReader(NodeContext<Env>& aContext, ConfigService<Env>& aConfig)
    : context_(aContext)
    , config_(aConfig)
    , freshness_(aContext.Now())
    , headBackoff_(kFirstBackoff, kMostBackoff)
    , listBackoff_(kFirstBackoff, kMostBackoff)
  {
    const auto jitter = DrawFraction(context_.Outside().random_) * kStartJitter;
    nextHead_ = context_.Now() + kPeersFirst + std::chrono::duration_cast<Duration>(jitter);
    nextList_ = nextHead_;
  }

  /// \brief Reads the list of VMs soon, whether or not this node has the duty.
  void WantVmList() { wantsList_ = true; }

  void OnHeadRead(const HeadRead& aRead)
  {
    headInFlight_ = false;
    if (!aRead.text_) {
      Fail(headBackoff_, nextHead_, "head");
      return;
    }
    headBackoff_ = headBackoff_.AfterSuccess();
    nextHead_ = context_.Now() + kLeastGap;
    freshness_ = freshness_.AfterContact(context_.Now());
    revision_ = std::max(revision_, aRead.revision_);
    const auto head = ParseHead(*aRead.text_);
    if (!head) {
      context_.Measures().Count("platform_malformed_heads");
      return;
    }
    BeginAssembly(*head, { head->number_, Digest::Of(*aRead.text_) });
  }

  void OnContentRead(const ContentRead& aRead)
  {
    contentsInFlight_ -= contentsInFlight_ > 0 ? 1 : 0;
    if (!assembly_) {
      return;
    }
    if (!aRead.bytes_ || !assembly_->Add(aRead.digest_, *aRead.bytes_, context_.Versions())) {
      assembly_.reset();
      revision_ = 0; // the next read must not wait for a newer revision than this one
      Fail(headBackoff_, nextHead_, "content");
      return;
    }
    if (contentsInFlight_ == 0) {
      Continue();
    }
  }

  void OnVmListRead(const VmListRead& aRead)
  {
    listInFlight_ = false;
    if (!aRead.list_) {
      Fail(listBackoff_, nextList_, "vms");
      return;
    }
    wantsList_ = false;
    listBackoff_ = listBackoff_.AfterSuccess();
    nextList_ = context_.Now() + kLeastGap;
    freshness_ = freshness_.AfterContact(context_.Now());
    context_.Members().OnVmList(*aRead.list_);
  }

  /// \brief Takes in the age of the platform's news that a peer knows of.
  void OnReportedAge(Duration aAge) { freshness_ = freshness_.AfterReport(aAge, context_.Now()); }

  void OnTimer()
  {
    const auto now = context_.Now();
    if (now >= nextHead_) {
      nextHead_ = now + kDutyCheck;
      ReadHead(now);
    }
    if (now >= nextList_) {
      nextList_ = now + kDutyCheck;
      ReadVmList(now);
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const noexcept { return std::min(nextHead_, nextList_); }
  [[nodiscard]] Duration PlatformAge() const { return freshness_.Age(context_.Now()); }
  [[nodiscard]] bool IsWatcher() const { return HasDuty(context_.Now()); }

private:
  void ReadHead(TimePoint aNow)
  {
    if (headInFlight_ || assembly_ || !HasDuty(aNow)) {
      return;
    }
    headInFlight_ = true;
    context_.Measures().Count("platform_reads");
    context_.Outside().source_.FetchHead(revision_);
  }

  void ReadVmList(TimePoint aNow)
  {
    if (listInFlight_ || !(wantsList_ || HasDuty(aNow))) {
      return;
    }
    listInFlight_ = true;
    context_.Measures().Count("platform_reads");
    context_.Outside().source_.FetchVmList(wantsList_ ? 0 : context_.Members().Listed().revision_);
  }

  [[nodiscard]] bool HasDuty(TimePoint aNow) const
  {
    const auto& snapshot = context_.Versions().Current();
    if (!snapshot) {
      return true;
    }
    const auto& domain = context_.NodeSettings().FailureDomainName();
    std::vector<NodeAddress> working;
    for (const auto& node : snapshot->NodesOf(domain)) {
      if (context_.Members().TakesWork(node)) {
        working.push_back(node);
      }
    }
    const auto rank = RankOf("watch/" + domain, context_.Self(), working);
    return HasWatchDuty({ .rank_ = rank, .platformAge_ = freshness_.Age(aNow) });
  }

  void Fail(Backoff& aBackoff, TimePoint& aNext, std::string_view aWhat)
  {
    context_.Measures().Count("platform_read_failures");
    aNext = context_.Now() + kLeastGap + aBackoff.Draw(context_.Outside().random_);
    aBackoff = aBackoff.AfterFailure();
    context_.Write(LogEvent("platform_read_failed", Severity::Warning).With("what", aWhat));
  }

  void BeginAssembly(const Head& aHead, const VersionId& aId)
  {
    const auto refusal = context_.Versions().Screen(aId);
    if (refusal) {
      const bool isRunning = aId == context_.Versions().CurrentId();
      if (!isRunning && aId != lastScreened_) {
        context_.Write(LogEvent("platform_head_ignored", Severity::Warning)
                         .With("version", aId.number_)
                         .With("running", context_.Versions().CurrentId().number_)
                         .With("reason", ToString(*refusal)));
      }
      lastScreened_ = aId;
      return;
    }
    assembly_.emplace(aHead, aId, context_.Versions());
    Continue();
  }

  void Continue()
  {
    if (const auto delta = assembly_->Complete()) {
      assembly_.reset();
      config_.OnPlatformVersion(*delta);
      return;
    }
    const auto missing = assembly_->Missing();
    contentsInFlight_ = missing.size();
    context_.Measures().Count("platform_reads", missing.size());
    for (const auto& digest : missing) {
      context_.Outside().source_.FetchContent(digest);
    }
  }

  NodeContext<Env>& context_;
  ConfigService<Env>& config_;
  Freshness freshness_;
  Backoff headBackoff_;
  Backoff listBackoff_;
  TimePoint nextHead_;
  TimePoint nextList_;
  bool headInFlight_ = false;
  bool listInFlight_ = false;
  bool wantsList_ = false;
  std::size_t contentsInFlight_ = 0;
  std::uint64_t revision_ = 0;
  std::optional<VersionAssembly> assembly_;
  VersionId lastScreened_;
};

} // namespace geraniumpin
