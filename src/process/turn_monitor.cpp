#include "geraniumpin/process/turn_monitor.hpp"

namespace geraniumpin {

LogEvent
MakeLoopLagEvent(const LoopTurn& aTurn, TimePoint aNow)
{
  LogEvent event("loop_lag");
  event.With("turn_us", Microseconds(aTurn.duration_))
    .With("ended_us_ago", Microseconds(aNow - aTurn.endedAt_))
    .With("calls", aTurn.calls_)
    .With("messages", aTurn.messages_)
    .With("backend_ends", aTurn.backendEnds_)
    .With("platform_reads", aTurn.platformReads_)
    .With("versions", aTurn.versions_);
  return event;
}

} // namespace geraniumpin
