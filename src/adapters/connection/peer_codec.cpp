#include "peer_codec.hpp"

#include "../request/http_message.hpp"
#include "generated/peer.pb.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::size_t kTagBytes = 32;
// Far above any body, so that sums of offered sizes do not overflow.
constexpr std::uint64_t kMaxOfferedBytes = std::uint64_t{ 1 } << 40U;

Duration
FromMicroseconds(std::int64_t aValue) noexcept
{
  return std::chrono::microseconds(aValue);
}

/// A share that is no number counts as 0.
double
ReadShare(double aValue) noexcept
{
  return aValue > 0 ? std::min(aValue, 1.0) : 0;
}

std::string
EncodeDigest(const Digest& aDigest)
{
  return std::string(aDigest.Bytes());
}

void
Write(const CallId& aFrom, wire::CallId& aTo)
{
  aTo.set_origin(aFrom.origin_);
  aTo.set_sequence(aFrom.sequence_);
}

CallId
Read(const wire::CallId& aFrom)
{
  return { aFrom.origin(), aFrom.sequence() };
}

void
Write(const VersionId& aFrom, wire::VersionId& aTo)
{
  aTo.set_number(aFrom.number_.revision_);
  aTo.set_digest(EncodeDigest(aFrom.digest_));
  aTo.set_document(aFrom.number_.document_);
  aTo.set_era(aFrom.number_.era_);
  aTo.set_interim(aFrom.number_.interim_);
}

/// An absent or malformed digest decodes as the all-zero digest, which no version has.
VersionId
Read(const wire::VersionId& aFrom)
{
  return { { .document_ = aFrom.document(),
             .era_ = aFrom.era(),
             .revision_ = aFrom.number(),
             .interim_ = aFrom.interim() },
           Digest::FromBytes(aFrom.digest()).value_or(Digest{}) };
}

template<class Fields>
void
WriteHeaders(const HeaderFields& aFrom, Fields* aTo)
{
  for (const auto& field : aFrom) {
    auto* header = aTo->Add();
    header->set_name(field.name_);
    header->set_value(field.value_);
  }
}

template<class Fields>
HeaderFields
ReadHeaders(const Fields& aFrom)
{
  HeaderFields fields;
  fields.reserve(static_cast<std::size_t>(aFrom.size()));
  for (const auto& header : aFrom) {
    fields.push_back({ header.name(), header.value() });
  }
  return fields;
}

void
WriteRequest(const CallRequest& aFrom, wire::CallRequest& aTo, bool aHasBody)
{
  Write(aFrom.id_, *aTo.mutable_id());
  aTo.set_attempt(aFrom.attempt_);
  aTo.set_request_id(aFrom.requestId_);
  aTo.set_route(aFrom.route_);
  aTo.set_service(aFrom.service_);
  aTo.set_rank(aFrom.rank_);
  aTo.set_team(aFrom.team_);
  aTo.set_key_digest(EncodeDigest(aFrom.keyDigest_));
  aTo.set_method(aFrom.method_);
  aTo.set_host(aFrom.host_);
  aTo.set_path(aFrom.path_);
  WriteHeaders(aFrom.headers_, aTo.mutable_headers());
  if (aHasBody && aFrom.body_) {
    aTo.set_body(*aFrom.body_);
  }
  aTo.set_idempotency_key(aFrom.idempotencyKey_);
  aTo.set_remaining_us(Microseconds(aFrom.remaining_));
  aTo.set_patience_us(Microseconds(aFrom.queueTimeout_));
  aTo.set_caller(aFrom.caller_);
  aTo.set_returned_early(aFrom.returnedEarly_);
  aTo.set_is_repeat(aFrom.isRepeat_);
}

void
Write(const CallRequest& aFrom, wire::Envelope& aEnvelope, bool aHasBody)
{
  WriteRequest(aFrom, *aEnvelope.mutable_call_request(), aHasBody);
}

