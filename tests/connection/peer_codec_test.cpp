#define BOOST_TEST_MODULE peer_codec
#include "../../src/adapters/connection/peer_codec.hpp"
#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

const VersionId kVersion{ { .document_ = 3, .era_ = 2, .revision_ = 7, .interim_ = 2 },
                          Digest::Compute("seven") };

Envelope
Wrap(Payload aPayload)
{
  return { .sender_ = NodeAt(1, 1),
           .senderIncarnation_ = 5,
           .receiverIncarnation_ = 6,
           .senderVersion_ = kVersion,
           .payload_ = std::move(aPayload) };
}

std::vector<Payload>
Samples()
{
  return { CallRequest{ .id_ = { 1, 2 },
                        .attempt_ = 3,
                        .route_ = "r",
                        .team_ = "t",
                        .keyDigest_ = Digest::Compute("k"),
                        .method_ = "POST",
                        .path_ = "/p",
                        .headers_ = { { "a", "b" } },
                        .body_ = MakeBody("body"),
                        .idempotencyKey_ = "once",
                        .remaining_ = milliseconds(9) },
           CallReply{ .id_ = { 1, 2 },
                      .attempt_ = 3,
                      .answer_ = { Outcome::Answered, Reason::None, 200, {}, MakeBody("x") },
                      .loadReport_ = { 0.5, false } },
           CallCancel{ { 1, 2 }, 3 },
           VersionPull{ { { .revision_ = 7 }, Digest::Compute("seven") },
                        { { "teams", Digest::Compute("t") } } },
           VersionPush{ MakeFullDelta(Encode(MakeDocument({}))), true },
           Heartbeat{ true,
                      { { NodeAt(1, 2), 4, 5, MemberState::Suspect } },
                      milliseconds(1),
                      milliseconds(2) },
           LeaseRequest{ "t", 1, 2, { { 3, 4 } } },
           LeaseGrant{ "t", 1, 2, milliseconds(3), milliseconds(4) },
           TakeoverRequest{ 1 },
           TakeoverConfirmation{ 2, { NodeAt(1, 3) } },
           LinkAck{},
           CallOffer{ { .id_ = { 1, 2 }, .attempt_ = 3, .route_ = "r", .rank_ = 4 }, 60'000 },
           ReplyOffer{ { { 1, 2 }, 3 }, 60'000 },
           BodyGrant{ { { { 1, 2 }, 3 }, true } } };
}

} // namespace

BOOST_AUTO_TEST_CASE(every_message_is_read_back_as_it_was)
{
  for (const auto& payload : Samples()) {
    const auto bytes = EncodeEnvelope(Wrap(payload));
    const auto decoded = DecodeEnvelope(bytes);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->payload_.index() == payload.index());
    BOOST_TEST((decoded->sender_ == NodeAt(1, 1)));
    BOOST_TEST((decoded->senderVersion_ == kVersion));
    // Map fields may be written in any order, so the sizes are compared, not the bytes.
    BOOST_TEST(EncodeEnvelope(*decoded).size() == bytes.size());
  }
}

// Nodes of two releases run side by side while a new one is deployed.
BOOST_AUTO_TEST_CASE(a_version_of_an_earlier_release_has_neither_document_nor_era)
{
  // number and digest, as the release before encoded them
  const auto encode = [](const VersionId& aId) {
    return "\x08" + std::string(1, static_cast<char>(aId.number_.revision_)) + "\x12\x20" +
           std::string(aId.digest_.Bytes().begin(), aId.digest_.Bytes().end());
  };
  const VersionId earlier{ { .revision_ = 7 }, Digest::Compute("seven") };
  const auto newFields = std::string("\x18\x03\x20\x02\x28\x02", 6); // document, era, interim
  const auto bytes = EncodeEnvelope(Wrap(TakeoverRequest{ 1 }));
  const auto body = encode(kVersion) + newFields;
  // An earlier decoder skips the new fields, which come after what it knows.
  const auto at = bytes.find(static_cast<char>(body.size()) + body);
  BOOST_REQUIRE(at != std::string::npos);
  auto older = bytes;
  older.replace(at, 1 + body.size(), static_cast<char>(encode(earlier).size()) + encode(earlier));
  const auto decoded = DecodeEnvelope(older);
  BOOST_REQUIRE(decoded);
  BOOST_TEST((decoded->senderVersion_ == earlier));
}

