#pragma once

#include "../process/event_loop.hpp"
#include "../process/system_clock.hpp"
#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/connection/transport_limits.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace geraniumpin {

/// \brief Traffic on the links to peers since the start of the process.
struct TransportCounters
{
  std::uint64_t sentFrames_ = 0; ///< sends: frames, and messages without one
  std::uint64_t sentMessages_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t receivedFrames_ = 0; ///< as sentFrames_
  std::uint64_t receivedMessages_ = 0;
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t refusedMessages_ = 0; ///< malformed or not authentic
  std::uint64_t droppedMessages_ = 0; ///< beyond a limit of a queue, or no socket was left
  std::uint64_t queuedBytes_ = 0;     ///< that wait to be sent, now

  auto operator<=>(const TransportCounters&) const = default;
};

/// \brief Sends and receives messages between nodes over ZeroMQ; satisfies PeerTransport.
///
/// One socket receives from all peers; one socket per peer sends to it and is closed when idle, or
/// when the descriptors of the process admit no further one and it was not used for longest.
/// Messages to one peer leave together in a frame (peer_frame.hpp) at the end of a turn, with one
/// authentication tag computed with the key that all nodes share. A peer gets messages on their
/// own, in the form of earlier releases, until one of its messages shows that it understands
/// frames.
class ZmqPeerTransport
{
public:
  using Receiver = std::function<void(const Envelope&)>;

  /// \brief Starts to listen; terminates the process if the address cannot be bound.
  ZmqPeerTransport(EventLoop& aLoop,
                   const NodeAddress& aSelf,
                   std::string aPeerKey,
                   const TransportLimits& aLimits,
                   Receiver aReceiver);
  ~ZmqPeerTransport();
  ZmqPeerTransport(const ZmqPeerTransport&) = delete;
  ZmqPeerTransport& operator=(const ZmqPeerTransport&) = delete;

  /// \brief Queues a message to a peer until Flush; drops and counts it beyond a limit. A body that
  /// travels as a part of its own is not copied.
  void Send(const NodeAddress& aPeer, const Envelope& aMessage);

  /// \brief Sends the messages of this turn; required before the loop waits.
  void Flush();

  /// \brief Closes the connection to a peer; the next message opens another one.
  void Reconnect(const NodeAddress& aPeer);

  [[nodiscard]] const TransportCounters& Counters() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