CallRequest
Read(const wire::CallRequest& aFrom, const Body& aDetachedBody)
{
  return CallRequest{ .id_ = Read(aFrom.id()),
                      .attempt_ = aFrom.attempt(),
                      .requestId_ = aFrom.request_id(),
                      .route_ = aFrom.route(),
                      .service_ = aFrom.service(),
                      .rank_ = aFrom.rank(),
                      .team_ = aFrom.team(),
                      .keyDigest_ = Digest::FromBytes(aFrom.key_digest()).value_or(Digest{}),
                      .method_ = aFrom.method(),
                      .host_ = aFrom.host(),
                      .path_ = aFrom.path(),
                      .headers_ = ReadHeaders(aFrom.headers()),
                      .body_ = aDetachedBody ? aDetachedBody : MakeBody(aFrom.body()),
                      .idempotencyKey_ = aFrom.idempotency_key(),
                      .remaining_ = FromMicroseconds(aFrom.remaining_us()),
                      .queueTimeout_ = FromMicroseconds(aFrom.patience_us()),
                      .caller_ = aFrom.caller(),
                      .returnedEarly_ = aFrom.returned_early(),
                      .isRepeat_ = aFrom.is_repeat() };
}

void
Write(const CallReply& aFrom, wire::Envelope& aEnvelope, bool aHasBody)
{
  auto& to = *aEnvelope.mutable_call_reply();
  Write(aFrom.id_, *to.mutable_id());
  to.set_attempt(aFrom.attempt_);
  to.set_outcome(static_cast<std::uint32_t>(aFrom.answer_.outcome_));
  to.set_reason(static_cast<std::uint32_t>(aFrom.answer_.reason_));
  to.set_status(aFrom.answer_.status_);
  WriteHeaders(aFrom.answer_.headers_, to.mutable_headers());
  if (aHasBody && aFrom.answer_.body_) {
    to.set_body(*aFrom.answer_.body_);
  }
  to.set_retry_after_us(Microseconds(aFrom.answer_.retryAfter_));
  to.set_queued_us(Microseconds(aFrom.queueTime_));
  to.set_ran_us(Microseconds(aFrom.instanceTime_));
  to.set_load(aFrom.loadReport_.load_);
  to.set_takes_work(aFrom.loadReport_.acceptsWork_);
  to.set_saturation(aFrom.loadReport_.saturation_);
  if (aFrom.room_) {
    to.set_admitted_rank(aFrom.room_->admittedRank_);
    to.set_admitted_share(aFrom.room_->admittedShare_);
    to.set_room_after_us(Microseconds(aFrom.room_->roomAfter_));
  }
  to.set_call_route(aFrom.isCallRoute_);
  for (const auto& called : aFrom.called_) {
    auto* item = to.add_called();
    item->set_service(called.service_);
    item->set_calls_per_run(called.callsPerRun_);
  }
}

/// Returns true if an answer can be passed on as an HTTP response. A node of an earlier release may
/// have read one that cannot.
bool
IsValidAnswer(const wire::CallReply& aFrom)
{
  const bool isAnswered = aFrom.outcome() == static_cast<std::uint32_t>(Outcome::Answered);
  return (!isAnswered || IsFinalStatus(aFrom.status())) &&
         std::all_of(aFrom.headers().begin(), aFrom.headers().end(), [](const auto& aField) {
           return IsValidField(aField.name(), aField.value());
         });
}

Answer
ReadAnswer(const wire::CallReply& aFrom, const Body& aDetachedBody)
{
  if (!IsValidAnswer(aFrom)) {
    return Answer::WithoutContent(Outcome::Unknown, Reason::ConnectionBroken);
  }
  return { .outcome_ = static_cast<Outcome>(aFrom.outcome()),
           .reason_ = static_cast<Reason>(aFrom.reason()),
           .status_ = aFrom.status(),
           .headers_ = ReadHeaders(aFrom.headers()),
           .body_ = aDetachedBody ? aDetachedBody : MakeBody(aFrom.body()),
           .retryAfter_ = FromMicroseconds(aFrom.retry_after_us()) };
}

std::optional<OwnerRoom>
ReadRoom(const wire::CallReply& aFrom)
{
  if (!aFrom.has_admitted_rank()) {
    return std::nullopt;
  }
  return OwnerRoom{ .admittedRank_ = aFrom.admitted_rank(),
                    .admittedShare_ = ReadShare(aFrom.admitted_share()),
                    .roomAfter_ = FromMicroseconds(aFrom.room_after_us()) };
}

