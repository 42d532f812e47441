#pragma once

#include "geraniumpin/connection/transfer.hpp"
#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/owner_room.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/request/instance_choice.hpp"
#include "geraniumpin/version/version_store.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpin {

/// \brief Entry node to owner node: execute this attempt of a request.
struct CallRequest
{
  const CallId id_;
  const std::uint32_t attempt_ = 0;
  const std::string requestId_; ///< as the caller sent it; for logs
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
  const Duration queueTimeout_{}; ///< longest wait in the owner's queue
  const std::uint64_t caller_ =
    0; ///< hash that distinguishes callers of the entry node; 0: unknown
  const bool returnedEarly_ =
    false;                      ///< the caller returned before the Retry-After that it was given
  const bool isRepeat_ = false; ///< a call of an execution that is itself a retry
};

/// \brief Owner node to entry node: result of an attempt, with the load of the instance.
struct CallReply
{
  const CallId id_;
  const std::uint32_t attempt_ = 0;
  const Answer answer_;
  const LoadReport loadReport_;
  const Duration queueTime_{};            ///< time in the owner's queue
  const Duration instanceTime_{};         ///< time at the instance
  const std::optional<OwnerRoom> room_{}; ///< nothing: the owner states none
  const bool isCallRoute_ = false; ///< the requests of the route are calls of backend servers
  const std::vector<CalledService> called_{}; ///< by executions of the route of the request
};

/// \brief Entry node to owner node: a request whose body waits for a BodyGrant.
struct CallOffer
{
  const CallRequest request_; ///< without its body
  const std::uint64_t bodyBytes_ = 0;
};

/// \brief Owner node to entry node: a reply is ready; its body waits for a BodyGrant.
struct ReplyOffer
{
  const AttemptId id_;
  const std::uint64_t bodyBytes_ = 0;

  auto operator<=>(const ReplyOffer&) const = default;
};

/// \brief Receiver of an offer to its sender: send the CallRequest or CallReply with its body now.
struct BodyGrant
{
  const TransferId id_;

  auto operator<=>(const BodyGrant&) const = default;
};

/// \brief Entry node to owner node: the result of this attempt is no longer needed.
struct CallCancel
{
  const CallId id_;
  const std::uint32_t attempt_ = 0;

  auto operator<=>(const CallCancel&) const = default;
};

/// \brief Requests the change from the version that the sender runs to that of the receiver.
struct VersionPull
{
  const VersionId runningVersion_;
  const PartDigests parts_; ///< of that version, from which any receiver can compute the change

  auto operator<=>(const VersionPull&) const = default;
};

/// \brief A change of configuration.
struct VersionPush
{
  const Delta delta_;
  const bool relay_ = false; ///< the receiver sends it on to its children in the tree
};

/// \brief State of a node as another node has recorded it.
enum class MemberState
{
  Alive,
  Suspect, ///< did not answer a probe
  Leaving, ///< finishes its requests and accepts no new ones
  Gone     ///< the platform no longer lists the VM
};

/// \brief The recorded state of a node, passed on by gossip.
struct MemberEvent
{
  NodeAddress node_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t refutations_ = 0; ///< raised by the node itself to refute a suspicion
  MemberState state_ = MemberState::Alive;

  auto operator<=>(const MemberEvent&) const = default;
};

/// \brief Recent membership events; the version and incarnation of the sender are in the envelope.
struct Heartbeat
{
  const bool wantsReply_ = false; ///< the receiver answers with a heartbeat of its own
  const std::vector<MemberEvent> events_;
  const Duration platformAge_{}; ///< since the last read of the platform known to the sender
  const Duration externalAge_{}; ///< since the last known contact with another failure domain

  auto operator<=>(const Heartbeat&) const = default;
};

/// \brief Ends a lease: its tokens are consumed, or returned if unused.
struct LeaseClosure
{
  const std::uint64_t sequence_ = 0; ///< of the request that the lease answered
  const std::uint32_t unused_ = 0;   ///< tokens that are returned

  auto operator<=>(const LeaseClosure&) const = default;
};

/// \brief Entry node to lessor: requests tokens of a team, and closes leases.
struct LeaseRequest
{
  const std::string team_;
  const std::uint64_t sequence_ = 0;
  const std::uint32_t requestedTokens_ = 0; ///< 0 if the message only closes leases
  const std::vector<LeaseClosure> closures_;

  auto operator<=>(const LeaseRequest&) const = default;
};

/// \brief Lessor to entry node: tokens that may be consumed until the term has passed.
struct LeaseGrant
{
  const std::string team_;
  const std::uint64_t sequence_ = 0;
  const std::uint32_t tokens_ = 0;
  const Duration term_{};       ///< counted by the holder from the sending of its request
  const Duration retryAfter_{}; ///< time until the lessor expects its next token

  auto operator<=>(const LeaseGrant&) const = default;
};

/// \brief New lessor to a node of its failure domain: requests confirmation that the receiver runs
/// a version, so that the sender may grant.
struct TakeoverRequest
{
  const std::uint64_t number_ = 0; ///< revision of the version of the takeover; for logs

  auto operator<=>(const TakeoverRequest&) const = default;
};

/// \brief Answers a takeover request; the envelope has the version that the sender runs.
struct TakeoverConfirmation
{
  const std::uint64_t number_ = 0;
  /// Nodes that a version removed from the failure domain and that may still run.
  const std::vector<NodeAddress> removedNodes_;

  auto operator<=>(const TakeoverConfirmation&) const = default;
};

/// \brief Confirms messages of the receiver, if no other message does: the envelope has the
/// confirmation.
struct LinkAck
{
  auto operator<=>(const LinkAck&) const = default;
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
                             TakeoverConfirmation,
                             LinkAck,
                             CallOffer,
                             ReplyOffer,
                             BodyGrant>;

/// \brief Copies a request with another body and remaining time.
[[nodiscard]] CallRequest
WithBody(const CallRequest& aRequest, const Body& aBody, Duration aRemaining);

/// \brief State of the link between two nodes as the sender of a message has recorded it.
struct LinkHeader
{
  /// Reading of the receiver's clock in its latest message that arrived; 0: none did.
  const Duration confirmed_{};
  /// Connections to the receiver that the sender replaced because they were silent.
  const std::uint32_t replacements_ = 0;

  auto operator<=>(const LinkHeader&) const = default;
};

/// \brief A message with its sender and the version that the sender runs.
struct Envelope
{
  const NodeAddress sender_;
  const std::uint64_t senderIncarnation_ = 0;
  const std::uint64_t receiverIncarnation_ = 0; ///< 0 if unknown to the sender
  const VersionId senderVersion_;
  const Duration sentAt_{};              ///< reading of the sender's clock; 0: unknown
  const std::optional<LinkHeader> link_; ///< nothing: the sender is of an earlier release
  /// Size in bytes from which bodies must be offered to the sender; 0: never.
  const std::uint64_t offerMinBytes_ = 0;
  const Payload payload_;
};

/// \brief Sends messages to peers; delivery and its order are not guaranteed. Reconnect replaces
/// the connection to a peer.
template<class T>
concept PeerTransport = requires(T& aTransport, const NodeAddress& aPeer, const Envelope& aMessage)
{
  aTransport.Send(aPeer, aMessage);
  aTransport.Reconnect(aPeer);
};

} // namespace geraniumpin
