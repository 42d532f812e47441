#define BOOST_TEST_MODULE request_decisions
#include "../support/documents.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/request/retry_policy.hpp"
#include "geraniumpin/request/route_decision.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;
using namespace geraniumpin::test;

BOOST_AUTO_TEST_CASE(a_route_is_decided_by_method_prefix_and_key)
{
  VersionStore store;
  const auto snapshot =
    store.Apply(MakeFullDelta(Encode(MakeDocument({}))), JsonPartCodec{}).value();
  const auto key = Digest::Compute("key-small");
  const auto decide = [&](const std::string& aMethod,
                          const std::string& aPath,
                          const std::optional<Digest>& aKey,
                          ConfigFreshness aFreshness = ConfigFreshness::Current) {
    const auto decision = DecideRoute(snapshot, "", aMethod, aPath, aKey, aFreshness);
    return decision ? std::pair(Reason::None, decision->team_)
                    : std::pair(decision.error(), std::string());
  };
  BOOST_TEST((decide("GET", "/orders/1", key) == std::pair(Reason::None, std::string("small"))));
  BOOST_TEST((decide("GET", "/other", key).first == Reason::NoRoute));
  BOOST_TEST((decide("GET", "/orders/1", std::nullopt).first == Reason::KeyMissing));
  BOOST_TEST((decide("GET", "/orders/1", Digest::Compute("x")).first == Reason::KeyUnknown));
  BOOST_TEST((decide("GET", "/orders/1", key, ConfigFreshness::Expired).first == Reason::CutOff));
  BOOST_TEST(
    (decide("GET", "/public/x", std::nullopt, ConfigFreshness::Expired).first == Reason::None));
  BOOST_TEST((DecideRoute(nullptr, "", "GET", "/", key, ConfigFreshness::Current).error() ==
              Reason::NotReady));
}

BOOST_AUTO_TEST_CASE(a_request_that_is_not_idempotent_is_repeated_only_if_it_did_not_run)
{
  const RetryBudget budget;
  const auto may = [&](Outcome aOutcome,
                       Reason aReason,
                       bool aIdempotent,
                       bool aInTime = true,
                       std::uint32_t aAttempts = 1) {
    return MayRetry({ .outcome_ = aOutcome,
                      .reason_ = aReason,
                      .idempotent_ = aIdempotent,
                      .beforeDeadline_ = aInTime,
                      .attempts_ = aAttempts },
                    budget);
  };
  BOOST_TEST(may(Outcome::NotRun, Reason::Overloaded, false));
  BOOST_TEST(!may(Outcome::Unknown, Reason::ConnectionBroken, false));
  BOOST_TEST(may(Outcome::Unknown, Reason::ConnectionBroken, true));
  BOOST_TEST(!may(Outcome::Answered, Reason::None, true));
  BOOST_TEST(!may(Outcome::NotRun, Reason::KeyUnknown, true));
  BOOST_TEST(!may(Outcome::NotRun, Reason::Overloaded, true, false));
  BOOST_TEST(!may(Outcome::NotRun, Reason::Overloaded, true, true, kMaxAttempts));
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_instance_is_repeated_only_for_idempotent_requests)
{
  const auto may = [](bool aIdempotent, const RetryBudget& aBudget, std::uint32_t aInstances) {
    return MayRetry({ .outcome_ = Outcome::Answered,
                      .failed_ = true,
                      .idempotent_ = aIdempotent,
                      .beforeDeadline_ = true,
                      .attempts_ = aInstances,
                      .instances_ = aInstances,
                      .maxInstances_ = 2 },
                    aBudget);
  };
  RetryBudget exhausted;
  while (exhausted.AllowsRetry()) {
    exhausted = exhausted.AfterRetry();
  }
  BOOST_TEST(may(true, {}, 1));
  BOOST_TEST(!may(false, {}, 1));
  BOOST_TEST(!may(true, {}, 2)); // as many instances as the route allows
  BOOST_TEST(!may(true, exhausted, 1));
}

BOOST_AUTO_TEST_CASE(the_retry_budget_limits_retries_to_a_share_of_requests)
{
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget = budget.AfterRequest();
    if (budget.AllowsRetry()) {
      budget = budget.AfterRetry();
      ++retries;
    }
  }
  BOOST_TEST(retries <= 1000 * RetryBudget::kRetriesPerRequest + RetryBudget::kMaxBurst);
  BOOST_TEST(retries >= 1000 * RetryBudget::kRetriesPerRequest);
}

