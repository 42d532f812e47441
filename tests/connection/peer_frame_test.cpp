#define BOOST_TEST_MODULE peer_frame
#include "../../src/adapters/connection/peer_codec.hpp"
#include "../../src/adapters/connection/peer_frame.hpp"
#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

const std::string kPeerKey = "0123456789abcdef";

Envelope
Message(std::uint64_t aSequence)
{
  return { .sender_ = NodeAt(1, 1),
           .senderIncarnation_ = 5,
           .receiverIncarnation_ = 6,
           .senderVersion_ = {},
           .payload_ = CallCancel{ { 1, aSequence }, 1 } };
}

std::string
MakeFrame(std::uint64_t aMessages)
{
  FrameWriter frame;
  for (std::uint64_t i = 0; i < aMessages; ++i) {
    frame.Append(Message(i));
  }
  return frame.Finish(kPeerKey);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_messages_of_a_frame_are_read_back_in_their_order)
{
  const auto frame = MakeFrame(300);
  const auto messages = ReadFrame(frame, {}, kPeerKey);
  BOOST_REQUIRE(messages);
  BOOST_REQUIRE(messages->size() == 300U);
  for (std::uint64_t i = 0; i < messages->size(); ++i) {
    BOOST_TEST((*messages)[i] == EncodeEnvelope(Message(i)));
  }
}

BOOST_AUTO_TEST_CASE(a_finished_frame_leaves_an_empty_writer)
{
  FrameWriter frame;
  frame.Append(Message(1));
  (void)frame.Finish(kPeerKey);
  BOOST_TEST(frame.Count() == 0U);
  BOOST_TEST(frame.Bytes() == 0U);
}

// Nodes of both releases must tell the two forms apart by the first byte.
BOOST_AUTO_TEST_CASE(a_message_without_a_frame_is_no_frame)
{
  BOOST_TEST(IsFrame(MakeFrame(1)));
  BOOST_TEST(!IsFrame(EncodeEnvelope(Message(1))));
  BOOST_TEST(!DecodeEnvelope(MakeFrame(1)));
}

// Guards against a tag that covers only a part of the frame, and against lengths beyond its end.
BOOST_AUTO_TEST_CASE(a_damaged_frame_is_refused)
{
  const auto frame = MakeFrame(3);
  for (std::size_t i = 0; i < frame.size(); ++i) {
    auto damaged = frame;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    BOOST_TEST(!ReadFrame(damaged, {}, kPeerKey));
    BOOST_TEST(!ReadFrame(frame.substr(0, i), {}, kPeerKey));
  }
  for (const std::string& content : { std::string("\0\1", 2), std::string("\0\2\0\0\0x", 6) }) {
    BOOST_TEST(!ReadFrame(content + ComputeAuthenticationTag(content, kPeerKey), {}, kPeerKey));
  }
}

// Guards against a tag that does not cover the body or the place at which it begins.
BOOST_AUTO_TEST_CASE(the_tag_of_a_frame_covers_a_detached_body)
{
  const auto body = MakeBody(std::string(kMinDetachedBodyBytes, 'b'));
  const Envelope message{ .sender_ = NodeAt(1, 1),
                          .senderIncarnation_ = 5,
                          .receiverIncarnation_ = 6,
                          .senderVersion_ = {},
                          .payload_ = CallRequest{ .id_ = { 1, 2 }, .body_ = body } };
  FrameWriter writer;
  writer.Append(message);
  const auto frame = writer.Finish(kPeerKey, body);
  BOOST_TEST(frame.size() < body->size());
  BOOST_TEST(HasDetachedBody(frame));
  const auto messages = ReadFrame(frame, *body, kPeerKey);
  BOOST_REQUIRE(messages);
  const auto decoded = DecodeWithFeatures(messages->front(), body);
  BOOST_REQUIRE(decoded);
  BOOST_TEST((std::get<CallRequest>(decoded->envelope_.payload_).body_ == body));
  BOOST_TEST(!DecodeWithFeatures(EncodeEnvelope(Message(1)), body));

  auto changed = *body;
  changed.back() = 'c';
  BOOST_TEST(!ReadFrame(frame, changed, kPeerKey));
  BOOST_TEST(!ReadFrame(frame, body->substr(1), kPeerKey));
  BOOST_TEST(!ReadFrame(frame, {}, kPeerKey));
  const auto tagAt = frame.size() - 32;
  const auto moved = frame.substr(0, tagAt) + 'b' + frame.substr(tagAt);
  BOOST_TEST(!ReadFrame(moved, body->substr(1), kPeerKey));
}
