#include "peer_transport.hpp"

#include "peer_codec.hpp"
#include "peer_frame.hpp"

#include <algorithm>
#include <atomic>
#include <glog/logging.h>
#include <map>
#include <memory>
#include <set>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>
#include <zmq.hpp>

namespace geraniumpin {

namespace impl {
namespace {

constexpr int kMaxQueuedMessages = 1000; // per link and direction
constexpr int kLingerMs = 500;           // to flush replies when the process stops
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 1000;
constexpr std::chrono::seconds kLinkIdleTimeout{ 60 }; // after which a link is closed
constexpr std::chrono::seconds kSweepPeriod{ 10 };
constexpr std::size_t kMaxLinks = 4000;
// Sockets that are closed count until they have sent what they hold, or for kLingerMs.
constexpr int kMaxSockets = 2 * static_cast<int>(kMaxLinks);
// Descriptors for all but links, and those that one peer takes: a socket's event and its
// connection, and the connection of the peer to this node.
constexpr std::size_t kReservedDescriptors = 128;
constexpr std::size_t kDescriptorsPerPeer = 3;
// Messages, further parts of a refused message, and bytes that one turn of the loop receives, so
// that peers cannot hold the loop.
constexpr std::size_t kMaxTurnMessages = 256;
constexpr std::size_t kMaxTurnBytes = 4U << 20U;
// Size and messages at which a frame is sent before the end of the turn. A quarter of the messages
// of a receiver's turn bounds how far one frame exceeds that limit; 64 KB bounds what one
// lost frame loses.
constexpr std::size_t kMaxFrameBytes = 64U << 10U;
constexpr std::size_t kMaxFrameMessages = kMaxTurnMessages / 4;

/// The number of links that the limits of the process admit.
std::size_t
FindMaxLinks() noexcept
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= kReservedDescriptors) {
    return 1;
  }
  const auto peers = (limit.rlim_cur - kReservedDescriptors) / kDescriptorsPerPeer;
  return std::clamp<std::size_t>(peers, 1, kMaxLinks);
}

zmq::context_t
MakeContext()
{
  zmq::context_t context(1);
  context.set(zmq::ctxopt::max_sockets, kMaxSockets);
  return context;
}

std::string_view
View(const zmq::message_t& aMessage)
{
  return { static_cast<const char*>(aMessage.data()), aMessage.size() };
}

/// Bytes that ZeroMQ holds; its thread subtracts what it has sent.
using ByteCount = std::shared_ptr<std::atomic<std::size_t>>;

ByteCount
MakeByteCount()
{
  return std::make_shared<std::atomic<std::size_t>>(0);
}

/// Bytes that a part of a message refers to, counted until ZeroMQ releases them.
struct QueuedPart
{
  const Body bytes_;
  const ByteCount all_;
  const ByteCount ofPeer_;
};

/// Called on ZeroMQ's thread, so it only counts and drops references.
void
ReleasePart(void* /*aData*/, void* aPart)
{
  const std::unique_ptr<QueuedPart> part(static_cast<QueuedPart*>(aPart));
  part->all_->fetch_sub(part->bytes_->size());
  part->ofPeer_->fetch_sub(part->bytes_->size());
}

/// Makes a part of a message without a copy.
zmq::message_t
MakePart(const Body& aBytes, const ByteCount& aAll, const ByteCount& aOfPeer)
{
  auto part = std::make_unique<QueuedPart>(QueuedPart{ aBytes, aAll, aOfPeer });
  // ZeroMQ only reads what it sends.
  auto* data = const_cast<char*>(aBytes->data()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
  zmq::message_t message(data, aBytes->size(), ReleasePart, part.get());
  (void)part.release(); // the message owns it
  aAll->fetch_add(aBytes->size());
  aOfPeer->fetch_add(aBytes->size());
  return message;
}

} // namespace
} // namespace impl

/// \brief The sockets and their counters.
struct ZmqPeerTransport::Impl
{
  struct Link
  {
    zmq::socket_t socket_;
    TimePoint lastUsedAt_;
    FrameWriter frame_; ///< messages of this turn
    impl::ByteCount queued_ = impl::MakeByteCount();
  };

