#define BOOST_TEST_MODULE service_admission
#include "geraniumpin/process/random.hpp"
#include "geraniumpin/process/room_tracker.hpp"
#include "geraniumpin/process/service_admission.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
constexpr std::uint32_t kUrgent = 1;
constexpr std::uint32_t kOther = 2;

NodeAddress
NodeAt(std::size_t aIndex)
{
  return *NodeAddress::Parse("10.0.0." + std::to_string(aIndex) + ":7000");
}

/// Result of one second.
struct Served
{
  double offered_ = 0;
  double sent_ = 0; ///< to the owners
  double admitted_ = 0;

  [[nodiscard]] double WastedShare() const { return sent_ > 0 ? 1 - admitted_ / sent_ : 0; }
};

/// Entry nodes that send requests of two ranks to owners with a fixed capacity, which admit the
/// urgent ones first. Statements reach the entry nodes with the replies.
class Fleet
{
public:
  explicit Fleet(double aCapacityPerSecond)
    : capacity_(aCapacityPerSecond / kOwners)
    , entries_(10)
    , trackers_(kOwners)
  {
  }

  /// Runs a second with these requests, in steps of 10 ms.
  std::map<std::uint32_t, Served> RunSecond(double aUrgent, double aOther)
  {
    std::map<std::uint32_t, Served> result;
    for (int step = 0; step < 100; ++step) {
      now_ += milliseconds(10);
      for (auto& left : left_) {
        left = std::min(left + capacity_ / 100, capacity_ * kQueueSeconds);
      }
      RunStep(kUrgent, aUrgent / 100, result[kUrgent]);
      RunStep(kOther, aOther / 100, result[kOther]);
    }
    return result;
  }

private:
  static constexpr std::size_t kOwners = 10;
  static constexpr double kQueueSeconds = 0.15; ///< of requests that an owner can queue

  void RunStep(std::uint32_t aRank, double aCount, Served& aServed)
  {
    due_[aRank] += aCount;
    for (; due_[aRank] >= 1; due_[aRank] -= 1) {
      aServed.offered_ += 1;
      auto& entry = entries_[DrawIndex(random_, entries_.size())];
      if (!entry.Admits(aRank, DrawFraction(random_), now_)) {
        continue;
      }
      const auto owner = DrawIndex(random_, kOwners);
      const bool isAdmitted = left_[owner] > 0;
      left_[owner] -= isAdmitted ? 1 : 0;
      aServed.sent_ += 1;
      aServed.admitted_ += isAdmitted ? 1 : 0;
      trackers_[owner].Record(aRank, isAdmitted, now_);
      entry.OnRoom(NodeAt(owner), 9, trackers_[owner].Room({}, now_), now_);
    }
  }

  double capacity_;
  TimePoint now_ = kStart;
  std::mt19937_64 random_{ 1 };
  std::vector<ServiceAdmission> entries_;
  std::vector<RoomTracker> trackers_;
  std::map<std::uint32_t, double> due_;
  std::vector<double> left_ = std::vector<double>(kOwners, 0.0);
};

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_states_the_most_urgent_rank_that_it_refuses)
{
  RoomTracker tracker;
  BOOST_TEST((tracker.Room({}, kStart) == OwnerRoom{}));
  for (int i = 0; i < 100; ++i) {
    tracker.Record(kUrgent, true, kStart);
    tracker.Record(kOther, i % 4 == 0, kStart);
  }
  const auto room = tracker.Room(milliseconds(30), kStart);
  BOOST_TEST(room.admittedRank_ == kOther);
  BOOST_TEST(room.admittedShare_ == 0.25, boost::test_tools::tolerance(0.02));
  BOOST_TEST((room.roomAfter_ == milliseconds(30)));
  BOOST_TEST((tracker.Room({}, kStart + std::chrono::seconds(5)) == OwnerRoom{}));
}

BOOST_AUTO_TEST_CASE(everything_is_admitted_without_recent_statements)
{
  ServiceAdmission admission;
  BOOST_TEST(admission.Admits(kOther, 0.99, kStart));
  admission.OnRoom(NodeAt(1), 9, { .admittedRank_ = kUrgent, .admittedShare_ = 0 }, kStart);
  BOOST_TEST(!admission.Admits(kOther, 0.99, kStart + AdmissionLevel::kInterval));
  BOOST_TEST(admission.IsRefusing(kStart));
  auto later = kStart + ServiceAdmission::kMaxAge;
  for (int i = 0; i < 30; ++i) {
    later += AdmissionLevel::kInterval;
    (void)admission.Admits(kOther, 0.99, later);
  }
  BOOST_TEST(admission.Admits(kOther, 0.99, later));
  BOOST_TEST(!admission.IsRefusing(later));
}

