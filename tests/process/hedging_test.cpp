#define BOOST_TEST_MODULE hedging
#include "../support/fake_mesh.hpp"

#include <boost/test/included/unit_test.hpp>
#include <map>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

constexpr DocumentOptions kOneDomain{ .domains_ = 1, .nodesPerDomain_ = 4 };
const NodeAddress kEntry = NodeAt(1, 1);
const std::string kSlowInstance = "orders-1-2"; ///< at NodeAt(1, 2)

/// A mesh whose nodes hedge, and the lookups that one of them gets.
struct HedgingMesh
{
  explicit HedgingMesh(double aRatio)
  {
    mesh_.configure_ = [aRatio](SettingsBuilder& aBuilder) {
      aBuilder.HedgeRatio(aRatio).RetryRatio(0.2);
    };
    StartAll(mesh_, kOneDomain);
    mesh_.serviceTime_ = milliseconds(20);
    SendLookups(200); // the response times become known, and the budget is full
    mesh_.runs_.clear();
    ids_.clear();
  }

  void SendLookups(int aCount, const std::string& aBody = "")
  {
    for (int i = 0; i < aCount; ++i) {
      ids_.push_back(mesh_.Call(kEntry, "", "GET", "/public/x", aBody));
      mesh_.Run(milliseconds(10));
    }
    mesh_.Run(milliseconds(1500));
  }

  /// Makes the instance of a node slow.
  void Slow(const NodeAddress& aNode, milliseconds aTime)
  {
    mesh_.getServiceTime_ = [=](const NodeAddress& aAt) -> Duration {
      return aAt == aNode ? aTime : milliseconds(20);
    };
  }

  [[nodiscard]] std::size_t CountAnswered() const
  {
    return static_cast<std::size_t>(std::count_if(ids_.begin(), ids_.end(), [&](const CallId& aId) {
      const auto found = mesh_.answers_.find(aId);
      return found != mesh_.answers_.end() && found->second.outcome_ == Outcome::Answered &&
             found->second.status_ == 200;
    }));
  }

  [[nodiscard]] std::size_t MaxRuns() const
  {
    std::size_t most = 0;
    for (const auto& id : ids_) {
      most = std::max(most, mesh_.CountRuns(id));
    }
    return most;
  }

  FakeMesh mesh_{ 1 };
  std::vector<CallId> ids_;
};

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_hedged_unless_the_settings_allow_it)
{
  HedgingMesh hedging(0);
  hedging.Slow(NodeAt(1, 2), milliseconds(400));
  hedging.SendLookups(100);
  BOOST_TEST(hedging.mesh_.runs_.size() == 100U);
}

// Load pattern "one slow instance": some late requests are answered by another instance, and the
// slow one is told to stop.
BOOST_AUTO_TEST_CASE(late_requests_are_sent_to_a_second_instance_within_the_share)
{
  HedgingMesh hedging(0.2);
  hedging.Slow(NodeAt(1, 2), milliseconds(400));
  hedging.SendLookups(100);
  const auto hedged = hedging.mesh_.runs_.size() - 100;
  BOOST_TEST(hedged > 0U);
  BOOST_TEST(hedged <= 0.2 * 100 + HedgeBudget::kMaxBurst);
  BOOST_TEST(hedging.mesh_.CountCancelled() > 0U);
  BOOST_TEST(hedging.CountAnswered() == 100U);
  BOOST_TEST(hedging.MaxRuns() <= 2U);
}

// Load pattern "all slow": second attempts would double the load when there is no capacity.
BOOST_AUTO_TEST_CASE(few_requests_are_hedged_while_all_instances_are_slow)
{
  HedgingMesh hedging(0.05);
  hedging.mesh_.getServiceTime_ = [](const NodeAddress&) -> Duration { return milliseconds(200); };
  hedging.SendLookups(200);
  BOOST_TEST(hedging.mesh_.runs_.size() <= 200 * 1.05 + HedgeBudget::kMaxBurst);
}

BOOST_AUTO_TEST_CASE(requests_with_a_body_are_not_hedged)
{
  HedgingMesh hedging(0.2);
  hedging.Slow(NodeAt(1, 2), milliseconds(400));
  hedging.SendLookups(50, "body");
  BOOST_TEST(hedging.MaxRuns() == 1U);
}

// Cancel race "the second attempt fails first": its 500 must not end the first attempt.
BOOST_AUTO_TEST_CASE(a_failed_second_attempt_leaves_the_first_one_in_progress)
{
  HedgingMesh hedging(0.2);
  hedging.Slow(NodeAt(1, 2), milliseconds(300));
  hedging.mesh_.getStatus_ = [&](const NodeAddress& aNode) {
    return aNode == NodeAt(1, 2) ? 200 : 500;
  };
  hedging.SendLookups(20);
  std::size_t atSlowInstance = 0;
  for (const auto& request : hedging.mesh_.backendRequests_) {
    const auto answer = hedging.mesh_.answers_.find(request.id_.call_);
    if (request.instance_ == kSlowInstance && request.id_.attempt_ == 1) {
      BOOST_REQUIRE(answer != hedging.mesh_.answers_.end());
      BOOST_TEST(answer->second.status_ == 200);
      ++atSlowInstance;
    }
  }
  BOOST_TEST(atSlowInstance > 0U);
  BOOST_TEST(hedging.MaxRuns() <= 2U);
  BOOST_TEST(hedging.CountAnswered() > 0U);
}

// Cancel race "both answer": the caller gets one answer, and a late second one has no effect.
BOOST_AUTO_TEST_CASE(each_caller_gets_one_answer_over_lossy_links)
{
  HedgingMesh hedging(0.2);
  hedging.Slow(NodeAt(1, 2), milliseconds(60));
  hedging.mesh_.faults_ = { .lossProbability_ = 0.05, .duplicationProbability_ = 0.05 };
  hedging.SendLookups(300);
  for (const auto& id : hedging.ids_) {
    BOOST_REQUIRE(hedging.mesh_.answers_.contains(id));
  }
  BOOST_TEST(hedging.MaxRuns() <= kDefaultAttempts);
}