std::vector<CalledService>
ReadCalled(const wire::CallReply& aFrom)
{
  std::vector<CalledService> called;
  for (const auto& item : aFrom.called()) {
    if (std::isfinite(item.calls_per_run()) && item.calls_per_run() >= 0) {
      called.push_back({ item.service(), item.calls_per_run() });
    }
  }
  return called;
}

std::optional<Payload>
Read(const wire::CallReply& aFrom, const Body& aDetachedBody)
{
  if (aFrom.outcome() > static_cast<std::uint32_t>(Outcome::Unknown) ||
      aFrom.reason() > static_cast<std::uint32_t>(kLastReason)) {
    return std::nullopt;
  }
  return CallReply{
    .id_ = Read(aFrom.id()),
    .attempt_ = aFrom.attempt(),
    .answer_ = ReadAnswer(aFrom, aDetachedBody),
    .loadReport_ = { aFrom.load(), aFrom.takes_work(), ReadShare(aFrom.saturation()) },
    .queueTime_ = FromMicroseconds(aFrom.queued_us()),
    .instanceTime_ = FromMicroseconds(aFrom.ran_us()),
    .room_ = ReadRoom(aFrom),
    .isCallRoute_ = aFrom.call_route(),
    .called_ = ReadCalled(aFrom)
  };
}

void
Write(const CallCancel& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_call_cancel();
  Write(aFrom.id_, *to.mutable_id());
  to.set_attempt(aFrom.attempt_);
}

Payload
Read(const wire::CallCancel& aFrom)
{
  return CallCancel{ Read(aFrom.id()), aFrom.attempt() };
}

void
Write(const CallOffer& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_call_offer();
  WriteRequest(aFrom.request_, *to.mutable_request(), false);
  to.set_body_bytes(aFrom.bodyBytes_);
}

std::optional<Payload>
Read(const wire::CallOffer& aFrom)
{
  if (aFrom.body_bytes() > kMaxOfferedBytes) {
    return std::nullopt;
  }
  const auto request = Read(aFrom.request(), nullptr);
  return CallOffer{ WithBody(request, nullptr, request.remaining_), aFrom.body_bytes() };
}

void
Write(const ReplyOffer& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_reply_offer();
  Write(aFrom.id_.call_, *to.mutable_id());
  to.set_attempt(aFrom.id_.attempt_);
  to.set_body_bytes(aFrom.bodyBytes_);
}

std::optional<Payload>
Read(const wire::ReplyOffer& aFrom)
{
  if (aFrom.body_bytes() > kMaxOfferedBytes) {
    return std::nullopt;
  }
  return ReplyOffer{ { Read(aFrom.id()), aFrom.attempt() }, aFrom.body_bytes() };
}

void
Write(const BodyGrant& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_body_grant();
  Write(aFrom.id_.attempt_.call_, *to.mutable_id());
  to.set_attempt(aFrom.id_.attempt_.attempt_);
  to.set_reply(aFrom.id_.isReply_);
}

Payload
Read(const wire::BodyGrant& aFrom)
{
  return BodyGrant{ { { Read(aFrom.id()), aFrom.attempt() }, aFrom.reply() } };
}

void
Write(const VersionPull& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_version_pull();
  Write(aFrom.runningVersion_, *to.mutable_have());
  for (const auto& [name, digest] : aFrom.parts_) {
    (*to.mutable_parts())[name] = std::string(digest.Bytes());
  }
}

std::optional<Payload>
Read(const wire::VersionPull& aFrom)
{
  PartDigests parts;
  for (const auto& [name, bytes] : aFrom.parts()) {
    const auto digest = Digest::FromBytes(bytes);
    if (!digest) {
      return std::nullopt;
    }
    parts.emplace(name, *digest);
  }
  return VersionPull{ .runningVersion_ = Read(aFrom.have()), .parts_ = std::move(parts) };
}

