#define BOOST_TEST_MODULE link_monitor
#include "../support/documents.hpp"
#include "geraniumpin/connection/link_monitor.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

/// Two nodes with the messages between them, which carry times in microseconds as on the wire; a
/// lost message is one that is not passed on.
struct Fixture
{
  static Envelope Send(LinkMonitor& aLinks,
                       const NodeAddress& aFrom,
                       const NodeAddress& aTo,
                       Payload aPayload,
                       TimePoint aNow)
  {
    const auto header = aLinks.OnSend(aTo, aPayload, aNow);
    return { .sender_ = aFrom,
             .senderIncarnation_ = 1,
             .receiverIncarnation_ = 0,
             .senderVersion_ = {},
             .sentAt_ = std::chrono::floor<std::chrono::microseconds>(aNow.time_since_epoch()),
             .link_ = header,
             .payload_ = std::move(aPayload) };
  }
  Envelope SendFromA(Payload aPayload = Heartbeat{})
  {
    return Send(linksOfA_, a_, b_, std::move(aPayload), now_);
  }
  Envelope SendFromB(Payload aPayload = Heartbeat{})
  {
    return Send(linksOfB_, b_, a_, std::move(aPayload), now_);
  }
  /// A message in each direction, so that both nodes know each other.
  void Meet()
  {
    BOOST_TEST(!linksOfB_.OnMessage(SendFromA(), now_));
    BOOST_TEST(!linksOfA_.OnMessage(SendFromB(), now_));
    BOOST_TEST(!linksOfB_.OnMessage(SendFromA(LinkAck{}), now_));
    now_ += LinkMonitor::kSilenceTimeout;
    BOOST_TEST((linksOfA_.TakeDue(now_) == LinkActions{}));
    BOOST_TEST((linksOfB_.TakeDue(now_) == LinkActions{}));
    BOOST_TEST((linksOfA_.NextDeadline() == TimePoint::max()));
    BOOST_TEST((linksOfB_.NextDeadline() == TimePoint::max()));
  }
  /// Moves the clock to the next deadline of a node and takes what is due.
  LinkActions NextDue(LinkMonitor& aLinks)
  {
    BOOST_REQUIRE((aLinks.NextDeadline() != TimePoint::max()));
    now_ = std::max(now_, aLinks.NextDeadline());
    return aLinks.TakeDue(now_);
  }

  const NodeAddress a_ = NodeAt(1, 1);
  const NodeAddress b_ = NodeAt(1, 2);
  TimePoint now_{ std::chrono::hours(1) + std::chrono::nanoseconds(999) };
  LinkMonitor linksOfA_;
  LinkMonitor linksOfB_;
};

} // namespace

// Guards against links without monitoring: messages on a connection that became silent were lost
// for as long as the link was in use.
BOOST_FIXTURE_TEST_CASE(a_link_without_confirmation_is_silent, Fixture)
{
  Meet();
  const auto sentAt = now_;
  (void)SendFromA();
  const auto due = NextDue(linksOfA_);
  BOOST_REQUIRE(due.silent_.size() == 1U);
  BOOST_TEST((due.silent_.front().peer_ == b_));
  BOOST_TEST((now_ - sentAt == LinkMonitor::kSilenceTimeout));
}

BOOST_FIXTURE_TEST_CASE(a_message_without_answer_is_confirmed_in_time, Fixture)
{
  Meet();
  const auto sentAt = now_;
  BOOST_TEST(!linksOfB_.OnMessage(SendFromA(), now_));
  const auto due = NextDue(linksOfB_);
  BOOST_TEST((due.unconfirmed_ == std::vector{ a_ }));
  BOOST_TEST((now_ - sentAt == LinkMonitor::kConfirmationDelay));
  BOOST_TEST(!linksOfA_.OnMessage(SendFromB(LinkAck{}), now_));
  BOOST_TEST((NextDue(linksOfA_) == LinkActions{}));
  BOOST_TEST((linksOfA_.NextDeadline() == TimePoint::max()));
}

// An idle node must not wake up, and a confirmation must not cause another one.
BOOST_FIXTURE_TEST_CASE(an_answer_confirms_and_needs_no_confirmation, Fixture)
{
  Meet();
  BOOST_TEST(!linksOfB_.OnMessage(SendFromA(CallRequest{}), now_));
  BOOST_TEST(!linksOfA_.OnMessage(SendFromB(CallReply{}), now_));
  BOOST_TEST((NextDue(linksOfA_) == LinkActions{}));
  BOOST_TEST((NextDue(linksOfB_) == LinkActions{}));
  BOOST_TEST((linksOfA_.NextDeadline() == TimePoint::max()));
  BOOST_TEST((linksOfB_.NextDeadline() == TimePoint::max()));
}

// If both connections became silent, the confirmations of the new one are lost on the other.
BOOST_FIXTURE_TEST_CASE(a_peer_replaces_its_connection_once_for_each_replacement, Fixture)
{
  Meet();
  (void)SendFromA();
  BOOST_REQUIRE(NextDue(linksOfA_).silent_.size() == 1U);
  BOOST_TEST(linksOfB_.OnMessage(SendFromA(), now_));
  BOOST_TEST(!linksOfB_.OnMessage(SendFromA(), now_));
  BOOST_TEST(!linksOfA_.OnMessage(SendFromB(LinkAck{}), now_));
  BOOST_TEST(NextDue(linksOfA_).silent_.empty());
}

