#define BOOST_TEST_MODULE line_log
#include "../../src/adapters/process/line_log.hpp"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <unistd.h>

using namespace geraniumpin;

namespace {

struct Pipe
{
  Pipe() { BOOST_REQUIRE(pipe(ends_.data()) == 0); }
  ~Pipe()
  {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::string Read() const
  {
    std::string text(1U << 20U, '\0');
    const auto got = read(ends_[0], text.data(), text.size());
    text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return text;
  }

  std::array<int, 2> ends_{};
};

} // namespace

BOOST_AUTO_TEST_CASE(a_line_names_time_level_and_event)
{
  const Pipe pipe;
  LineLog log(pipe.ends_[1]);
  log.Write(LogEvent("node_start").With("node", "a b"));
  log.Flush();
  const auto line = pipe.Read();
  BOOST_TEST(line.starts_with("ts=2"));
  BOOST_TEST(line.find("Z level=info event=node_start node=\"a b\"\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_stalled_reader_drops_lines_and_never_blocks)
{
  const Pipe pipe;
  LineLog log(pipe.ends_[1]);
  const std::string filler(1000, 'x');
  for (int i = 0; i < 10000; ++i) {
    log.Write(LogEvent("filler", Severity::Warning).With("text", filler));
    log.Flush();
  }
  BOOST_TEST(log.Dropped() > 0U);
  const auto text = pipe.Read();
  BOOST_TEST(text.starts_with("ts="));
}

BOOST_AUTO_TEST_CASE(routine_lines_are_left_out_before_others)
{
  const Pipe pipe;
  LineLog log(pipe.ends_[1]);
  const std::string filler(100, 'x');
  for (int i = 0; i < 1000; ++i) {
    log.Write(LogEvent("routine", Severity::Routine).With("text", filler));
  }
  const auto dropped = log.Dropped();
  BOOST_TEST(dropped > 0U);
  log.Write(LogEvent("refused", Severity::Warning));
  BOOST_TEST(log.Dropped() == dropped);
}

BOOST_AUTO_TEST_CASE(dropped_lines_are_reported_once_per_period)
{
  const Pipe pipe;
  LineLog log(pipe.ends_[1]);
  for (int i = 0; i < 1000; ++i) {
    log.Write(LogEvent("routine", Severity::Routine).With("text", std::string(100, 'x')));
  }
  log.Write(LogEvent("one", Severity::Warning));
  log.Write(LogEvent("two", Severity::Warning));
  log.Flush();
  const auto text = pipe.Read();
  const auto first = text.find("event=log_dropped lines=");
  BOOST_REQUIRE(first != std::string::npos);
  BOOST_TEST(text.find("event=log_dropped", first + 1) == std::string::npos);
}