BOOST_AUTO_TEST_CASE(a_refusal_that_did_not_reach_an_instance_is_retried_without_budget)
{
  RetryBudget budget;
  while (budget.AllowsRetry()) {
    budget = budget.AfterRetry();
  }
  const auto may = [&](Reason aReason, std::uint32_t aAttempts) {
    return MayRetry({ .outcome_ = Outcome::NotRun,
                      .reason_ = aReason,
                      .beforeDeadline_ = true,
                      .attempts_ = aAttempts },
                    budget);
  };
  BOOST_TEST(may(Reason::WrongNode, 1));
  BOOST_TEST(!may(Reason::WrongNode, kMaxAttempts));
  BOOST_TEST(may(Reason::Overloaded, 1));
  BOOST_TEST(!may(Reason::Overloaded, kMaxAttemptsWhenBusy));
  BOOST_TEST(!may(Reason::Shed, 1)); // the instance got it
  BOOST_TEST(may(Reason::InstanceReplaced, 1));
  BOOST_TEST(may(Reason::ServiceNotHere, 1));
}

// Refusals by another instance at the same address were repeated without retry budget.
// Load pattern "instances of a service refuse everywhere": each further attempt costs messages at
// nodes that are short of processor time, and the retry budget.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_from_owner_to_owner_of_a_full_service)
{
  for (const auto reason : { Reason::Overloaded, Reason::DeadlinePassed, Reason::Shed }) {
    const auto mayRetry = [&](bool aHasRoom) {
      return MayRetry({ .outcome_ = Outcome::NotRun,
                        .reason_ = reason,
                        .idempotent_ = true,
                        .beforeDeadline_ = true,
                        .attempts_ = 1,
                        .instances_ = 0,
                        .serviceHasRoom_ = aHasRoom },
                      RetryBudget{});
    };
    BOOST_TEST(mayRetry(true));
    BOOST_TEST(!mayRetry(false));
  }
}

BOOST_AUTO_TEST_CASE(each_result_that_may_have_arrived_at_an_instance_needs_budget_for_a_retry)
{
  struct Row
  {
    Outcome outcome_;
    Reason reason_;
    bool arrived_;
    bool reachedInstance_;
    bool unavailable_;
  };
  const std::vector<Row> rows{
    { Outcome::Answered, Reason::None, true, true, false },
    { Outcome::Unknown, Reason::ConnectionBroken, true, true, false },
    { Outcome::Unknown, Reason::DeadlinePassed, true, true, false },
    { Outcome::Unknown, Reason::PeerSilent, true, true, true },
    { Outcome::NotRun, Reason::Shed, true, true, false },
    { Outcome::NotRun, Reason::Misdirected, true, false, true },
    { Outcome::NotRun, Reason::InstanceReplaced, false, false, true },
    { Outcome::NotRun, Reason::InstanceFailing, false, false, true },
    { Outcome::NotRun, Reason::ConnectFailed, false, false, true },
    { Outcome::NotRun, Reason::WrongNode, false, false, false },
    { Outcome::NotRun, Reason::ServiceNotHere, false, false, false },
    { Outcome::NotRun, Reason::VersionBehind, false, false, false },
    { Outcome::NotRun, Reason::Overloaded, false, false, false },
  };
  RetryBudget exhausted;
  while (exhausted.AllowsRetry()) {
    exhausted = exhausted.AfterRetry();
  }
  for (const auto& row : rows) {
    const RetryInputs inputs{ .outcome_ = row.outcome_,
                              .failed_ = row.outcome_ == Outcome::Answered,
                              .reason_ = row.reason_,
                              .idempotent_ = true,
                              .beforeDeadline_ = true,
                              .attempts_ = 1 };
    BOOST_TEST_CONTEXT(ToString(row.outcome_) << " " << ToString(row.reason_))
    {
      BOOST_TEST(MayHaveArrived(row.outcome_, row.reason_) == row.arrived_);
      BOOST_TEST(MayHaveReachedInstance(row.outcome_, row.reason_) == row.reachedInstance_);
      BOOST_TEST(IsInstanceUnavailable(row.reason_) == row.unavailable_);
      BOOST_TEST(MayRetry(inputs, RetryBudget{}));
      BOOST_TEST(MayRetry(inputs, exhausted) == !row.arrived_);
    }
  }
}