BOOST_FIXTURE_TEST_CASE(failed_replacements_are_made_less_often, Fixture)
{
  Meet();
  std::vector<Duration> waits;
  int announced = 0;
  for (int i = 0; i < 5; ++i) {
    (void)SendFromA();
    const auto due = NextDue(linksOfA_);
    BOOST_REQUIRE(due.silent_.size() == 1U);
    waits.push_back(due.silent_.front().waited_);
    announced += due.silent_.front().isAnnounced_ ? 1 : 0;
  }
  const std::vector<Duration> expected{ milliseconds(500),
                                        milliseconds(1000),
                                        milliseconds(2000),
                                        milliseconds(2000),
                                        milliseconds(2000) };
  BOOST_TEST((waits == expected));
  BOOST_TEST(announced == LinkMonitor::kMaxAnnouncements);
}

BOOST_FIXTURE_TEST_CASE(links_to_a_restarted_peer_and_to_an_earlier_release_are_not_silent, Fixture)
{
  Meet();
  (void)SendFromA();
  BOOST_TEST(!linksOfA_.OnMessage({ .sender_ = b_,
                                    .senderIncarnation_ = 2,
                                    .receiverIncarnation_ = 0,
                                    .senderVersion_ = {},
                                    .sentAt_ = now_.time_since_epoch(),
                                    .link_ = LinkHeader{},
                                    .payload_ = LinkAck{} },
                                  now_));
  BOOST_TEST(NextDue(linksOfA_).silent_.empty());
  (void)SendFromA();
  BOOST_TEST(!linksOfA_.OnMessage({ .sender_ = b_,
                                    .senderIncarnation_ = 3,
                                    .receiverIncarnation_ = 0,
                                    .senderVersion_ = {},
                                    .sentAt_ = now_.time_since_epoch(),
                                    .link_ = {},
                                    .payload_ = Heartbeat{} },
                                  now_));
  (void)SendFromA();
  now_ += milliseconds(10'000);
  BOOST_TEST(linksOfA_.TakeDue(now_).silent_.empty());
}

BOOST_FIXTURE_TEST_CASE(a_node_that_was_late_itself_waits_once_more, Fixture)
{
  Meet();
  (void)SendFromA();
  now_ += milliseconds(3000);
  BOOST_TEST(linksOfA_.TakeDue(now_).silent_.empty());
  const auto resumedAt = now_;
  BOOST_TEST(NextDue(linksOfA_).silent_.size() == 1U);
  BOOST_TEST((now_ - resumedAt == LinkMonitor::kSilenceTimeout));
}

BOOST_FIXTURE_TEST_CASE(a_late_node_accepts_the_confirmation_that_waited_unread, Fixture)
{
  Meet();
  BOOST_TEST(!linksOfB_.OnMessage(SendFromA(), now_));
  const auto confirmation = SendFromB(LinkAck{});
  now_ += milliseconds(3000);
  BOOST_TEST(linksOfA_.TakeDue(now_).silent_.empty());
  BOOST_TEST(!linksOfA_.OnMessage(confirmation, now_));
  BOOST_TEST((NextDue(linksOfA_) == LinkActions{}));
}

// A replaced connection drops what it has not sent, so an upload would end with it.
BOOST_FIXTURE_TEST_CASE(a_long_message_has_time_for_its_transfer, Fixture)
{
  Meet();
  const auto body = MakeBody(std::string(2 * LinkMonitor::kMinBytesPerSecond, 'x'));
  const auto sentAt = now_;
  (void)SendFromA(CallRequest{ .body_ = body });
  (void)SendFromA();
  BOOST_TEST(NextDue(linksOfA_).silent_.size() == 1U);
  BOOST_TEST((now_ - sentAt == milliseconds(2000) + LinkMonitor::kSilenceTimeout));

  (void)SendFromB(CallReply{ .answer_ = { .body_ = body } });
  BOOST_TEST(!linksOfB_.OnMessage(SendFromA(), now_)); // A's connection, not B's, was replaced
}

// At 300 and more peers most links have no traffic when their connections become silent.
BOOST_FIXTURE_TEST_CASE(a_proven_silence_has_all_other_links_checked_in_steps, Fixture)
{
  constexpr int kPeers = 300;
  for (int i = 0; i < kPeers; ++i) {
    (void)linksOfA_.OnSend(NodeAt(2 + i / 100, 1 + i % 100), LinkAck{}, now_);
  }
  Meet();
  now_ += milliseconds(5000);
  (void)SendFromA();
  BOOST_REQUIRE(NextDue(linksOfA_).silent_.size() == 1U);
  const auto announcement = SendFromA();
  BOOST_TEST(linksOfB_.OnMessage(announcement, now_));
  BOOST_TEST(!linksOfA_.OnMessage(SendFromB(LinkAck{}), now_));
  const auto provenAt = now_;
  std::size_t checked = 0;
  std::size_t largestStep = 0;
  while (checked < kPeers && linksOfA_.NextDeadline() < provenAt + milliseconds(1000)) {
    const auto step = NextDue(linksOfA_).unchecked_.size();
    checked += step;
    largestStep = std::max(largestStep, step);
  }
  BOOST_TEST(checked == std::size_t{ kPeers });
  BOOST_TEST(largestStep <= kPeers / LinkMonitor::kCheckSteps + 1);
  BOOST_TEST((now_ - provenAt <= milliseconds(500)));
}
