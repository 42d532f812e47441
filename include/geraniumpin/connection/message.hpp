#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/version/version_store.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpin {

/// \brief Entry node to owner node: run this attempt of a request.
struct CallRequest
{
  const CallId id_;
  const std::uint32_t attempt_ = 0;
  const std::string requestId_; ///< as the caller named the request; for logs
  const std::string route_;
  const std::string service_;    ///< the destination that the entry node chose
  const std::uint32_t rank_ = 0; ///< order among waiting requests, the lowest first
  const std::string team_;       ///< empty on open routes
  const Digest keyDigest_;       ///< zero on open routes and on calls with a call token
  const std::string method_;
  const std::string host_; ///< as the caller named it
  const std::string path_;
  const HeaderFields headers_;
  const Body body_;
  const std::string idempotencyKey_;
  const Duration remaining_{};    ///< time until the deadline when the message was sent
  const Duration queueTimeout_{}; ///< longest time that it should wait in the owner's queue
};

/// \brief Owner node to entry node: how an attempt ended, and how busy the instance is.
struct CallReply
{
  const CallId id_;
  const std::uint32_t attempt_ = 0;
  const Answer answer_;
  const LoadReport loadReport_;
  const Duration queueTime_{};    ///< time in the owner's queue
  const Duration instanceTime_{}; ///< time at the instance
};

/// \brief Entry node to owner node: nobody waits for this attempt any more.
struct CallCancel
{
  const CallId id_;
  const std::uint32_t attempt_ = 0;

  auto operator<=>(const CallCancel&) const = default;
};

/// \brief Asks for the change from the version that the sender runs.
struct VersionPull
{
  const VersionId runningVersion_;
  const PartDigests parts_; ///< of that version, so that any node can tell what to send

  auto operator<=>(const VersionPull&) const = default;
};

/// \brief A change of configuration; relayed down the tree if the sender says so.
struct VersionPush
{
  const Delta delta_;
  const bool relay_ = false;
};

/// \brief What a node believes about another one.
enum class MemberState
{
  Alive,
  Suspect, ///< did not answer a probe
  Leaving, ///< finishes its work and takes no more
  Gone     ///< the platform no longer lists the VM
};

/// \brief A belief about a member, passed on from node to node.
struct MemberEvent
{
  NodeAddress node_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t refutations_ = 0; ///< raised by the node itself to refute a suspicion
  MemberState state_ = MemberState::Alive;

  auto operator<=>(const MemberEvent&) const = default;
};

/// \brief Tells a peer of the sender's version, incarnation and state, and of recent events.
struct Heartbeat
{
  const bool wantsReply_ = false; ///< the receiver answers with a heartbeat of its own
  const std::vector<MemberEvent> events_;
  const Duration platformAge_{}; ///< since anyone known to the sender last read the platform
  const Duration externalAge_{}; ///< since anyone known to it last heard another failure domain

  auto operator<=>(const Heartbeat&) const = default;
};

/// \brief Ends a lease: its tokens are spent, or given back if unspent.
struct LeaseClosure
{
  const std::uint64_t sequence_ = 0; ///< of the request that the lease answered
  const std::uint32_t unused_ = 0;

  auto operator<=>(const LeaseClosure&) const = default;
};

/// \brief Entry node to lessor node: asks for tokens of a team.
struct LeaseRequest
{
  const std::string team_;
  const std::uint64_t sequence_ = 0;
  const std::uint32_t requestedTokens_ = 0; ///< 0 if the message only closes leases
  const std::vector<LeaseClosure> closures_;

  auto operator<=>(const LeaseRequest&) const = default;
};

/// \brief Lessor node to entry node: tokens that may be spent until the term has passed.
struct LeaseGrant
{
  const std::string team_;
  const std::uint64_t sequence_ = 0;
  const std::uint32_t tokens_ = 0;
  const Duration term_{};       ///< counted by the holder from when it sent the request
  const Duration retryAfter_{}; ///< when the lessor expects its next token

  auto operator<=>(const LeaseGrant&) const = default;
};

/// \brief Asks whether the receiver runs at least this version, so that the sender may grant.
struct TakeoverRequest
{
  const std::uint64_t number_ = 0;

  auto operator<=>(const TakeoverRequest&) const = default;
};

/// \brief Answers a claim; the envelope says which version the sender runs.
struct TakeoverConfirmation
{
  const std::uint64_t number_ = 0;
  /// Nodes that a version took out of the failure domain and that may still run.
  const std::vector<NodeAddress> removedNodes_;

  auto operator<=>(const TakeoverConfirmation&) const = default;
};

/// \brief Every message that nodes exchange.
using Payload = std::variant<CallRequest,
                             CallReply,
                             CallCancel,
                             VersionPull,
                             VersionPush,
                             Heartbeat,
                             LeaseRequest,
                             LeaseGrant,
                             TakeoverRequest,
                             TakeoverConfirmation>;

/// \brief A message with its sender and the version that the sender runs.
struct Envelope
{
  const NodeAddress sender_;
  const std::uint64_t senderIncarnation_ = 0;
  const std::uint64_t receiverIncarnation_ = 0; ///< 0 if the sender does not know it
  const VersionId senderVersion_;
  const Duration sentAt_{}; ///< reading of the sender's clock; 0 if it does not say
  const Payload payload_;
};

/// \brief Sends messages to peers; delivery is neither certain nor in order.
template<class T>
concept PeerTransport = requires(T& aTransport, const NodeAddress& aPeer, const Envelope& aMessage)
{
  aTransport.Send(aPeer, aMessage);
};

} // namespace geraniumpin
