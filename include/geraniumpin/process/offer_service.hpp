#pragma once

#include "geraniumpin/process/entry_service.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/owner_service.hpp"
#include "geraniumpin/process/receive_window.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace geraniumpin {

/// \brief Answers offers of bodies: grants them within the receive window, or refuses requests.
template<NodePortSet PortSet>
class OfferService
{
public:
  /// Limits of the random factor of a Retry-After, so that refused callers do not return together.
  static constexpr double kMinRetrySpread = 0.5;
  static constexpr double kMaxRetrySpread = 1.5;

  OfferService(NodeContext<PortSet>& aContext,
               const EntryService<PortSet>& aEntry,
               OwnerService<PortSet>& aOwner)
    : context_(aContext)
    , entry_(aEntry)
    , owner_(aOwner)
    , window_(aContext.NodeSettings().Window())
  {
  }

  /// \brief Grants, queues or refuses a request; repeated offers are dropped.
  /// \param aDelay Transit time of the message above the lowest of its link.
  void OnCallOffer(const Envelope& aEnvelope, const CallOffer& aOffer, Duration aDelay)
  {
    const auto& request = aOffer.request_;
    const TransferId id{ { request.id_, request.attempt_ }, false };
    if (window_.Contains(id) || owner_.IsKnown(id.attempt_)) {
      context_.GetMetrics().Count("repeated_attempts");
      return;
    }
    if (const auto refusal = owner_.FindRefusal(aEnvelope, request, aDelay)) {
      owner_.RefuseOffer(
        aEnvelope.sender_, request, Answer::WithoutContent(Outcome::NotRun, *refusal));
      return;
    }
    const auto now = context_.Now();
    const auto transfer = context_.NodeSettings().Window().TransferTime(aOffer.bodyBytes_);
    const auto startBy =
      now + request.remaining_ - aDelay - owner_.ExpectedServiceTime(request.route_);
    Offer({ .id_ = id,
            .bytes_ = aOffer.bodyBytes_,
            .rank_ = request.rank_,
            .grantBy_ = std::min(startBy - transfer, now + request.queueTimeout_) },
          { aEnvelope.sender_, request });
  }

  /// \brief Grants or queues a reply; it is ready, so it is never refused.
  void OnReplyOffer(const Envelope& aEnvelope, const ReplyOffer& aOffer)
  {
    const TransferId id{ aOffer.id_, true };
    if (!window_.Contains(id) && entry_.AwaitsReply(aOffer.id_)) {
      Offer({ .id_ = id, .bytes_ = aOffer.bodyBytes_, .grantBy_ = TimePoint::max() },
            { aEnvelope.sender_, std::nullopt });
    }
  }

  /// \brief Frees the window after a body arrived, or if its sender withdrew it.
  void OnTransferEnd(const TransferId& aId)
  {
    offers_.erase(aId);
    if (window_.Remove(aId)) {
      Advance();
    }
  }

  /// \brief Refuses all requests that wait, as not run.
  void RefuseWaiting(Reason aReason)
  {
    for (const auto& id : window_.RemoveWaitingRequests()) {
      Refuse(id, Answer::WithoutContent(Outcome::NotRun, aReason));
    }
  }

  void OnTimer() { Advance(); }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const { return window_.NextDeadline(); }
  [[nodiscard]] bool IsIdle() const noexcept { return window_.IsEmpty(); }
  [[nodiscard]] WindowState State() const { return window_.State(context_.Now()); }

private:
  struct Offered
  {
    NodeAddress sender_;
    std::optional<CallRequest> request_; ///< nothing for a reply
  };

  void Offer(const TransferOffer& aOffer, const Offered& aOffered)
  {
    const auto result = window_.Offer(aOffer, context_.Now());
    WriteOffer(aOffer,
               aOffered,
               !result                           ? "refused"
               : *result == OfferResult::Granted ? "granted"
                                                 : "queued");
    offers_.emplace(aOffer.id_, aOffered);
    if (!result) {
      RefuseForLink(aOffer.id_, result.error());
    } else if (*result == OfferResult::Granted) {
      Grant(aOffer.id_);
    }
  }

  void Advance()
  {
    const auto actions = window_.Advance(context_.Now());
    for (const auto& id : actions.granted_) {
      Grant(id);
    }
    for (const auto& id : actions.refused_) {
      RefuseForLink(id, window_.Backlog());
    }
  }

  void Grant(const TransferId& aId)
  {
    if (const auto offer = offers_.extract(aId)) {
      context_.GetMetrics().Count("bodies_granted");
      context_.Send(offer.mapped().sender_, BodyGrant{ aId });
    }
  }

  /// \param aWait Time of what precedes the body on the link.
  void RefuseForLink(const TransferId& aId, Duration aWait)
  {
    const auto spread = kMinRetrySpread + (kMaxRetrySpread - kMinRetrySpread) *
                                            DrawFraction(context_.Ports().random_);
    context_.GetMetrics().Count("bodies_refused");
    Refuse(aId,
           Answer::WithoutContent(Outcome::NotRun,
                                  Reason::Overloaded,
                                  std::chrono::duration_cast<Duration>(aWait * spread)));
  }

  void Refuse(const TransferId& aId, const Answer& aAnswer)
  {
    const auto offer = offers_.extract(aId);
    if (offer && offer.mapped().request_) {
      owner_.RefuseOffer(offer.mapped().sender_, *offer.mapped().request_, aAnswer);
    }
  }

  void WriteOffer(const TransferOffer& aOffer, const Offered& aOffered, std::string_view aDecision)
  {
    const auto state = State();
    context_.Write(LogEvent("body_offer", Severity::Routine)
                     .With("call", ToString(aOffer.id_.attempt_.call_))
                     .With("request", aOffered.request_ ? aOffered.request_->requestId_ : "")
                     .With("attempt", aOffer.id_.attempt_.attempt_)
                     .With("reply", aOffer.id_.isReply_)
                     .With("decision", aDecision)
                     .With("bytes", aOffer.bytes_)
                     .With("granted_bytes", state.grantedBytes_)
                     .With("waiting_bytes", state.waitingBytes_));
  }

  NodeContext<PortSet>& context_;
  const EntryService<PortSet>& entry_;
  OwnerService<PortSet>& owner_;
  ReceiveWindow window_;
  std::map<TransferId, Offered> offers_; ///< that wait in the window
};

} // namespace geraniumpin