void
Write(const VersionPush& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_version_push();
  Write(aFrom.delta_.from_, *to.mutable_from());
  Write(aFrom.delta_.to_, *to.mutable_to());
  for (const auto& [name, bytes] : aFrom.delta_.changed_) {
    (*to.mutable_changed())[name] = *bytes;
  }
  for (const auto& name : aFrom.delta_.removed_) {
    to.add_removed(name);
  }
  to.set_relay(aFrom.relay_);
}

Payload
Read(const wire::VersionPush& aFrom)
{
  std::map<std::string, SharedBytes> changed;
  for (const auto& [name, bytes] : aFrom.changed()) {
    changed.emplace(name, std::make_shared<const std::string>(bytes));
  }
  return VersionPush{ .delta_ = { .from_ = Read(aFrom.from()),
                                  .to_ = Read(aFrom.to()),
                                  .changed_ = std::move(changed),
                                  .removed_ = { aFrom.removed().begin(), aFrom.removed().end() } },
                      .relay_ = aFrom.relay() };
}

void
Write(const Heartbeat& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_heartbeat();
  to.set_wants_reply(aFrom.wantsReply_);
  for (const auto& event : aFrom.events_) {
    auto* item = to.add_events();
    item->set_node(event.node_.Text());
    item->set_incarnation(event.incarnation_);
    item->set_beat(event.refutations_);
    item->set_state(static_cast<std::uint32_t>(event.state_));
  }
  to.set_platform_age_us(Microseconds(aFrom.platformAge_));
  to.set_outside_age_us(Microseconds(aFrom.externalAge_));
}

std::optional<Payload>
Read(const wire::Heartbeat& aFrom)
{
  std::vector<MemberEvent> events;
  for (const auto& item : aFrom.events()) {
    const auto node = NodeAddress::Parse(item.node());
    if (!node || item.state() > static_cast<std::uint32_t>(MemberState::Gone)) {
      return std::nullopt;
    }
    events.push_back({ .node_ = *node,
                       .incarnation_ = item.incarnation(),
                       .refutations_ = item.beat(),
                       .state_ = static_cast<MemberState>(item.state()) });
  }
  return Heartbeat{ .wantsReply_ = aFrom.wants_reply(),
                    .events_ = std::move(events),
                    .platformAge_ = FromMicroseconds(aFrom.platform_age_us()),
                    .externalAge_ = FromMicroseconds(aFrom.outside_age_us()) };
}

void
Write(const LeaseRequest& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_lease_request();
  to.set_team(aFrom.team_);
  to.set_sequence(aFrom.sequence_);
  to.set_wanted(aFrom.requestedTokens_);
  for (const auto& closure : aFrom.closures_) {
    auto* item = to.add_closures();
    item->set_sequence(closure.sequence_);
    item->set_unspent(closure.unused_);
  }
}

Payload
Read(const wire::LeaseRequest& aFrom)
{
  std::vector<LeaseClosure> closures;
  for (const auto& item : aFrom.closures()) {
    closures.push_back({ item.sequence(), item.unspent() });
  }
  return LeaseRequest{ .team_ = aFrom.team(),
                       .sequence_ = aFrom.sequence(),
                       .requestedTokens_ = aFrom.wanted(),
                       .closures_ = std::move(closures) };
}

void
Write(const LeaseGrant& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_lease_grant();
  to.set_team(aFrom.team_);
  to.set_sequence(aFrom.sequence_);
  to.set_tokens(aFrom.tokens_);
  to.set_term_us(Microseconds(aFrom.term_));
  to.set_retry_after_us(Microseconds(aFrom.retryAfter_));
}

Payload
Read(const wire::LeaseGrant& aFrom)
{
  return LeaseGrant{ .team_ = aFrom.team(),
                     .sequence_ = aFrom.sequence(),
                     .tokens_ = aFrom.tokens(),
                     .term_ = FromMicroseconds(aFrom.term_us()),
                     .retryAfter_ = FromMicroseconds(aFrom.retry_after_us()) };
}

void
Write(const TakeoverRequest& aFrom, wire::Envelope& aEnvelope)
{
  aEnvelope.mutable_home_claim()->set_number(aFrom.number_);
}