BOOST_AUTO_TEST_CASE(a_link_header_is_read_back_and_may_be_absent)
{
  const LinkHeader header{ .confirmed_ = milliseconds(1234), .replacements_ = 5 };
  const Envelope message{ .sender_ = NodeAt(1, 1),
                          .senderIncarnation_ = 5,
                          .receiverIncarnation_ = 6,
                          .senderVersion_ = {},
                          .link_ = header,
                          .payload_ = LinkAck{} };
  const auto decoded = DecodeEnvelope(EncodeEnvelope(message));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((decoded->link_ == header));
  BOOST_TEST(!DecodeEnvelope(EncodeEnvelope(Wrap(LinkAck{})))->link_);
}

BOOST_AUTO_TEST_CASE(an_offer_is_read_back_and_its_size_is_bounded)
{
  const Envelope sent{ .sender_ = NodeAt(1, 1),
                       .offerMinBytes_ = 16'384,
                       .payload_ = CallOffer{ { .route_ = "r", .rank_ = 4 }, 60'000 } };
  const auto read = DecodeEnvelope(EncodeEnvelope(sent));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read->offerMinBytes_ == 16'384U);
  const auto& offer = std::get<CallOffer>(read->payload_);
  BOOST_TEST(offer.bodyBytes_ == 60'000U);
  BOOST_TEST(offer.request_.rank_ == 4U);
  BOOST_TEST((offer.request_.body_ == nullptr));
  BOOST_TEST(DecodeEnvelope(EncodeEnvelope(Wrap(LinkAck{})))->offerMinBytes_ == 0U);
  const std::uint64_t tooLarge = std::uint64_t{ 1 } << 41U;
  BOOST_TEST(!DecodeEnvelope(EncodeEnvelope(Wrap(CallOffer{ {}, tooLarge }))));
  BOOST_TEST(!DecodeEnvelope(EncodeEnvelope(Wrap(ReplyOffer{ {}, tooLarge }))));
}

// A node of an earlier release refuses frames, and its messages do not have the field.
BOOST_AUTO_TEST_CASE(a_message_states_that_its_sender_accepts_frames)
{
  const auto bytes = EncodeEnvelope(Wrap(TakeoverRequest{ 1 }));
  const auto decoded = DecodeWithFeatures(bytes);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->acceptsFrames_);
  // The field is number 7, a varint.
  const auto at = bytes.find(std::string("\x38\x01", 2));
  BOOST_REQUIRE(at != std::string::npos);
  const auto older = DecodeWithFeatures(std::string(bytes).erase(at, 2));
  BOOST_REQUIRE(older);
  BOOST_TEST(!older->acceptsFrames_);
}

// Guards against a node of an earlier release, which states no capacity, being taken for a full
// one.
BOOST_AUTO_TEST_CASE(a_stated_capacity_is_read_back_and_may_be_absent)
{
  const OwnerRoom room{ .admittedRank_ = 3, .admittedShare_ = 0.25, .roomAfter_ = milliseconds(7) };
  const std::vector<CalledService> called{ { "booking", 1.4 } };
  const CallReply reply{
    .id_ = { 1, 2 }, .loadReport_ = { 0.5, true, 0.75 }, .room_ = room, .called_ = called
  };
  const auto decoded = DecodeEnvelope(EncodeEnvelope(Wrap(reply)));
  BOOST_REQUIRE(decoded);
  const auto& read = std::get<CallReply>(decoded->payload_);
  BOOST_TEST((read.room_ == room));
  BOOST_TEST((read.called_ == called));
  BOOST_TEST(read.loadReport_.saturation_ == 0.75);
  const auto older = DecodeEnvelope(EncodeEnvelope(Wrap(CallReply{ .id_ = { 1, 2 } })));
  BOOST_REQUIRE(older);
  BOOST_TEST(!std::get<CallReply>(older->payload_).room_.has_value());
}

BOOST_AUTO_TEST_CASE(the_caller_of_a_request_is_read_back)
{
  const CallRequest request{
    .id_ = { 1, 2 }, .caller_ = 9, .returnedEarly_ = true, .isRepeat_ = true
  };
  const auto decoded = DecodeEnvelope(EncodeEnvelope(Wrap(request)));
  BOOST_REQUIRE(decoded);
  const auto& read = std::get<CallRequest>(decoded->payload_);
  BOOST_TEST(read.caller_ == 9);
  BOOST_TEST(read.returnedEarly_);
  BOOST_TEST(read.isRepeat_);
}

BOOST_AUTO_TEST_CASE(damaged_messages_are_refused_or_read_without_harm)
{
  std::mt19937_64 random(1);
  for (const auto& payload : Samples()) {
    const auto bytes = EncodeEnvelope(Wrap(payload));
    for (int i = 0; i < 500; ++i) {
      auto damaged = bytes;
      auto& byte = damaged[DrawIndex(random, damaged.size())];
      byte = static_cast<char>(byte + 1 + static_cast<int>(DrawIndex(random, 254)));
      damaged.resize(1 + DrawIndex(random, damaged.size()));
      (void)DecodeEnvelope(damaged);
    }
  }
  BOOST_TEST(!DecodeEnvelope(""));
  BOOST_TEST(!DecodeEnvelope("garbage"));
}

// A node of an earlier release passed on answers with a status or a field that HTTP does not allow.
BOOST_AUTO_TEST_CASE(an_answer_that_is_no_http_response_is_read_as_a_broken_exchange)
{
  const auto read = [](int aStatus, const HeaderField& aField, Outcome aOutcome) {
    const Answer answer{ aOutcome, Reason::None, aStatus, { { "a", "b" }, aField }, MakeBody("x") };
    const CallReply reply{
      .id_ = { 1, 2 }, .attempt_ = 3, .answer_ = answer, .loadReport_ = { 0.5 }
    };
    const auto envelope = DecodeEnvelope(EncodeEnvelope(Wrap(reply)));
    BOOST_REQUIRE(envelope);
    return std::get<CallReply>(envelope->payload_);
  };
  const HeaderField good{ "x-good", "\tgood value" };
  const auto expectBroken = [&](int aStatus, const HeaderField& aField, Outcome aOutcome) {
    const auto reply = read(aStatus, aField, aOutcome);
    BOOST_TEST_CONTEXT("status " << aStatus << ", field " << aField.name_)
    {
      BOOST_TEST((reply.answer_.outcome_ == Outcome::Unknown));
      BOOST_TEST((reply.answer_.reason_ == Reason::ConnectionBroken));
      BOOST_TEST(reply.answer_.headers_.empty());
      BOOST_TEST((reply.id_ == CallId{ 1, 2 }));
      BOOST_TEST(reply.loadReport_.load_ == 0.5);
    }
  };
  for (const int status : { -1, 0, 99, 100, 101, 199, 600, 999 }) {
    expectBroken(status, good, Outcome::Answered);
  }
  for (const HeaderField& field : { HeaderField{ "", "v" },
                                    HeaderField{ "x y", "v" },
                                    HeaderField{ "x\1", "v" },
                                    HeaderField{ "x:", "v" },
                                    HeaderField{ "x,y", "v" },
                                    HeaderField{ ",x", "v" },
                                    HeaderField{ "x", "v\r\ny: 1" },
                                    HeaderField{ "x", std::string("v\0", 2) } }) {
    expectBroken(200, field, Outcome::Answered);
    expectBroken(0, field, Outcome::NotRun); // promises nothing
  }
  for (const int status : { 200, 204, 299, 304, 418, 500, 599 }) {
    const auto reply = read(status, good, Outcome::Answered);
    BOOST_TEST((reply.answer_.outcome_ == Outcome::Answered), status);
    BOOST_TEST(reply.answer_.status_ == status);
    BOOST_TEST(reply.answer_.headers_.size() == 2U);
  }
  BOOST_TEST((read(0, good, Outcome::NotRun).answer_.outcome_ == Outcome::NotRun));
}

// Bytes above 127 are allowed in a field value in any encoding. The message was refused if they
// were not UTF-8, so that an answer with them was lost on its way to another node.
BOOST_AUTO_TEST_CASE(a_field_value_that_is_not_utf8_is_read_back)
{
  const HeaderFields fields{ { "x-name", "caf\xe9" } };
  const CallReply reply{ .id_ = { 1, 2 },
                         .attempt_ = 3,
                         .answer_ = {
                           Outcome::Answered, Reason::None, 200, fields, MakeBody("x") } };
  const auto decoded = DecodeEnvelope(EncodeEnvelope(Wrap(reply)));
  BOOST_REQUIRE(decoded);
  const auto& answer = std::get<CallReply>(decoded->payload_).answer_;
  BOOST_TEST((answer.outcome_ == Outcome::Answered));
  BOOST_TEST((answer.headers_ == fields));
}

BOOST_AUTO_TEST_CASE(only_the_shared_key_makes_a_valid_tag)
{
  const auto bytes = EncodeEnvelope(Wrap(TakeoverRequest{ 1 }));
  const auto tag = ComputeAuthenticationTag(bytes, "0123456789abcdef");
  BOOST_TEST(IsAuthentic(bytes, tag, "0123456789abcdef"));
  BOOST_TEST(!IsAuthentic(bytes, tag, "another key, 16 b"));
  BOOST_TEST(!IsAuthentic(bytes + "x", tag, "0123456789abcdef"));
  BOOST_TEST(!IsAuthentic(bytes, tag.substr(1), "0123456789abcdef"));
  BOOST_TEST(!IsAuthentic(bytes, "", "0123456789abcdef"));
}
