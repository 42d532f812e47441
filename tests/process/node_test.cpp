#define BOOST_TEST_MODULE node
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

constexpr DocumentShape kSmall{ .domains_ = 2, .nodesPerDomain_ = 2 };

bool
HasLine(const std::vector<std::string>& aLines, const std::string& aText)
{
  return std::any_of(aLines.begin(), aLines.end(), [&](const std::string& aLine) {
    return aLine.find(aText) != std::string::npos;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_is_answered_once_by_a_backend_server_that_sees_no_key)
{
  FakeLinks links(1);
  StartAll(links, kSmall);
  const auto id = links.Call(NodeAt(1, 1), "small");
  links.Run(milliseconds(500));
  BOOST_TEST(links.answers_.contains(id));
  BOOST_TEST((links.answers_.at(id).outcome_ == Outcome::Answered));
  BOOST_TEST(*links.answers_.at(id).body_ == "answer to " + ToString(id));
  BOOST_TEST(links.RunsOf(id) == 1U);
  BOOST_TEST(HasLine(links.LogOf(NodeAt(1, 1)), "event=route call=" + ToString(id)));
  for (const auto& line : links.LogOf(NodeAt(1, 1))) {
    BOOST_TEST(line.find("key-small") == std::string::npos);
  }
}

// Seen on a simulated machine that charges no processor time: a third of the requests hung, because
// the owner took those of one node for repeated messages of another one.
BOOST_AUTO_TEST_CASE(calls_of_nodes_that_started_at_the_same_instant_are_told_apart)
{
  FakeLinks links(1);
  links.startTogether_ = true;
  StartAll(links, kSmall);
  std::vector<CallId> ids;
  for (int round = 0; round < 10; ++round) {
    for (const auto& node : { NodeAt(1, 1), NodeAt(1, 2), NodeAt(2, 1), NodeAt(2, 2) }) {
      ids.push_back(links.Call(node, "small"));
    }
    links.Run(milliseconds(300));
  }
  for (const auto& id : ids) {
    BOOST_REQUIRE(links.answers_.contains(id));
    BOOST_TEST((links.answers_.at(id).outcome_ == Outcome::Answered));
  }
  BOOST_TEST(links.runs_.size() == ids.size());
}

BOOST_AUTO_TEST_CASE(a_call_without_or_with_a_wrong_key_does_not_run)
{
  FakeLinks links(2);
  StartAll(links, kSmall);
  const auto none = links.Call(NodeAt(1, 1), "");
  const auto wrong = links.Call(NodeAt(1, 1), "stranger");
  links.Run(milliseconds(500));
  BOOST_TEST((links.answers_.at(none).reason_ == Reason::KeyMissing));
  BOOST_TEST((links.answers_.at(wrong).reason_ == Reason::KeyUnknown));
  BOOST_TEST(links.runs_.empty());
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_stops_at_an_owner_that_knows_before_the_entry_node)
{
  FakeLinks links(3);
  StartAll(links, { .domains_ = 2, .nodesPerDomain_ = 1 });
  auto document = MakeDocument({ .domains_ = 2, .nodesPerDomain_ = 1, .version_ = 2 });
  const auto withdrawn = document["keys"][0]["team"].get<std::string>();
  document["keys"].erase(0);
  document["failure_domains"][0]["in_service"] = false;
  // The entry node in zone-1 hears nothing, but its requests still reach the owner in zone-2.
  links.platformDown_ = true;
  const auto entry = NodeAt(1, 1);
  const auto owner = NodeAt(2, 1);
  links.isCut_ = [&](const NodeAddress&, const NodeAddress& aTo) { return aTo == entry; };
  links.At(owner).OnEnvelope({ .sender_ = NodeAt(9, 9),
                               .senderIncarnation_ = 1,
                               .receiverIncarnation_ = 0,
                               .announced_ = IdOf(Encode(document).manifest_),
                               .payload_ = VersionPush{ FullDelta(Encode(document)), false } });
  BOOST_TEST(links.At(owner).Status().version_.number_ == 2U);
  for (int i = 0; i < 20; ++i) {
    links.Call(entry, "small", "GET");
    links.Run(milliseconds(50));
  }
  for (const auto& request : links.backendRequests_) {
    // Only calls that the entry node owned itself.
    BOOST_TEST(request.id_.call_.origin_ == OriginOf(NodeAt(1, 1), 1));
  }
  BOOST_TEST(links.At(entry).Status().version_.number_ == 1U);
  links.At(owner).OnEnvelope(
    { .sender_ = entry,
      .senderIncarnation_ = 1,
      .receiverIncarnation_ = 0,
      .announced_ = links.At(entry).Status().version_,
      .payload_ = CallRequest{ .id_ = { 1, 1000 },
                               .attempt_ = 1,
                               .route_ = "lookup",
                               .team_ = withdrawn,
                               .keyDigest_ = Digest::Of("key-" + withdrawn),
                               .method_ = "GET",
                               .path_ = "/orders/1",
                               .headers_ = {},
                               .body_ = {},
                               .idempotencyKey_ = {},
                               .remaining_ = milliseconds(500) } });
  links.Run(milliseconds(50));
  BOOST_TEST(links.RunsOf({ 1, 1000 }) == 0U);
  BOOST_TEST(!HasLine(links.LogOf(owner), "event=admission"));
}

BOOST_AUTO_TEST_CASE(a_repeated_or_misdirected_request_runs_at_most_once)
{
  FakeLinks links(4);
  StartAll(links, kSmall);
  const auto owner = NodeAt(1, 1);
  const auto& status = links.At(owner).Status();
  const auto request = [&](std::uint64_t aSequence, std::uint64_t aReceiver) {
    return Envelope{ .sender_ = NodeAt(2, 1),
                     .senderIncarnation_ = 1000,
                     .receiverIncarnation_ = aReceiver,
                     .announced_ = status.version_,
                     .payload_ = CallRequest{ .id_ = { 1000, aSequence },
                                              .attempt_ = 1,
                                              .route_ = "order",
                                              .service_ = "orders",
                                              .team_ = "small",
                                              .keyDigest_ = Digest::Of("key-small"),
                                              .method_ = "POST",
                                              .path_ = "/orders/1",
                                              .headers_ = {},
                                              .body_ = {},
                                              .idempotencyKey_ = {},
                                              .remaining_ = milliseconds(500) } };
  };
  links.At(owner).OnEnvelope(request(1, status.incarnation_));
  links.At(owner).OnEnvelope(request(1, status.incarnation_));
  links.Run(milliseconds(100));
  links.At(owner).OnEnvelope(request(1, status.incarnation_));
  links.Run(milliseconds(100));
  BOOST_TEST(links.RunsOf({ 1000, 1 }) == 1U);

  links.At(owner).OnEnvelope(request(2, status.incarnation_ + 1)); // for a later incarnation
  links.Run(milliseconds(100));
  BOOST_TEST(links.RunsOf({ 1000, 2 }) == 0U);

  links.At(owner).OnEnvelope({ .sender_ = NodeAt(2, 1),
                               .senderIncarnation_ = 1000,
                               .receiverIncarnation_ = 0,
                               .announced_ = status.version_,
                               .payload_ = CallCancel{ { 1000, 3 }, 1 } });
  links.At(owner).OnEnvelope(request(3, status.incarnation_)); // crossed with its cancellation
  links.Run(milliseconds(100));
  BOOST_TEST(links.RunsOf({ 1000, 3 }) == 0U);
}

BOOST_AUTO_TEST_CASE(not_run_is_true_and_no_report_runs_twice_over_faulty_links)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeLinks links(seed);
    const auto nodes =
      StartAll(links, { .domains_ = 3, .nodesPerDomain_ = 2, .rate_ = 2000, .burst_ = 2000 });
    links.faults_ = { .loss_ = 0.05, .duplication_ = 0.1, .lateness_ = 0.05 };
    std::vector<CallId> ids;
    for (int i = 0; i < 400; ++i) {
      ids.push_back(links.Call(nodes[DrawIndex(links.random_, nodes.size())], "large"));
      links.Run(milliseconds(3));
      if (i % 100 == 50) {
        const auto& victim = nodes[DrawIndex(links.random_, nodes.size())];
        links.Freeze(victim);
        links.At(milliseconds(700), [&links, victim] { links.Thaw(victim); });
      }
    }
    links.Run(std::chrono::seconds(6));
    std::size_t answered = 0;
    for (const auto& id : ids) {
      BOOST_TEST(links.answers_.contains(id), "seed " << seed);
      const auto& answer = links.answers_.at(id);
      const auto runs = links.RunsOf(id);
      BOOST_TEST(runs <= 1U, "seed " << seed << " call " << ToString(id));
      BOOST_TEST((answer.outcome_ != Outcome::NotRun || runs == 0),
                 "seed " << seed << " not run but ran " << ToString(id));
      BOOST_TEST(
        (answer.outcome_ != Outcome::Answered || *answer.body_ == "answer to " + ToString(id)));
      answered += answer.outcome_ == Outcome::Answered ? 1 : 0;
    }
    BOOST_TEST(answered > ids.size() / 2, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_draining_node_refuses_new_work_and_finishes_what_runs)
{
  FakeLinks links(5);
  StartAll(links, { .domains_ = 1, .nodesPerDomain_ = 1 });
  links.serviceTime_ = milliseconds(50);
  const auto running = links.Call(NodeAt(1, 1), "small");
  links.Run(milliseconds(5));
  links.At(NodeAt(1, 1)).BeginDrain();
  const auto late = links.Call(NodeAt(1, 1), "small");
  BOOST_TEST(!links.At(NodeAt(1, 1)).IsIdle());
  links.Run(milliseconds(200));
  BOOST_TEST((links.answers_.at(running).outcome_ == Outcome::Answered));
  BOOST_TEST((links.answers_.at(late).reason_ == Reason::Draining));
  BOOST_TEST(links.At(NodeAt(1, 1)).IsIdle());
}

BOOST_AUTO_TEST_CASE(a_draining_entry_serves_through_others_until_its_intake_ends)
{
  FakeLinks links(14);
  StartAll(links, kSmall);
  links.At(NodeAt(1, 1)).BeginDrain();
  const auto served = links.Call(NodeAt(1, 1), "", "GET", "/public/x");
  links.Run(milliseconds(200));
  BOOST_TEST((links.answers_.at(served).outcome_ == Outcome::Answered));
  links.serviceTime_ = milliseconds(100);
  const auto running = links.Call(NodeAt(1, 1), "", "GET", "/public/x");
  links.Run(milliseconds(10));
  links.At(NodeAt(1, 1)).EndIntake();
  const auto late = links.Call(NodeAt(1, 1), "", "GET", "/public/x");
  links.Run(milliseconds(300));
  BOOST_TEST((links.answers_.at(running).outcome_ == Outcome::Answered));
  BOOST_TEST((links.answers_.at(late).reason_ == Reason::Draining));
  BOOST_TEST(links.RunsOf(late) == 0U);
}

BOOST_AUTO_TEST_CASE(a_call_token_works_on_its_node_while_its_request_runs)
{
  FakeLinks links(6);
  StartAll(links, { .domains_ = 1, .nodesPerDomain_ = 1 });
  links.serviceTime_ = milliseconds(100);
  links.Call(NodeAt(1, 1), "small");
  links.Run(milliseconds(10));
  BOOST_REQUIRE(links.backendRequests_.size() == 1U);
  const auto token = links.backendRequests_.front().callToken_;
  const auto callOn = [&](std::uint64_t aSequence) {
    links.At(NodeAt(1, 1))
      .OnCall({ .id_ = { 77, aSequence },
                .method_ = "GET",
                .path_ = "/orders/2",
                .headers_ = {},
                .body_ = {},
                .key_ = {},
                .callToken_ = token,
                .idempotencyKey_ = {},
                .arrivedAt_ = links.clock_.Now(),
                .timeout_ = {} });
  };
  callOn(1);
  links.Run(milliseconds(400));
  BOOST_TEST((links.answers_.at({ 77, 1 }).outcome_ == Outcome::Answered));
  callOn(2);
  BOOST_TEST((links.answers_.at({ 77, 2 }).reason_ == Reason::TokenUnknown));
}

BOOST_AUTO_TEST_CASE(a_failure_domain_that_returns_is_given_work_step_by_step)
{
  FakeLinks links(7);
  DocumentShape shape{ .domains_ = 1, .nodesPerDomain_ = 1, .rate_ = 2000, .burst_ = 2000 };
  StartAll(links, shape);
  const auto node = NodeAt(1, 1);
  for (int i = 0; i < 1000; ++i) {
    links.Call(node, "large", "GET");
    links.Run(milliseconds(2));
  }
  BOOST_TEST(links.At(node).Status().concurrencyLimit_ > 2);
  auto document = MakeDocument(shape);
  for (const bool inService : { false, true }) {
    document["version"] = document["version"].get<int>() + 1;
    document["failure_domains"][0]["in_service"] = inService;
    links.Publish(Encode(document));
    links.Run(milliseconds(500));
  }
  BOOST_TEST(links.At(node).Status().version_.number_ == 3U);
  BOOST_TEST(links.At(node).Status().concurrencyLimit_ == 1.0);
}

BOOST_AUTO_TEST_CASE(a_long_request_at_a_quiet_owner_is_not_given_up)
{
  FakeLinks links(11);
  StartAll(links, kSmall);
  links.serviceTime_ = milliseconds(600); // no other traffic: the owner has nothing else to say
  for (int i = 0; i < 12; ++i) {
    const auto id = links.Call(NodeAt(1, 1), "small", i % 2 == 0 ? "GET" : "POST");
    links.Run(milliseconds(900));
    BOOST_REQUIRE(links.answers_.contains(id));
    BOOST_TEST((links.answers_.at(id).outcome_ == Outcome::Answered));
    BOOST_TEST(links.RunsOf(id) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(an_answered_question_says_nothing_about_a_later_request)
{
  FakeLinks links(13);
  StartAll(links, { .domains_ = 2, .nodesPerDomain_ = 1 });
  // The first request ends after its owner was asked for a sign of life, before the next look.
  for (int i = 0; i < 10; ++i) {
    links.serviceTime_ = milliseconds(150);
    (void)links.Call(NodeAt(1, 1), "", "GET", "/public/x");
    links.Run(milliseconds(400));
    links.serviceTime_ = milliseconds(600);
    const auto id = links.Call(NodeAt(1, 1), "", "GET", "/public/x");
    links.Run(milliseconds(900));
    BOOST_TEST((links.answers_.at(id).outcome_ == Outcome::Answered));
    BOOST_TEST(links.RunsOf(id) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_leaves_a_dead_owner_long_before_its_deadline)
{
  FakeLinks links(12);
  const auto nodes = StartAll(links, kSmall);
  std::size_t answered = 0;
  for (const auto& node : nodes) {
    if (node != NodeAt(1, 1)) {
      links.Freeze(node);
    }
  }
  std::vector<CallId> ids;
  for (int i = 0; i < 8; ++i) {
    ids.push_back(links.Call(NodeAt(1, 1), "", "GET", "/public/x"));
    links.Run(milliseconds(400));
    answered += links.answers_.contains(ids.back()) &&
                    links.answers_.at(ids.back()).outcome_ == Outcome::Answered
                  ? 1
                  : 0;
  }
  BOOST_TEST(answered >= ids.size() - 1);
}

// Load pattern "instance that hangs": it takes requests and answers none, so their callers leave.
BOOST_AUTO_TEST_CASE(work_that_is_cancelled_long_after_its_usual_time_counts_against_the_instance)
{
  FakeLinks links(7);
  StartAll(links, { .domains_ = 1, .nodesPerDomain_ = 1 });
  const auto node = NodeAt(1, 1);
  for (int i = 0; i < 60; ++i) {
    for (int together = 0; together < 3; ++together) {
      links.Call(node, "small");
    }
    links.Run(milliseconds(50));
  }
  const auto limit = [&] { return links.At(node).Status().concurrencyLimit_; };
  const auto warm = limit();
  BOOST_REQUIRE(warm > 2);
  links.serviceTime_ = std::chrono::seconds(10);
  const auto leaveAfter = [&](milliseconds aTime) {
    const auto id = links.Call(node, "small");
    links.Run(aTime);
    links.At(node).OnCallerGone(id);
    links.Run(milliseconds(10));
  };
  leaveAfter(milliseconds(4)); // within the usual time
  BOOST_TEST(limit() == warm);
  leaveAfter(milliseconds(100));
  BOOST_TEST(limit() < warm);
}

// Load pattern "held up link": the caller has left by the time its request comes through.
BOOST_AUTO_TEST_CASE(a_request_that_was_held_up_beyond_its_deadline_does_not_run)
{
  FakeLinks links(8);
  StartAll(links, kSmall);
  const auto entry = NodeAt(1, 1);
  const auto owner = NodeAt(2, 1);
  for (int i = 0; i < 40; ++i) { // the usual way between the two becomes known
    links.Call(entry, "small");
    links.Run(milliseconds(50));
  }
  const auto request = [&](std::uint64_t aSequence, Duration aRemaining, milliseconds aLate) {
    const auto& version = links.At(owner).Status();
    return Envelope{ .sender_ = entry,
                     .senderIncarnation_ = 1,
                     .receiverIncarnation_ = 0,
                     .announced_ = { version.revision_, version.version_.digest_ },
                     .sentAt_ = links.clock_.Now().time_since_epoch() - aLate,
                     .payload_ = CallRequest{ .id_ = { 77, aSequence },
                                              .attempt_ = 1,
                                              .route_ = "order",
                                              .service_ = "orders",
                                              .team_ = "small",
                                              .keyDigest_ = Digest::Of("key-small"),
                                              .method_ = "POST",
                                              .path_ = "/orders/1",
                                              .body_ = MakeBody(""),
                                              .remaining_ = aRemaining,
                                              .patience_ = aRemaining } };
  };
  links.At(owner).OnEnvelope(request(1, milliseconds(400), milliseconds(600)));
  links.At(owner).OnEnvelope(request(2, milliseconds(400), milliseconds(5)));
  links.Run(milliseconds(300));
  BOOST_TEST(links.RunsOf({ 77, 1 }) == 0U);
  BOOST_TEST(links.RunsOf({ 77, 2 }) == 1U);
}
