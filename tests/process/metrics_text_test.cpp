#define BOOST_TEST_MODULE metrics_text
#include "../../cli/trace.hpp"
#include "../../src/adapters/process/metrics_text.hpp"

#include <boost/test/included/unit_test.hpp>
#include <sstream>

using namespace geraniumpin;

BOOST_AUTO_TEST_CASE(a_histogram_counts_up_to_each_bound)
{
  Metrics metrics;
  for (const int milliseconds : { 1, 3, 3, 70, 9000 }) {
    metrics.Record("call_ms", std::chrono::milliseconds(milliseconds));
  }
  metrics.Count("calls", 5);
  const auto text = FormatMetricsText(metrics, {});
  BOOST_TEST(text.find("geraniumpin_calls 5\n") != std::string::npos);
  BOOST_TEST(text.find("geraniumpin_call_ms_bucket{le=\"1\"} 1\n") != std::string::npos);
  BOOST_TEST(text.find("geraniumpin_call_ms_bucket{le=\"5\"} 3\n") != std::string::npos);
  BOOST_TEST(text.find("geraniumpin_call_ms_bucket{le=\"100\"} 4\n") != std::string::npos);
  BOOST_TEST(text.find("geraniumpin_call_ms_bucket{le=\"+Inf\"} 5\n") != std::string::npos);
  BOOST_TEST(text.find("geraniumpin_call_ms_count 5\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_trace_joins_the_lines_of_several_nodes)
{
  cli::Trace trace("r1");
  std::istringstream entry(
    "ts=2026-01-01T00:00:01.000Z level=debug event=route call=c1 request=r1 chosen=i-1\n"
    "ts=2026-01-01T00:00:01.300Z level=warning event=call_end call=c1 request=r1 "
    "outcome=not_run reason=shed status=0 us=300\n"
    "ts=2026-01-01T00:00:01.400Z level=debug event=route call=c2 request=r2 chosen=i-1\n"
    "no line of ours\n");
  std::istringstream owner("  7.5 node-2 ts=2026-01-01T00:00:01.100Z level=debug "
                           "event=admission call=c1 decision=start\n");
  trace.Read("entry.log", entry);
  trace.Read("owner.log", owner);
  const auto lines = trace.Lines();
  BOOST_REQUIRE(lines.size() == 3U);
  BOOST_TEST(lines[0].from_ == "entry.log");
  BOOST_TEST(lines[1].text_ == "event=admission call=c1 decision=start");
  BOOST_TEST(lines[1].from_.find("node-2") != std::string::npos);
  BOOST_TEST(cli::DescribeOutcome(lines).starts_with("ended not_run (shed) after 300 us"));
  BOOST_TEST(cli::Trace("r9").Lines().empty());
}