BOOST_AUTO_TEST_CASE(requests_stay_in_the_local_failure_domain_until_it_is_busy)
{
  const BackendServer server{ .name_ = "a", .failureDomain_ = "z", .node_ = {} };
  const auto candidates = [&](double aLocalLoad) {
    return std::vector<Candidate>{ { &server, { aLocalLoad, true }, true },
                                   { &server, { 0.1, true }, false } };
  };
  BOOST_TEST(FilterLocal(candidates(0.5), DecideSpillOver(candidates(0.5), false)).size() == 1U);
  BOOST_TEST(DecideSpillOver(candidates(0.95), false));
  BOOST_TEST(DecideSpillOver(candidates(0.8), true)); // hysteresis
  BOOST_TEST(!DecideSpillOver(candidates(0.8), false));
  BOOST_TEST(!DecideSpillOver(candidates(0.6), true));
}

// Load pattern "instance that fails its work": one such instance among many made its whole failure
// domain send requests to the others, whose bytes are expensive.
BOOST_AUTO_TEST_CASE(one_failing_instance_does_not_make_its_failure_domain_spill_over)
{
  const BackendServer server{ .name_ = "a", .failureDomain_ = "z", .node_ = {} };
  std::vector<Candidate> candidates(4, Candidate{ &server, { 0.4, true }, true });
  candidates.push_back({ &server, { 40, true }, true });
  BOOST_TEST(!DecideSpillOver(candidates, false));
  BOOST_TEST(!DecideSpillOver(candidates, true));
}

BOOST_AUTO_TEST_CASE(the_faster_of_two_equally_loaded_instances_is_chosen)
{
  std::mt19937_64 random(1);
  const BackendServer fast{ .name_ = "fast", .failureDomain_ = "z", .node_ = {} };
  const BackendServer slow{ .name_ = "slow", .failureDomain_ = "z", .node_ = {} };
  const auto choose = [&](double aFastLoad) {
    const std::vector<Candidate> two{ { &fast, { aFastLoad, true }, true, 0.2 },
                                      { &slow, { 0.4, true }, true, 0.6 } };
    return ChooseInstance(two, 0, random)->name_;
  };
  BOOST_TEST(choose(0.4) == "fast");
  BOOST_TEST(choose(0.7) == "fast");
  BOOST_TEST(choose(0.9) == "slow"); // fast, but too loaded
}

BOOST_AUTO_TEST_CASE(a_remote_instance_is_chosen_only_if_its_load_is_lower_by_the_penalty)
{
  std::mt19937_64 random(1);
  const BackendServer near{ .name_ = "near", .failureDomain_ = "z", .node_ = {} };
  const BackendServer far{ .name_ = "far", .failureDomain_ = "y", .node_ = {} };
  const auto choose = [&](double aNearLoad, std::size_t aBodyBytes) {
    const std::vector<Candidate> candidates{ { &near, { aNearLoad, true }, true },
                                             { &far, { 0.2, true }, false } };
    return ChooseInstance(candidates, aBodyBytes, random)->name_;
  };
  BOOST_TEST(choose(0.4, 0) == "near");
  BOOST_TEST(choose(0.9, 0) == "far");
  BOOST_TEST(choose(0.9, kLargeBodyBytes) == "near"); // larger remote penalty
  BOOST_TEST(choose(1.5, kLargeBodyBytes) == "far");
}

BOOST_AUTO_TEST_CASE(the_less_loaded_of_two_is_chosen)
{
  std::mt19937_64 random(1);
  const BackendServer idle{ .name_ = "idle", .failureDomain_ = "z", .node_ = {} };
  const BackendServer busy{ .name_ = "busy", .failureDomain_ = "z", .node_ = {} };
  const std::vector<Candidate> two{ { &idle, { 0.1, true }, true },
                                    { &busy, { 0.9, true }, true } };
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(ChooseInstance(two, 0, random)->name_ == "idle");
  }
  BOOST_TEST(ChooseInstance({}, 0, random) == nullptr);
}
