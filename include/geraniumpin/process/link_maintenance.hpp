#pragma once

#include "geraniumpin/process/node_context.hpp"

namespace geraniumpin {

/// \brief Replaces the connections of silent links, and sends what checks and confirms others.
template<NodePortSet PortSet>
void
MaintainLinks(NodeContext<PortSet>& aContext)
{
  const auto due = aContext.Links().TakeDue(aContext.Now());
  for (const auto& silent : due.silent_) {
    aContext.Write(LogEvent("link_silent", Severity::Warning)
                     .With("node", silent.peer_.Text())
                     .With("waited_ms", Milliseconds(silent.waited_)));
    aContext.ReplaceConnection(silent.peer_);
    if (silent.isAnnounced_) {
      aContext.Send(silent.peer_, Heartbeat{});
    }
  }
  for (const auto& peer : due.unchecked_) {
    aContext.Send(peer, Heartbeat{});
  }
  for (const auto& peer : due.unconfirmed_) {
    aContext.Send(peer, LinkAck{});
  }
}

} // namespace geraniumpin