BOOST_AUTO_TEST_CASE(a_refused_request_is_not_sent_on_if_most_owners_refuse)
{
  ServiceAdmission admission;
  admission.OnRoom(NodeAt(1), 9, { .admittedRank_ = kOther, .admittedShare_ = 0.1 }, kStart);
  admission.OnRoom(NodeAt(2), 9, {}, kStart);
  BOOST_TEST(admission.AllowsRetry(kOther, kStart));
  admission.OnRoom(NodeAt(2), 9, { .admittedRank_ = kOther, .admittedShare_ = 0.1 }, kStart);
  BOOST_TEST(!admission.AllowsRetry(kOther, kStart));
  BOOST_TEST(admission.AllowsRetry(kUrgent, kStart));
}

// Load pattern "demand within capacity".
BOOST_AUTO_TEST_CASE(nothing_is_refused_while_there_is_capacity)
{
  Fleet fleet(1000);
  fleet.RunSecond(100, 300);
  for (int second = 0; second < 5; ++second) {
    const auto served = fleet.RunSecond(100, 300);
    BOOST_TEST(served.at(kUrgent).sent_ == served.at(kUrgent).offered_);
    BOOST_TEST(served.at(kOther).sent_ >= 0.98 * served.at(kOther).offered_);
  }
}

// Load pattern "demand beyond capacity": without admission at the entry node, half to three
// quarters of the messages are for requests that an owner refuses.
BOOST_AUTO_TEST_CASE(most_requests_beyond_capacity_are_refused_at_the_entry_node)
{
  for (const double demand : { 2000.0, 4000.0 }) {
    Fleet fleet(1000);
    for (int second = 0; second < 3; ++second) {
      fleet.RunSecond(200, demand);
    }
    for (int second = 0; second < 5; ++second) {
      const auto served = fleet.RunSecond(200, demand);
      const double admitted = served.at(kUrgent).admitted_ + served.at(kOther).admitted_;
      const double sent = served.at(kUrgent).sent_ + served.at(kOther).sent_;
      BOOST_TEST(admitted >= 850, demand << ": " << admitted); // the capacity is used
      BOOST_TEST(1 - admitted / sent < 0.3, demand << ": " << sent);
    }
  }
}

// The more urgent rank must never be served less often than the other one.
BOOST_AUTO_TEST_CASE(urgent_requests_are_served_first)
{
  Fleet fleet(1000);
  for (int second = 0; second < 8; ++second) {
    const auto served = fleet.RunSecond(600, 1500);
    const auto& urgent = served.at(kUrgent);
    const auto& other = served.at(kOther);
    BOOST_TEST(urgent.admitted_ / urgent.offered_ >= other.admitted_ / other.offered_);
  }
}

// Load pattern "burst": the level must rise again soon after the excess.
BOOST_AUTO_TEST_CASE(the_level_rises_after_the_excess)
{
  Fleet fleet(1000);
  for (int second = 0; second < 4; ++second) {
    fleet.RunSecond(200, 3000);
  }
  fleet.RunSecond(100, 400);
  fleet.RunSecond(100, 400);
  fleet.RunSecond(100, 400);
  const auto served = fleet.RunSecond(100, 400);
  BOOST_TEST(served.at(kOther).admitted_ >= 0.97 * served.at(kOther).offered_);
}

// Property: at a constant demand the served requests of a second vary little, although all entry
// nodes get the same statements.
BOOST_AUTO_TEST_CASE(admission_does_not_oscillate)
{
  Fleet fleet(1000);
  for (int second = 0; second < 4; ++second) {
    fleet.RunSecond(200, 2500);
  }
  double least = 1e9;
  double most = 0;
  for (int second = 0; second < 10; ++second) {
    const auto served = fleet.RunSecond(200, 2500);
    const double admitted = served.at(kUrgent).admitted_ + served.at(kOther).admitted_;
    least = std::min(least, admitted);
    most = std::max(most, admitted);
  }
  BOOST_TEST(least >= 0.85 * most, least << " to " << most);
}
