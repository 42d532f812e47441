#define BOOST_TEST_MODULE receive_window
#include "geraniumpin/process/receive_window.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
/// 1,250 bytes a millisecond; 125,000 bytes fit the window.
constexpr LinkWindow kLink{ .bitsPerSecond_ = 10'000'000, .window_ = milliseconds(100) };

TransferId
IdOf(std::uint64_t aNumber)
{
  return { { { 1, aNumber }, 1 }, false };
}

tl::expected<OfferResult, Duration>
Offer(ReceiveWindow& aWindow,
      std::uint64_t aNumber,
      std::size_t aBytes,
      std::uint32_t aRank = 1,
      milliseconds aPatience = milliseconds(600))
{
  return aWindow.Offer({ IdOf(aNumber), aBytes, aRank, kStart + aPatience }, kStart);
}

} // namespace

// Guards against bytes under way to a node without a bound.
BOOST_AUTO_TEST_CASE(bodies_are_granted_while_they_fit_the_window_by_rank_and_then_by_age)
{
  ReceiveWindow window(kLink);
  BOOST_TEST((Offer(window, 1, 60'000) == OfferResult::Granted));
  BOOST_TEST((Offer(window, 2, 60'000) == OfferResult::Granted));
  BOOST_TEST((Offer(window, 3, 60'000) == OfferResult::Queued));
  BOOST_TEST((Offer(window, 4, 60'000) == OfferResult::Queued));
  BOOST_TEST((Offer(window, 5, 60'000, 0) == OfferResult::Queued));
  BOOST_TEST(window.Advance(kStart).granted_.empty());
  BOOST_TEST(window.Remove(IdOf(1)));
  BOOST_TEST((window.Advance(kStart).granted_ == std::vector{ IdOf(5) }));
  BOOST_TEST(window.Remove(IdOf(2)));
  BOOST_TEST((window.Advance(kStart).granted_ == std::vector{ IdOf(3) }));
  BOOST_TEST(window.State(kStart).grantedBytes_ == 120'000U);
  BOOST_TEST(window.State(kStart).waitingBytes_ == 60'000U);
}

BOOST_AUTO_TEST_CASE(a_body_beyond_the_window_is_granted_alone)
{
  ReceiveWindow window(kLink);
  BOOST_TEST((Offer(window, 1, 20'000) == OfferResult::Granted));
  BOOST_TEST((Offer(window, 2, 360'000) == OfferResult::Queued));
  BOOST_TEST((Offer(window, 3, 20'000) == OfferResult::Queued)); // it does not pass the second one
  window.Remove(IdOf(1));
  BOOST_TEST((window.Advance(kStart).granted_ == std::vector{ IdOf(2) }));
}

// Guards against requests that wait although they cannot be served.
BOOST_AUTO_TEST_CASE(what_cannot_be_granted_in_time_is_refused_at_once_with_the_time_ahead_of_it)
{
  ReceiveWindow window(kLink);
  std::uint64_t number = 0;
  auto result = Offer(window, ++number, 62'500);
  while (result) {
    result = Offer(window, ++number, 62'500);
  }
  BOOST_TEST(number == 15U); // 14 bodies of 50 ms fit the window of 100 ms and a wait of 600 ms
  BOOST_TEST((result.error() == milliseconds(700)));
  BOOST_TEST((window.Backlog() == milliseconds(700)));
  BOOST_TEST(Offer(window, 100, 62'500, 0).has_value());
  const auto late = window.Advance(kStart + milliseconds(600));
  BOOST_TEST(late.refused_.size() == 13U);
  BOOST_TEST(late.granted_.empty());
}

// Guards against a window that stays occupied by a sender that died or a link that was cut.
BOOST_AUTO_TEST_CASE(a_grant_without_a_body_expires)
{
  ReceiveWindow window(kLink);
  BOOST_TEST((Offer(window, 1, 125'000) == OfferResult::Granted));
  BOOST_TEST((Offer(window, 2, 60'000, 1, milliseconds(5000)) == OfferResult::Queued));
  const auto expiresAt = kStart + milliseconds(100) + ReceiveWindow::kArrivalGrace;
  BOOST_TEST((window.NextDeadline() == expiresAt));
  BOOST_TEST((window.Advance(expiresAt).granted_ == std::vector{ IdOf(2) }));
  BOOST_TEST(window.State(expiresAt).lost_ == 1U);
  BOOST_TEST(!window.Remove(IdOf(1)));
}

BOOST_AUTO_TEST_CASE(without_a_known_link_everything_is_granted)
{
  ReceiveWindow window({});
  for (std::uint64_t i = 1; i <= 100; ++i) {
    BOOST_TEST((Offer(window, i, 1'000'000) == OfferResult::Granted));
  }
}
