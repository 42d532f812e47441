#define BOOST_TEST_MODULE reader_timing
#include "geraniumpin/process/reader_timing.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(reads_keep_tight_and_wide_bounds)
{
  constexpr milliseconds kAnswer{ 200 };
  for (const auto apply :
       { milliseconds(1000), milliseconds(2000), milliseconds(3000), milliseconds(30000) }) {
    for (const auto contact :
         { milliseconds(1500), milliseconds(3000), milliseconds(4000), milliseconds(30000) }) {
      const auto timing = ReaderTiming::Make(apply, contact);
      const Duration silent = timing.watchWait_ + ReaderTiming::kReadTimeout + timing.readInterval_;
      BOOST_TEST((silent + kAnswer <= contact));
      BOOST_TEST((timing.maxBackoff_ + timing.readInterval_ + kAnswer < apply));
      BOOST_TEST((timing.watchWait_ > Duration{}));
    }
  }
}

// Load pattern "calm day": what a watcher reads while nothing changes follows the bound.
BOOST_AUTO_TEST_CASE(wider_bounds_need_fewer_reads)
{
  const auto tight = ReaderTiming::Make(milliseconds(2000), milliseconds(3000));
  const auto wide = ReaderTiming::Make(milliseconds(3000), milliseconds(4000));
  BOOST_TEST((wide.watchWait_ - tight.watchWait_ > milliseconds(900)));
  BOOST_TEST((wide.readInterval_ > tight.readInterval_));
}
