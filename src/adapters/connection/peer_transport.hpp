#pragma once

#include "../process/event_loop.hpp"
#include "../process/system_clock.hpp"
#include "geraniumpin/connection/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace geraniumpin {

/// \brief What went over the links to peers.
struct TransportCounters
{
  std::uint64_t sentMessages_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t receivedMessages_ = 0;
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t refusedMessages_ = 0; ///< malformed or not authentic
  std::uint64_t droppedMessages_ = 0; ///< the queue to the peer was full

  auto operator<=>(const TransportCounters&) const = default;
};

/// \brief Carries messages between nodes over ZeroMQ; satisfies PeerTransport.
///
/// One socket receives from all peers; one socket per peer sends to it and is closed when idle.
/// Every message carries an authentication tag made with the key that all nodes share.
class ZmqPeerTransport
{
public:
  using Receiver = std::function<void(const Envelope&)>;

  /// \brief Listens at once; an address that cannot be bound ends the process.
  ZmqPeerTransport(EventLoop& aLoop,
                   const NodeAddress& aSelf,
                   std::string aPeerKey,
                   std::size_t aMaxMessageBytes,
                   Receiver aReceiver);
  ~ZmqPeerTransport();
  ZmqPeerTransport(const ZmqPeerTransport&) = delete;
  ZmqPeerTransport& operator=(const ZmqPeerTransport&) = delete;

  /// \brief Queues a message to a peer, or drops it if the queue is full.
  void Send(const NodeAddress& aPeer, const Envelope& aMessage);

  [[nodiscard]] const TransportCounters& Counters() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