  Impl(EventLoop& aLoop,
       const NodeAddress& aSelf,
       std::string aPeerKey,
       const TransportLimits& aLimits,
       Receiver aReceiver)
    : self_(aSelf)
    , peerKey_(std::move(aPeerKey))
    , limits_(aLimits)
    , receiver_(std::move(aReceiver))
    , inbound_(context_, zmq::socket_type::pull)
  {
    inbound_.set(zmq::sockopt::rcvhwm, impl::kMaxQueuedMessages);
    inbound_.set(zmq::sockopt::linger, 0);
    inbound_.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(aLimits.maxMessageBytes_));
    try {
      inbound_.bind("tcp://" + aSelf.Text());
    } catch (const zmq::error_t& error) {
      LOG(FATAL) << "event=listen_failed address=" << aSelf.Text() << " error=\"" << error.what()
                 << "\"";
    }
    watch_ =
      std::make_unique<FdWatch>(aLoop, inbound_.get(zmq::sockopt::fd), [this] { ReceiveTurn(); });
    PCHECK(nextTurn_ >= 0) << "event=eventfd_failed";
    nextTurnWatch_ = std::make_unique<FdWatch>(aLoop, nextTurn_, [this] { ContinueReceiving(); });
  }

  ~Impl()
  {
    Flush();
    close(nextTurn_);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// ZeroMQ's descriptor is edge-triggered. A receive that finds nothing rearms it; if messages may
  /// be left, an event of our own continues in the next turn.
  void ReceiveTurn()
  {
    std::vector<Envelope> batch;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    bool mayHaveMore = true;
    while (mayHaveMore && messages < impl::kMaxTurnMessages && bytes < impl::kMaxTurnBytes) {
      const auto count = discardsRest_ ? DiscardPart() : ReceiveOne(batch, bytes);
      messages += count;
      mayHaveMore = count > 0;
    }
    if (mayHaveMore) {
      eventfd_write(nextTurn_, 1);
    }
    Deliver(batch);
  }

  void ContinueReceiving()
  {
    eventfd_t count = 0;
    eventfd_read(nextTurn_, &count);
    ReceiveTurn();
  }

  /// Delivers cancellations first, so that a process that resumes after a pause does not start
  /// attempts that were cancelled during the pause.
  void Deliver(const std::vector<Envelope>& aBatch)
  {
    const auto isCancel = [](const Envelope& aEnvelope) {
      return std::holds_alternative<CallCancel>(aEnvelope.payload_);
    };
    for (const auto& envelope : aBatch) {
      if (isCancel(envelope)) {
        receiver_(envelope);
      }
    }
    for (const auto& envelope : aBatch) {
      if (!isCancel(envelope)) {
        receiver_(envelope);
      }
    }
  }

  /// Receives a frame, or a message of the form without frames; what is not authentic is counted
  /// and dropped. Returns the number of messages, at least 1; 0 if there is none.
  std::size_t ReceiveOne(std::vector<Envelope>& aBatch, std::size_t& aBytes)
  {
    zmq::message_t body;
    if (!inbound_.recv(body, zmq::recv_flags::dontwait)) {
      return 0;
    }
    const bool isFrame = IsFrame(impl::View(body));
    const bool expectsSecond = !isFrame || HasDetachedBody(impl::View(body));
    zmq::message_t second; // the tag of a message without a frame, or the body of a frame
    const bool hasSecond =
      expectsSecond && body.more() && inbound_.recv(second, zmq::recv_flags::dontwait).has_value();
    discardsRest_ = hasSecond ? second.more() : body.more();
    counters_.receivedFrames_ += 1;
    counters_.receivedBytes_ += body.size() + second.size();
    aBytes += body.size() + second.size();
    if (isFrame && !discardsRest_ && hasSecond == expectsSecond) {
      return ReadMessages(impl::View(body), impl::View(second), aBatch);
    }
    counters_.receivedMessages_ += 1;
    if (isFrame || !hasSecond || discardsRest_ ||
        !IsAuthentic(impl::View(body), impl::View(second), peerKey_) ||
        !ReadMessage(impl::View(body), aBatch)) {
      counters_.refusedMessages_ += 1;
    }
    return 1;
  }

  /// Reads the messages of a frame; one that cannot be decoded is dropped alone.
  std::size_t ReadMessages(std::string_view aFrame,
                           std::string_view aBody,
                           std::vector<Envelope>& aBatch)
  {
    const auto messages = ReadFrame(aFrame, aBody, peerKey_);
    if (!messages || messages->empty()) {
      counters_.receivedMessages_ += 1;
      counters_.refusedMessages_ += 1;
      return 1;
    }
    counters_.receivedMessages_ += messages->size();
    const auto body = HasDetachedBody(aFrame) ? MakeBody(std::string(aBody)) : nullptr;
    for (std::size_t i = 0; i < messages->size(); ++i) {
      const bool isLast = i + 1 == messages->size();
      if (!ReadMessage((*messages)[i], aBatch, isLast ? body : nullptr)) {
        counters_.refusedMessages_ += 1;
      }
    }
    return messages->size();
  }

  /// Decodes an authentic message and records the form that its sender understands.
  bool ReadMessage(std::string_view aBytes,
                   std::vector<Envelope>& aBatch,
                   const Body& aDetachedBody = nullptr)
  {
    const auto decoded = DecodeWithFeatures(aBytes, aDetachedBody);
    if (!decoded) {
      return false;
    }
    if (decoded->acceptsFrames_) {
      framePeers_.insert(decoded->envelope_.sender_);
    } else {
      framePeers_.erase(decoded->envelope_.sender_);
    }
    aBatch.push_back(decoded->envelope_);
    return true;
  }

  /// Discards a further part of a refused message. Returns 0 if there is none, else 1.
  std::size_t DiscardPart()
  {
    zmq::message_t part;
    const bool received = inbound_.recv(part, zmq::recv_flags::dontwait).has_value();
    discardsRest_ = received && part.more();
    return received ? 1 : 0;
  }

  void Send(const NodeAddress& aPeer, const Envelope& aMessage)
  {
    const auto now = clock_.Now();
    auto* link = FindOrOpenLink(aPeer);
    if (link == nullptr) {
      counters_.droppedMessages_ += 1;
      return;
    }
    link->lastUsedAt_ = now;
    CloseIdleLinks(now); // after the link was opened, so that it does not forget the peer's form
    if (!framePeers_.contains(aPeer)) {
      SendWithoutFrame(*link, aMessage);
      return;
    }
    if (link->frame_.Count() == 0) {
      unflushed_.push_back(aPeer);
    }
    if (const auto body = FindDetachableBody(aMessage.payload_)) {
      SendWithBody(*link, aMessage, body);
      return;
    }
    link->frame_.Append(aMessage);
    if (link->frame_.Bytes() >= impl::kMaxFrameBytes ||
        link->frame_.Count() >= impl::kMaxFrameMessages) {
      SendFrame(*link);
    }
  }

  /// Sends a message in the form that nodes of earlier releases understand.
  void SendWithoutFrame(Link& aLink, const Envelope& aMessage)
  {
    SendFrame(aLink); // keeps the order
    const auto bytes = MakeBody(EncodeEnvelope(aMessage));
    SendParts(aLink, bytes, MakeBody(ComputeAuthenticationTag(*bytes, peerKey_)), 1);
  }

  /// Sends a message whose body is a part of its own, with the messages before it. One that exceeds
  /// a limit is dropped without them.
  void SendWithBody(Link& aLink, const Envelope& aMessage, const Body& aBody)
  {
    if (!Admits(aLink, aLink.frame_.Bytes() + aBody->size() + impl::kMaxFrameBytes)) {
      counters_.droppedMessages_ += 1;
      return;
    }
    aLink.frame_.Append(aMessage);
    SendFrame(aLink, aBody);
  }

  [[nodiscard]] bool Admits(const Link& aLink, std::size_t aBytes) const noexcept
  {
    const auto admits = [&](const impl::ByteCount& aQueued, std::size_t aLimit) {
      const auto queued = aQueued->load();
      return queued <= aLimit && aBytes <= aLimit - queued;
    };
    return admits(queued_, limits_.maxQueuedBytes_) &&
           admits(aLink.queued_, limits_.maxQueuedBytesPerPeer_);
  }

  /// Sends one part, or two if the second is not null; drops and counts the messages in them beyond
  /// a limit.
  void SendParts(Link& aLink, const Body& aFirst, const Body& aSecond, std::size_t aMessages)
  {
    const auto bytes = aFirst->size() + (aSecond ? aSecond->size() : 0);
    const auto flags =
      aSecond ? zmq::send_flags::dontwait | zmq::send_flags::sndmore : zmq::send_flags::dontwait;
    if (!Admits(aLink, bytes) ||
        !aLink.socket_.send(impl::MakePart(aFirst, queued_, aLink.queued_), flags)) {
      counters_.droppedMessages_ += aMessages;
      return;
    }
    if (aSecond) { // ZeroMQ accepts all parts of a message of which it accepted the first
      (void)aLink.socket_.send(impl::MakePart(aSecond, queued_, aLink.queued_),
                               zmq::send_flags::dontwait);
    }
    counters_.sentFrames_ += 1;
    counters_.sentMessages_ += aMessages;
    counters_.sentBytes_ += bytes;
  }

  /// Sends the frame of a link, unless it is empty.
  void SendFrame(Link& aLink, const Body& aBody = nullptr)
  {
    const auto count = aLink.frame_.Count();
    if (count == 0) {
      return;
    }
    SendParts(aLink, MakeBody(aLink.frame_.Finish(peerKey_, aBody)), aBody, count);
  }

  void Flush()
  {
    for (const auto& peer : std::exchange(unflushed_, {})) {
      if (const auto found = links_.find(peer); found != links_.end()) {
        SendFrame(found->second);
      }
    }
  }

  /// The socket still sends what it holds, for kLingerMs at most. The peer may have restarted with
  /// an earlier release, which is one cause of silence, so it must show again that it understands
  /// frames.
  void Reconnect(const NodeAddress& aPeer)
  {
    framePeers_.erase(aPeer);
    if (const auto found = links_.find(aPeer); found != links_.end()) {
      SendFrame(found->second);
      links_.erase(found);
    }
  }

  /// Returns null if no socket can be opened.
  Link* FindOrOpenLink(const NodeAddress& aPeer)
  {
    const auto found = links_.find(aPeer);
    if (found != links_.end()) {
      return &found->second;
    }
    if (links_.size() >= maxLinks_) {
      CloseLeastRecentlyUsedLink();
    }
    try {
      return &links_.emplace(aPeer, Link{ OpenSocket(aPeer), {} }).first->second;
    } catch (const zmq::error_t&) {
      return nullptr;
    }
  }

  /// Throws zmq::error_t if the process has no socket or descriptor left.
  zmq::socket_t OpenSocket(const NodeAddress& aPeer)
  {
    zmq::socket_t socket(context_, zmq::socket_type::push);
    socket.set(zmq::sockopt::sndhwm, impl::kMaxQueuedMessages);
    socket.set(zmq::sockopt::linger, impl::kLingerMs);
    socket.set(zmq::sockopt::reconnect_ivl, impl::kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, impl::kMaxReconnectMs);
    // Binds the node's IP address as the source, so that peers and firewalls can identify the node.
    socket.connect("tcp://" + self_.Ip() + ":0;" + aPeer.Text());
    return socket;
  }

  void CloseLeastRecentlyUsedLink()
  {
    const auto link =
      std::min_element(links_.begin(), links_.end(), [](const auto& aA, const auto& aB) {
        return aA.second.lastUsedAt_ < aB.second.lastUsedAt_;
      });
    SendFrame(link->second);
    links_.erase(link);
  }

  void CloseIdleLinks(TimePoint aNow)
  {
    if (aNow < nextSweep_) {
      return;
    }
    nextSweep_ = aNow + impl::kSweepPeriod;
    std::erase_if(links_, [&](const auto& aEntry) {
      return aNow - aEntry.second.lastUsedAt_ > impl::kLinkIdleTimeout;
    });
    // Bounds the set by the number of links; a peer without a link gets the form without frames.
    std::erase_if(framePeers_, [&](const auto& aPeer) { return !links_.contains(aPeer); });
  }

  SystemClock clock_;
  NodeAddress self_;
  std::string peerKey_;
  const TransportLimits limits_;
  const impl::ByteCount queued_ = impl::MakeByteCount(); ///< of all links, closed ones included
  Receiver receiver_;
  zmq::context_t context_ = impl::MakeContext();
  zmq::socket_t inbound_;
  std::map<NodeAddress, Link> links_;
  std::set<NodeAddress> framePeers_;   ///< have shown that they understand frames
  std::vector<NodeAddress> unflushed_; ///< links that may have a frame
  std::size_t maxLinks_ = impl::FindMaxLinks();
  std::unique_ptr<FdWatch> watch_;
  TransportCounters counters_;
  TimePoint nextSweep_;
  bool discardsRest_ = false; ///< the last message has further parts
  int nextTurn_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::unique_ptr<FdWatch> nextTurnWatch_;
};

ZmqPeerTransport::ZmqPeerTransport(EventLoop& aLoop,
                                   const NodeAddress& aSelf,
                                   std::string aPeerKey,
                                   const TransportLimits& aLimits,
                                   Receiver aReceiver)
  : impl_(std::make_unique<Impl>(aLoop, aSelf, std::move(aPeerKey), aLimits, std::move(aReceiver)))
{
}

ZmqPeerTransport::~ZmqPeerTransport() = default;

void
ZmqPeerTransport::Send(const NodeAddress& aPeer, const Envelope& aMessage)
{
  impl_->Send(aPeer, aMessage);
}

void
ZmqPeerTransport::Reconnect(const NodeAddress& aPeer)
{
  impl_->Reconnect(aPeer);
}

void
ZmqPeerTransport::Flush()
{
  impl_->Flush();
}

const TransportCounters&
ZmqPeerTransport::Counters() const noexcept
{
  impl_->counters_.queuedBytes_ = impl_->queued_->load();
  return impl_->counters_;
}

} // namespace geraniumpin
