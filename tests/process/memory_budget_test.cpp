#define BOOST_TEST_MODULE memory_budget
#include "geraniumpin/process/memory_budget.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>
#include <vector>

using namespace geraniumpin;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

} // namespace

// Property. Guards against memory beyond the capacity, and against reservations that are never
// released, in whatever order bodies and responses grow, move on and end.
BOOST_AUTO_TEST_CASE(the_sum_never_exceeds_the_capacity_and_nothing_leaks)
{
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    MemoryBudget budget(1000);
    std::vector<MemoryReservation> held;
    for (int step = 0; step < 2000; ++step) {
      const auto choice = random() % 4;
      if (choice == 0 || held.empty()) {
        held.emplace_back(
          budget, random() % 2 == 0 ? MemoryKind::IncomingBodies : MemoryKind::WaitingResponses);
      } else if (choice == 1) {
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(random() % held.size()));
      } else {
        auto& reservation = held[random() % held.size()];
        const auto before = reservation.Bytes();
        const std::size_t wanted = random() % 400;
        const auto others = budget.HeldBytes() - before;
        const auto kind = reservation.Kind();
        const auto othersOfKind = budget.HeldBytes(kind) - before;
        const bool fits =
          others + wanted <= budget.Capacity() && othersOfKind + wanted <= budget.Limit(kind);
        const bool isGranted = reservation.Resize(wanted);
        BOOST_REQUIRE(isGranted == (wanted <= before || fits));
        BOOST_REQUIRE(reservation.Bytes() == (isGranted ? wanted : before));
      }
      BOOST_REQUIRE(budget.HeldBytes() <= budget.Capacity());
    }
    held.clear();
    BOOST_TEST(budget.HeldBytes() == 0U);
  }
}

// Guards against a machine on which a single request inside the limits is refused.
BOOST_AUTO_TEST_CASE(a_single_largest_body_always_has_room)
{
  const auto small = MemoryBudget::ComputeCapacity(160 * kMegabyte, 60 * kMegabyte);
  BOOST_TEST(small <= 128 * kMegabyte);
  MemoryBudget budget(small);
  MemoryReservation body(budget, MemoryKind::IncomingBodies);
  BOOST_TEST(body.Resize(MemoryBudget::BodyCost(60 * kMegabyte)));
  MemoryReservation response(budget, MemoryKind::WaitingResponses);
  body = MemoryReservation(budget, MemoryKind::IncomingBodies);
  BOOST_TEST(response.Resize(60 * kMegabyte));
}

// Guards against two bodies that are admitted although each fits only alone.
BOOST_AUTO_TEST_CASE(a_second_body_is_refused_while_the_first_one_is_held)
{
  MemoryBudget budget(MemoryBudget::ComputeCapacity(160 * kMegabyte, 60 * kMegabyte));
  MemoryReservation body(budget, MemoryKind::IncomingBodies);
  BOOST_TEST(body.Resize(MemoryBudget::BodyCost(60 * kMegabyte)));
  MemoryReservation second(budget, MemoryKind::IncomingBodies);
  BOOST_TEST(!second.Resize(MemoryBudget::BodyCost(60 * kMegabyte)));
}

BOOST_AUTO_TEST_CASE(a_reservation_without_budget_admits_everything)
{
  MemoryReservation reservation;
  BOOST_TEST(reservation.Resize(1000 * kMegabyte));
}