void
Write(const TakeoverConfirmation& aFrom, wire::Envelope& aEnvelope)
{
  auto& to = *aEnvelope.mutable_home_confirm();
  to.set_number(aFrom.number_);
  for (const auto& node : aFrom.removedNodes_) {
    to.add_former(node.Text());
  }
}

std::optional<Payload>
Read(const wire::HomeConfirm& aFrom)
{
  std::vector<NodeAddress> removedNodes;
  for (const auto& text : aFrom.former()) {
    const auto node = NodeAddress::Parse(text);
    if (!node) {
      return std::nullopt;
    }
    removedNodes.push_back(*node);
  }
  return TakeoverConfirmation{ aFrom.number(), std::move(removedNodes) };
}

void
Write(const LinkAck& /*aFrom*/, wire::Envelope& aEnvelope)
{
  aEnvelope.mutable_link_ack();
}

std::optional<LinkHeader>
ReadLink(const wire::Envelope& aFrom)
{
  if (!aFrom.has_link()) {
    return std::nullopt;
  }
  return LinkHeader{ .confirmed_ = FromMicroseconds(aFrom.link().confirmed_us()),
                     .replacements_ = aFrom.link().replacements() };
}

std::optional<Payload>
ReadPayload(const wire::Envelope& aFrom, const Body& aDetachedBody)
{
  if (aDetachedBody && !aFrom.has_call_request() && !aFrom.has_call_reply()) {
    return std::nullopt;
  }
  switch (aFrom.payload_case()) {
    case wire::Envelope::kCallRequest:
      return Read(aFrom.call_request(), aDetachedBody);
    case wire::Envelope::kCallReply:
      return Read(aFrom.call_reply(), aDetachedBody);
    case wire::Envelope::kCallCancel:
      return Read(aFrom.call_cancel());
    case wire::Envelope::kVersionPull:
      return Read(aFrom.version_pull());
    case wire::Envelope::kVersionPush:
      return Read(aFrom.version_push());
    case wire::Envelope::kHeartbeat:
      return Read(aFrom.heartbeat());
    case wire::Envelope::kLeaseRequest:
      return Read(aFrom.lease_request());
    case wire::Envelope::kLeaseGrant:
      return Read(aFrom.lease_grant());
    case wire::Envelope::kHomeClaim:
      return TakeoverRequest{ aFrom.home_claim().number() };
    case wire::Envelope::kHomeConfirm:
      return Read(aFrom.home_confirm());
    case wire::Envelope::kLinkAck:
      return LinkAck{};
    case wire::Envelope::kCallOffer:
      return Read(aFrom.call_offer());
    case wire::Envelope::kReplyOffer:
      return Read(aFrom.reply_offer());
    case wire::Envelope::kBodyGrant:
      return Read(aFrom.body_grant());
    case wire::Envelope::PAYLOAD_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace
} // namespace impl

Body
FindDetachableBody(const Payload& aPayload)
{
  Body body;
  if (const auto* request = std::get_if<CallRequest>(&aPayload)) {
    body = request->body_;
  } else if (const auto* reply = std::get_if<CallReply>(&aPayload)) {
    body = reply->answer_.body_;
  }
  return body && body->size() >= kMinDetachedBodyBytes ? body : nullptr;
}

void
AppendEnvelope(const Envelope& aEnvelope, BodyPlace aBodyPlace, std::string& aBytes)
{
  wire::Envelope message;
  message.set_sender(aEnvelope.sender_.Text());
  message.set_sender_incarnation(aEnvelope.senderIncarnation_);
  message.set_receiver_incarnation(aEnvelope.receiverIncarnation_);
  impl::Write(aEnvelope.senderVersion_, *message.mutable_announced());
  message.set_sent_at_us(Microseconds(aEnvelope.sentAt_));
  if (aEnvelope.link_) {
    auto& link = *message.mutable_link();
    link.set_confirmed_us(Microseconds(aEnvelope.link_->confirmed_));
    link.set_replacements(aEnvelope.link_->replacements_);
  }
  const bool hasBody =
    aBodyPlace == BodyPlace::Inside || FindDetachableBody(aEnvelope.payload_) == nullptr;
  std::visit(
    [&](const auto& aPayload) {
      if constexpr (requires { impl::Write(aPayload, message, hasBody); }) {
        impl::Write(aPayload, message, hasBody);
      } else {
        impl::Write(aPayload, message);
      }
    },
    aEnvelope.payload_);
  message.set_accepts_frames(true);
  message.set_offer_min_bytes(aEnvelope.offerMinBytes_);
  message.AppendToString(&aBytes);
}

std::string
EncodeEnvelope(const Envelope& aEnvelope)
{
  std::string bytes;
  AppendEnvelope(aEnvelope, BodyPlace::Inside, bytes);
  return bytes;
}

std::optional<DecodedEnvelope>
DecodeWithFeatures(std::string_view aBytes, const Body& aDetachedBody)
{
  wire::Envelope message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return std::nullopt;
  }
  const auto sender = NodeAddress::Parse(message.sender());
  auto payload = impl::ReadPayload(message, aDetachedBody);
  if (!sender || !payload) {
    return std::nullopt;
  }
  return DecodedEnvelope{ .envelope_ = { .sender_ = *sender,
                                         .senderIncarnation_ = message.sender_incarnation(),
                                         .receiverIncarnation_ = message.receiver_incarnation(),
                                         .senderVersion_ = impl::Read(message.announced()),
                                         .sentAt_ = impl::FromMicroseconds(message.sent_at_us()),
                                         .link_ = impl::ReadLink(message),
                                         .offerMinBytes_ = message.offer_min_bytes(),
                                         .payload_ = std::move(*payload) },
                          .acceptsFrames_ = message.accepts_frames() };
}

