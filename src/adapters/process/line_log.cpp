#include "line_log.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>
#include <utility>

namespace geraniumpin {

namespace impl {
namespace {

std::string_view
LevelName(Severity aSeverity) noexcept
{
  switch (aSeverity) {
    case Severity::Routine:
      return "debug";
    case Severity::Info:
      return "info";
    case Severity::Warning:
      return "warning";
    case Severity::Error:
      return "error";
  }
  return "unknown";
}

/// Formats the current UTC time with milliseconds, as in 2026-12-04T10:20:30.123Z.
std::string
FormatUtcTime()
{
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  std::tm parts{};
  gmtime_r(&time.tv_sec, &parts);
  std::array<char, 48> buffer{};
  const auto length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const auto more = std::snprintf(
    buffer.data() + length, buffer.size() - length, ".%03ldZ", time.tv_nsec / 1'000'000);
  return { buffer.data(), length + static_cast<std::size_t>(more) };
}

std::string
FormatLine(Severity aSeverity, const std::string& aText)
{
  std::string line = "ts=" + FormatUtcTime() + " level=";
  line += LevelName(aSeverity);
  return line + " " + aText + "\n";
}

} // namespace
} // namespace impl

void
StartLogging(const char* aProgram)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aProgram);
}

LineLog::LineLog(int aDescriptor)
  : descriptor_(aDescriptor)
{
  fcntl(descriptor_, F_SETFL, fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
}

bool
LineLog::TryConsume(ByteBudget& aBudget, std::size_t aBytes, TimePoint aNow)
{
  const double elapsed = std::chrono::duration<double>(aNow - aBudget.refilledAt_).count();
  aBudget.available_ = std::min(aBudget.perSecond_ * kBurstSeconds,
                                aBudget.available_ + std::max(0.0, elapsed) * aBudget.perSecond_);
  aBudget.refilledAt_ = aNow;
  const auto bytes = static_cast<double>(aBytes);
  if (aBudget.available_ < bytes) {
    return false;
  }
  aBudget.available_ -= bytes;
  return true;
}

void
LineLog::Append(const std::string& aLine)
{
  if (pending_.size() + aLine.size() > kMaxPendingBytes) {
    ++dropped_;
    ++droppedSinceReport_;
    return;
  }
  pending_ += aLine;
}

void
LineLog::Write(const LogEvent& aEvent)
{
  auto& budget = aEvent.Level() == Severity::Routine ? routine_ : other_;
  if (!TryConsume(budget, aEvent.Line().size(), clock_.Now())) {
    ++dropped_;
    ++droppedSinceReport_;
    return;
  }
  const auto now = clock_.Now();
  if (droppedSinceReport_ > 0 && now >= nextDroppedReport_) {
    nextDroppedReport_ = now + kDroppedReportPeriod;
    LogEvent event("log_dropped", Severity::Warning);
    event.With("lines", std::exchange(droppedSinceReport_, 0));
    Append(impl::FormatLine(event.Level(), event.Line()));
  }
  Append(impl::FormatLine(aEvent.Level(), aEvent.Line()));
}

void
LineLog::Flush()
{
  while (!pending_.empty()) {
    const auto written = write(descriptor_, pending_.data(), pending_.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return; // the reader is slow or closed; the lines stay in the buffer
    }
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace geraniumpin
