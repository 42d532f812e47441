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

/// \brief The outside of a node: everything that tests replace by mocks.
template<Clock ClockType,
         Random RandomType,
         Log LogType,
         PeerTransport TransportType,
         BackendPort BackendType,
         CallerPort CallerType,
         ConfigSource SourceType,
         PartCodec CodecType,
         ItemDecoder DecoderType>
struct NodeEnvironment
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

/// \brief Holds for every NodeEnvironment.
template<class E>
concept Environment = requires(E& aEnvironment)
{
  requires Clock<std::remove_reference_t<decltype(aEnvironment.clock_)>>;
  requires Random<std::remove_reference_t<decltype(aEnvironment.random_)>>;
  requires Log<std::remove_reference_t<decltype(aEnvironment.log_)>>;
  requires PeerTransport<std::remove_reference_t<decltype(aEnvironment.transport_)>>;
  requires BackendPort<std::remove_reference_t<decltype(aEnvironment.backend_)>>;
  requires CallerPort<std::remove_reference_t<decltype(aEnvironment.callers_)>>;
  requires ConfigSource<std::remove_reference_t<decltype(aEnvironment.source_)>>;
};

} // namespace geraniumpin