std::optional<Envelope>
DecodeEnvelope(std::string_view aBytes)
{
  const auto decoded = DecodeWithFeatures(aBytes);
  return decoded ? std::optional(decoded->envelope_) : std::nullopt;
}

std::string
ComputeAuthenticationTag(std::string_view aBytes, std::string_view aPeerKey)
{
  std::string tag(impl::kTagBytes, '\0');
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aPeerKey.data(),
       static_cast<int>(aPeerKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()),
       aBytes.size(),
       reinterpret_cast<unsigned char*>(tag.data()),
       &length);
  return tag;
}

std::string
ComputeAuthenticationTag(std::string_view aFirst,
                         std::string_view aSecond,
                         std::string_view aPeerKey)
{
  // Lives for the process; each fetch searches the providers of the library.
  static EVP_MAC* const mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(EVP_MAC_CTX_new(mac),
                                                                          EVP_MAC_CTX_free);
  std::string digest = "SHA256";
  const std::array parameters{ OSSL_PARAM_construct_utf8_string(
                                 OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
                               OSSL_PARAM_construct_end() };
  const auto bytes = [](std::string_view aPart) {
    return reinterpret_cast<const unsigned char*>(aPart.data());
  };
  std::string tag(impl::kTagBytes, '\0');
  std::size_t length = 0;
  const bool done =
    context != nullptr &&
    EVP_MAC_init(context.get(), bytes(aPeerKey), aPeerKey.size(), parameters.data()) == 1 &&
    EVP_MAC_update(context.get(), bytes(aFirst), aFirst.size()) == 1 &&
    EVP_MAC_update(context.get(), bytes(aSecond), aSecond.size()) == 1 &&
    EVP_MAC_final(
      context.get(), reinterpret_cast<unsigned char*>(tag.data()), &length, tag.size()) == 1;
  return done ? tag : std::string();
}

bool
IsAuthentic(std::string_view aBytes, std::string_view aTag, std::string_view aPeerKey)
{
  return AreEqualTags(aTag, ComputeAuthenticationTag(aBytes, aPeerKey));
}

bool
AreEqualTags(std::string_view aReceived, std::string_view aComputed)
{
  return aReceived.size() == impl::kTagBytes && aComputed.size() == impl::kTagBytes &&
         CRYPTO_memcmp(aReceived.data(), aComputed.data(), impl::kTagBytes) == 0;
}

} // namespace geraniumpin
