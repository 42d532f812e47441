#pragma once

#include "geraniumpin/connection/backend_connection.hpp"
#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/log_event.hpp"
#include "geraniumpin/process/metrics.hpp"
#include "geraniumpin/process/random.hpp"
#include "geraniumpin/version/published.hpp"
#include "geraniumpin/version/version_store.hpp"

namespace geraniumpin {

/// \brief The ports of a node: its interfaces to external resources, which tests replace by mocks.
template<Clock ClockType,
         Random RandomType,
         Log LogType,
         PeerTransport TransportType,
         BackendPort BackendType,
         CallerPort CallerType,
         ConfigSource SourceType,
         PartCodec CodecType,
         ItemDecoder DecoderType>
struct NodePorts
{
  ClockType& clock_;
  RandomType& random_;
  LogType& log_;
  TransportType& transport_;
  BackendType& backend_;
  CallerType& callers_;
  SourceType& source_;
  const CodecType& codec_;
  const DecoderType& decoder_;
};

/// \brief Satisfied by every specialization of NodePorts.
template<class E>
concept NodePortSet = requires(E& aPorts)
{
  requires Clock<std::remove_reference_t<decltype(aPorts.clock_)>>;
  requires Random<std::remove_reference_t<decltype(aPorts.random_)>>;
  requires Log<std::remove_reference_t<decltype(aPorts.log_)>>;
  requires PeerTransport<std::remove_reference_t<decltype(aPorts.transport_)>>;
  requires BackendPort<std::remove_reference_t<decltype(aPorts.backend_)>>;
  requires CallerPort<std::remove_reference_t<decltype(aPorts.callers_)>>;
  requires ConfigSource<std::remove_reference_t<decltype(aPorts.source_)>>;
};

} // namespace geraniumpin
