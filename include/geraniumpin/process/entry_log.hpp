#pragma once

#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/process/instance_load_table.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/request/entry_call.hpp"

#include <cstddef>
#include <string>

namespace geraniumpin {

/// \brief Why a prepared request was refused, for the log.
struct IntakeRefusal
{
  const std::uint32_t rank_ = 0;
  const Duration waited_{}; ///< since its arrival
  const double saturation_ = 0;
};

/// \brief Writes the decisions about the requests of callers, with the metrics of their ends.
template<NodePortSet PortSet>
class EntryLog
{
public:
  explicit EntryLog(NodeContext<PortSet>& aContext)
    : context_(aContext)
  {
  }

  /// \brief Writes why the configuration does not allow a request, and what that is based on.
  void WriteConfigRefusal(const Call& aCall, Reason aReason, const ReadState& aReadState)
  {
    context_.Write(LogEvent("config_refusal", Severity::Warning)
                     .With("call", ToString(aCall.id_))
                     .With("request", aCall.requestId_)
                     .With("reason", ToString(aReason))
                     .With("version", context_.Versions().CurrentId().number_.revision_)
                     .With("platform_age_ms", Milliseconds(aReadState.platformAge_))
                     .With("own_age_ms", Milliseconds(aReadState.ownAge_))
                     .With("read_failing", aReadState.failing_));
  }

  /// \brief Writes which instance was chosen for the next attempt of a request.
  /// \param aCandidates Number of instances to choose from.
  void WriteRoute(const EntryCall& aCall, const InstanceChoice& aChoice, std::size_t aCandidates)
  {
    const auto* chosen = aChoice.chosen_;
    context_.Write(LogEvent("route", Severity::Routine)
                     .With("call", ToString(aCall.call_.id_))
                     .With("request", aCall.call_.requestId_)
                     .With("attempt", aCall.attempts_ + 1)
                     .With("version", aCall.decision_.snapshot_->Id().number_.revision_)
                     .With("team", aCall.decision_.team_)
                     .With("route", aCall.decision_.route_.name_)
                     .With("waited_us", Microseconds(context_.Now() - aCall.call_.arrivedAt_))
                     .With("remaining_us", Microseconds(aCall.deadline_ - context_.Now()))
                     .With("candidates", aChoice.candidates_)
                     .With("of", aCandidates)
                     .With("spill_share", aChoice.spillOverShare_)
                     .With("chosen", chosen == nullptr ? "none" : chosen->name_)
                     .With("reason", chosen == nullptr ? "no_instance" : "less_loaded_of_two"));
  }

  /// \brief Writes metrics and the log event of a finished request.
  /// \param aAccepted Null if the request was refused on arrival.
  /// \param aRefusal Null unless the request was refused for lack of capacity.
  void WriteEnd(const Call& aCall,
                const Answer& aAnswer,
                const EntryCall* aAccepted,
                const IntakeRefusal* aRefusal = nullptr)
  {
    const auto elapsed = context_.Now() - aCall.arrivedAt_;
    context_.GetMetrics().Count("outcome_" + std::string(ToString(aAnswer.outcome_)));
    if (aAnswer.reason_ != Reason::None) {
      context_.GetMetrics().Count("reason_" + std::string(ToString(aAnswer.reason_)));
    }
    context_.GetMetrics().Record("call_ms", elapsed);
    LogEvent event("call_end",
                   aAnswer.outcome_ == Outcome::Answered ? Severity::Routine : Severity::Warning);
    event.With("call", ToString(aCall.id_))
      .With("request", aCall.requestId_)
      .With("outcome", ToString(aAnswer.outcome_))
      .With("reason", ToString(aAnswer.reason_))
      .With("status", aAnswer.status_)
      .With("us", Microseconds(elapsed));
    if (aAccepted != nullptr) {
      const bool sent = aAccepted->attempts_ > 0;
      event.With("team", aAccepted->decision_.team_)
        .With("route", aAccepted->decision_.route_.name_)
        .With("owner", aAccepted->owner_.Text())
        .With("attempts", aAccepted->attempts_)
        .With("token_us", sent ? Microseconds(aAccepted->firstSentAt_ - aCall.arrivedAt_) : 0)
        .With("queued_us", Microseconds(aAccepted->queueTime_))
        .With("ran_us", Microseconds(aAccepted->instanceTime_));
    }
    if (aRefusal != nullptr) {
      event.With("rank", aRefusal->rank_)
        .With("waited_us", Microseconds(aRefusal->waited_))
        .With("saturation", aRefusal->saturation_);
    }
    context_.Write(event);
  }

private:
  NodeContext<PortSet>& context_;
};

} // namespace geraniumpin
