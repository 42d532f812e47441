#pragma once

#include "geraniumpin/process/admission.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/request/owned_attempt.hpp"

#include <string>

namespace geraniumpin {

/// \brief Writes the decisions of an owner node about attempts.
template<NodePortSet PortSet>
class OwnerLog
{
public:
  explicit OwnerLog(NodeContext<PortSet>& aContext)
    : context_(aContext)
  {
  }

  /// \brief Writes that an attempt was refused before admission.
  void WriteRefusal(const AttemptId& aId,
                    const CallRequest& aRequest,
                    Reason aReason,
                    Duration aDelay)
  {
    context_.Write(LogEvent("attempt_refused", Severity::Warning)
                     .With("call", ToString(aId.call_))
                     .With("request", aRequest.requestId_)
                     .With("attempt", aId.attempt_)
                     .With("team", aRequest.team_)
                     .With("reason", ToString(aReason))
                     .With("version", context_.Versions().CurrentId().number_.revision_)
                     .With("delay_us", Microseconds(aDelay))
                     .With("remaining_us", Microseconds(aRequest.remaining_)));
  }

  /// \brief Writes what admission decided about an attempt, and its state after that.
  void WriteAdmission(const AttemptId& aId,
                      const CallRequest& aRequest,
                      const tl::expected<AdmissionResult, Reason>& aAdmitted,
                      Duration aDelay,
                      const Admission<AttemptId, InstanceController>& aAdmission)
  {
    const auto decision = !aAdmitted                             ? ToString(aAdmitted.error())
                          : *aAdmitted == AdmissionResult::Start ? "start"
                                                                 : "queued";
    context_.Write(LogEvent("admission", aAdmitted ? Severity::Routine : Severity::Warning)
                     .With("call", ToString(aId.call_))
                     .With("request", aRequest.requestId_)
                     .With("attempt", aId.attempt_)
                     .With("team", aRequest.team_)
                     .With("decision", decision)
                     .With("version", context_.Versions().CurrentId().number_.revision_)
                     .With("delay_us", Microseconds(aDelay))
                     .With("remaining_us", Microseconds(aRequest.remaining_))
                     .With("in_flight", aAdmission.InFlight())
                     .With("queued", aAdmission.Queued())
                     .With("limit", aAdmission.Limit())
                     .With("cold", aAdmission.SlowStart().IsCold(context_.Now()))
                     .With("patience_us", Microseconds(aRequest.queueTimeout_)));
  }

  /// \brief Writes why an exchange with the instance was broken.
  void WriteBroken(const OwnedAttempt& aAttempt,
                   const BackendCompletion& aEnd,
                   const std::string& aInstance)
  {
    context_.Write(LogEvent("exchange_broken", Severity::Warning)
                     .With("call", ToString(aEnd.id_.call_))
                     .With("request", aAttempt.request_.requestId_)
                     .With("attempt", aEnd.id_.attempt_)
                     .With("instance", aInstance)
                     .With("detail", aEnd.detail_)
                     .With("us", Microseconds(context_.Now() - aAttempt.startedAt_)));
  }

  /// \brief Writes that an attempt left the queue.
  void WriteDequeued(const AttemptId& aId, const OwnedAttempt& aAttempt)
  {
    const auto now = context_.Now();
    context_.Write(LogEvent("dequeued", Severity::Routine)
                     .With("call", ToString(aId.call_))
                     .With("request", aAttempt.request_.requestId_)
                     .With("attempt", aId.attempt_)
                     .With("queued_us", Microseconds(now - aAttempt.arrivedAt_))
                     .With("remaining_us", Microseconds(aAttempt.deadline_ - now)));
  }

private:
  NodeContext<PortSet>& context_;
};

} // namespace geraniumpin
