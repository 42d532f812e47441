#pragma once

#include "documents.hpp"
#include "geraniumpin/connection/content_size.hpp"
#include "geraniumpin/process/node.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>

namespace geraniumpin::test {

using std::chrono::milliseconds;

/// \brief A clock that tests set.
class FakeClock
{
public:
  [[nodiscard]] TimePoint Now() const noexcept { return now_; }
  void Set(TimePoint aNow) noexcept { now_ = std::max(now_, aNow); }

private:
  TimePoint now_{ std::chrono::hours(1) };
};

/// \brief Stores log lines.
class FakeLog
{
public:
  void Write(const LogEvent& aEvent) { lines_.push_back(aEvent.Line()); }
  std::vector<std::string> lines_;
};

/// \brief Probabilities, between 0 and 1, of faults on the links between nodes.
struct LinkFaults
{
  double lossProbability_ = 0;
  double duplicationProbability_ = 0;
  double delayProbability_ = 0; ///< of an additional delay of up to three seconds
};

class FakeMesh;

/// \brief Decodes the keys "instance/ADDRESS" to an instance of the service "orders" at a node,
/// whose text is the state and the start, and "out/NAME" to that failure domain out of service;
/// other items as JsonItemDecoder does.
struct MeshItemDecoder
{
  static constexpr std::string_view kInstancePrefix = "instance/";
  static constexpr std::string_view kOutOfServicePrefix = "out/";

  [[nodiscard]] tl::expected<std::optional<DecodedItem>, Faults> Decode(
    std::string_view aKey,
    std::string_view aText) const
  {
    if (aKey.starts_with(kOutOfServicePrefix)) {
      return std::optional<DecodedItem>(
        DomainOutOfService{ std::string(aKey.substr(kOutOfServicePrefix.size())) });
    }
    if (!aKey.starts_with(kInstancePrefix)) {
      return JsonItemDecoder{}.Decode(aKey, aText);
    }
    const auto node = *NodeAddress::Parse(std::string(aKey.substr(kInstancePrefix.size())));
    std::istringstream text{ std::string(aText) };
    std::string state;
    std::uint64_t startedAt = 0;
    text >> state >> startedAt;
    return std::optional<DecodedItem>(
      PublishedInstance{ .service_ = "orders",
                         .backendServer_ = { .name_ = node.Text(),
                                             .failureDomain_ = DomainOf(node),
                                             .node_ = node,
                                             .state_ = state == "draining" ? InstanceState::Draining
                                                                           : InstanceState::Ready,
                                             .startedAt_ = startedAt } });
  }
};

/// \brief A read of the platform by a node.
struct FakeRead
{
  NodeAddress node_;
  TimePoint sentAt_;
  std::string afterKey_;                 ///< of a listing
  std::optional<std::uint64_t> watched_; ///< the revision of a watch
  TimePoint waitsUntil_;                 ///< of a watch
};

/// \brief Implements all ports of one fake node.
struct FakePorts
{
  void Send(const NodeAddress& aPeer, const Envelope& aMessage);
  void Reconnect(const NodeAddress& aPeer);
  void Start(const BackendRequest& aRequest);
  void Cancel(const AttemptId& aId);
  void Reply(const CallId& aId, const Answer& aAnswer);
  void ReadItems(const std::string& aAfterKey);
  void WatchItems(std::uint64_t aRevision, Duration aWait);
  void CancelRead();
  /// Requests the answer of FakeMesh::answerRead_ until there is one.
  void Ask(const FakeRead& aQuestion, std::uint64_t aRead);

  FakeMesh& mesh_;
  NodeAddress self_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t read_ = 0; ///< number of the read in flight; responses to others are dropped
};

using FakeNodePorts = NodePorts<const FakeClock,
                                std::mt19937_64,
                                FakeLog,
                                FakePorts,
                                FakePorts,
                                FakePorts,
                                FakePorts,
                                JsonPartCodec,
                                MeshItemDecoder>;

/// \brief A node that runs on fake ports.
struct FakeNode
{
  FakePorts ports_;
  FakeLog log_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t calls_ = 0; ///< number of requests sent to this node
  bool paused_ = false;
  std::unique_ptr<Node<FakeNodePorts>> node_;
};

/// \brief Simulates nodes, the links between them with faults, the platform and backend servers.
///
/// Events run in the order of a fake clock and randomness comes from one seed, so runs are
/// reproducible.
class FakeMesh
{
public:
  explicit FakeMesh(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  // Control of the platform.
  void Publish(const EncodedDocument& aDocument)
  {
    PublishText(aDocument.manifest_.number_.revision_, aDocument.text_);
  }
  void PublishText(std::uint64_t aRevision, const std::string& aText)
  {
    revision_ = aRevision;
    text_ = aText;
  }
  /// \brief Publishes the list of VMs; nodes read it together with the next document.
  void PublishVms(const std::vector<NodeAddress>& aNodes)
  {
    auto vms = nlohmann::json::array();
    for (const auto& node : aNodes) {
      vms.push_back({ { "node", node.Text() } });
    }
    vms_ = nlohmann::json{ { "vms", vms } }.dump();
  }

  // Control of the nodes.
  /// \brief Starts a node, or restarts it with a new incarnation.
  void Start(const NodeAddress& aNode, const std::string& aDomain)
  {
    ForgetConnections(aNode);
    highestRead_.erase(aNode);
    auto& fake = nodes_[aNode];
    if (fake) {
      stoppedNodes_.push_back(std::move(fake)); // pending events refer to its ports
    }
    incarnations_ = sameIncarnation_ ? 1 : incarnations_ + 1;
    fake =
      std::make_unique<FakeNode>(FakeNode{ { *this, aNode, incarnations_ }, {}, incarnations_ });
    const auto port = [](const std::string& aIp, int aPort) {
      return *NodeAddress::Parse(aIp + ":" + std::to_string(aPort));
    };
    std::vector<NodeAddress> seeds;
    for (const auto& [node, other] : nodes_) {
      seeds.push_back(node);
    }
    SettingsBuilder builder("test");
    if (configure_) {
      configure_(builder);
    }
    const auto settings = builder.PeerAddress(aNode)
                            .CallerAddress(port(aNode.Ip(), 8000))
                            .AdminAddress(port(aNode.Ip(), 8100))
                            .BackendServerAddress(port(aNode.Ip(), 9000))
                            .PlatformAddress(port("127.0.0.1", 8500))
                            .FailureDomainName(aDomain)
                            .PeerKey("0123456789abcdef")
                            .Seeds(seeds)
                            .OverloadControl(overloadControl_)
                            .Build();
    auto& ports = fake->ports_;
    fake->node_ = std::make_unique<Node<FakeNodePorts>>(
      FakeNodePorts{ clock_, random_, fake->log_, ports, ports, ports, ports, codec_, decoder_ },
      settings.value(),
      fake->incarnation_);
    fake->node_->OnTimer();
  }
  void Kill(const NodeAddress& aNode)
  {
    ForgetConnections(aNode);
    stoppedNodes_.push_back(std::move(nodes_.at(aNode)));
    nodes_.erase(aNode);
  }
  /// \brief Makes open connections between nodes silent: without an error, nothing that is sent on
  /// them arrives any more. New connections work.
  /// \param aIsAffected Whether the connection on which the first node sends to the second one is
  /// affected.
  void SilenceConnections(
    const std::function<bool(const NodeAddress&, const NodeAddress&)>& aIsAffected)
  {
    for (const auto& connection : openConnections_) {
      if (aIsAffected(connection.first, connection.second)) {
        silentConnections_.insert(connection);
      }
    }
  }
  [[nodiscard]] std::size_t CountSilentConnections() const { return silentConnections_.size(); }
  void Pause(const NodeAddress& aNode) { nodes_.at(aNode)->paused_ = true; }
  /// \brief Resumes a paused node: deferred events are delivered before its timers run.
  void Resume(const NodeAddress& aNode)
  {
    nodes_.at(aNode)->paused_ = false;
    for (auto& event : std::exchange(deferredEvents_[aNode], {})) {
      event();
    }
  }
  [[nodiscard]] bool IsRunning(const NodeAddress& aNode) const { return nodes_.contains(aNode); }
  [[nodiscard]] Node<FakeNodePorts>& At(const NodeAddress& aNode)
  {
    return *nodes_.at(aNode)->node_;
  }
  [[nodiscard]] const std::vector<std::string>& GetLog(const NodeAddress& aNode) const
  {
    return nodes_.at(aNode)->log_.lines_;
  }

  /// \brief Sends a request to a node as a caller; answers_ and runs_ record the result.
  CallId Call(const NodeAddress& aNode,
              const std::string& aTeam,
              const std::string& aMethod = "POST",
              const std::string& aPath = "/orders/1",
              const std::string& aBody = "body")
  {
    auto& fake = *nodes_.at(aNode);
    const CallId id{ MakeOrigin(aNode, fake.incarnation_), ++fake.calls_ };
    ++calls_;
    const geraniumpin::Call call{ .id_ = id,
                                  .requestId_ = "r" + std::to_string(calls_),
                                  .method_ = aMethod,
                                  .host_ = {},
                                  .path_ = aPath,
                                  .headers_ = {},
                                  .body_ = MakeBody(aBody),
                                  .key_ = aTeam.empty() ? "" : "key-" + aTeam,
                                  .callToken_ = {},
                                  .idempotencyKey_ = {},
                                  .arrivedAt_ = clock_.Now(),
                                  .timeout_ = {} };
    Deliver(aNode, [this, aNode, call] { At(aNode).OnCall(call); });
    return id;
  }

  /// \brief Runs all events and timers that are due within a period.
  void Run(Duration aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (true) {
      auto next = events_.empty() ? end : events_.top().at_;
      for (const auto& [address, fake] : nodes_) {
        next = fake->paused_ ? next : std::min(next, fake->node_->NextDeadline());
      }
      if (next >= end) {
        break;
      }
      clock_.Set(next);
      while (!events_.empty() && events_.top().at_ <= clock_.Now()) {
        const auto action = events_.top().action_;
        events_.pop();
        action();
      }
      RunTimers();
      if (afterTurn_) {
        afterTurn_();
      }
    }
    clock_.Set(end);
    RunTimers();
  }

  /// \brief Schedules an action after a delay.
  void At(Duration aDelay, std::function<void()> aAction)
  {
    events_.push({ clock_.Now() + aDelay, ++sequence_, std::move(aAction) });
  }

  /// \brief Returns how often a backend server ran a request.
  [[nodiscard]] std::size_t CountRuns(const CallId& aId) const
  {
    return static_cast<std::size_t>(runs_.count(aId));
  }

  /// \brief Returns how many attempts nodes have cancelled at their backend servers.
  [[nodiscard]] std::size_t CountCancelled() const { return cancelled_.size(); }

  FakeClock clock_;
  std::mt19937_64 random_;
  LinkFaults faults_;
  /// Whether messages from the first to the second node are lost; may be empty.
  std::function<bool(const NodeAddress&, const NodeAddress&)> isPartitioned_;
  /// Rate at which a node receives from all others together; without one it receives at once.
  std::map<NodeAddress, std::uint64_t> linkBitsPerSecond_;
  Duration longestLinkQueue_{}; ///< time for what was under way to such a node
  bool platformDown_ = false;
  bool overloadControl_ = false; ///< of the nodes that are started from here on
  /// Nodes of the release before, which know neither document nor era nor interim versions, and
  /// ignore answers of the platform with a lower revision than before.
  std::set<NodeAddress> earlierNodes_;
  std::optional<std::uint64_t> era_; ///< that the platform states
  bool sameIncarnation_ = false;     ///< nodes start with incarnation 1, as if at the same time
  /// Whether the platform fails for a node; may be empty.
  std::function<bool(const NodeAddress&)> isPlatformUnreachable_;
  std::map<NodeAddress, std::size_t> platformReads_;
  /// Makes the response to a read of all items after a key, in place of the published items; may be
  /// empty.
  std::function<ItemsRead(const std::string&)> makePage_;
  /// Answers a read in place of the published items, or nothing as long as it waits; may be empty.
  std::function<std::optional<ItemsRead>(const FakeRead&)> answerRead_;
  std::function<void()> afterTurn_; ///< called after events and timers ran; may be empty
  Duration serviceTime_ = milliseconds(5);
  /// Service time of a request at the backend server of a node; serviceTime_ if empty.
  std::function<Duration(const NodeAddress&)> getServiceTime_;
  /// HTTP status of the answers of the backend server of a node; 200 if empty.
  std::function<int(const NodeAddress&)> getStatus_;
  std::function<void(SettingsBuilder&)> configure_; ///< settings of the nodes; may be empty
  std::size_t answerPadding_ = 0;                   ///< bytes at the end of an answer
  /// How an exchange with the backend server of a node ends; Answered if empty.
  std::function<BackendResult(const NodeAddress&)> getBackendResult_;
  std::map<CallId, Answer> answers_;
  std::multimap<CallId, TimePoint> runs_;
  std::vector<std::pair<TimePoint, Envelope>> sent_;
  std::size_t sentCount_ = 0;
  bool recordSent_ = false;
  std::vector<BackendRequest> backendRequests_;

private:
  friend struct FakePorts;
  struct Event
  {
    TimePoint at_;
    std::uint64_t sequence_;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at_, aOther.sequence_) < std::tie(at_, sequence_);
    }
  };

  void RunTimers()
  {
    for (auto& [address, fake] : nodes_) {
      if (!fake->paused_ && fake->node_->NextDeadline() <= clock_.Now()) {
        fake->node_->OnTimer();
        if (fake->node_->NextDeadline() <= clock_.Now()) {
          throw std::logic_error("node " + address.Text() +
                                 " has a timer that is due again at once");
        }
      }
    }
  }

  void ForgetConnections(const NodeAddress& aNode)
  {
    const auto isOfNode = [&](const auto& aConnection) {
      return aConnection.first == aNode || aConnection.second == aNode;
    };
    std::erase_if(openConnections_, isOfNode);
    std::erase_if(silentConnections_, isOfNode);
  }

  /// Delivers an event to a running node, or defers it while the node is paused.
  void Deliver(const NodeAddress& aNode, const std::function<void()>& aAction)
  {
    const auto found = nodes_.find(aNode);
    if (found == nodes_.end()) {
      return;
    }
    if (found->second->paused_) {
      deferredEvents_[aNode].push_back(aAction);
    } else {
      aAction();
    }
  }

  [[nodiscard]] bool IsPlatformDown(const NodeAddress& aNode) const
  {
    return platformDown_ || (isPlatformUnreachable_ && isPlatformUnreachable_(aNode));
  }

  [[nodiscard]] Duration DrawDelay()
  {
    const auto base = std::chrono::duration_cast<Duration>(DrawFraction(random_) * milliseconds(2));
    const bool isDelayed = DrawFraction(random_) < faults_.delayProbability_;
    return isDelayed ? base + std::chrono::duration_cast<Duration>(DrawFraction(random_) *
                                                                   milliseconds(3000))
                     : base;
  }

  void AnswerRead(FakePorts& aPorts, std::uint64_t aRead, bool aWithItems);

  /// Appends a message to what is under way to a node, and returns the time until it has arrived.
  [[nodiscard]] Duration QueueOnLink(const NodeAddress& aTo, const Envelope& aMessage)
  {
    constexpr std::size_t kHeaderBytes = 300;
    const auto rate = linkBitsPerSecond_.find(aTo);
    if (rate == linkBitsPerSecond_.end()) {
      return {};
    }
    const auto bytes = ContentBytes(aMessage.payload_) + kHeaderBytes;
    const std::chrono::duration<double> transfer(static_cast<double>(bytes) * 8 /
                                                 static_cast<double>(rate->second));
    auto& freeAt = linkFreeAt_[aTo];
    freeAt = std::max(freeAt, clock_.Now()) + std::chrono::duration_cast<Duration>(transfer);
    longestLinkQueue_ = std::max(longestLinkQueue_, freeAt - clock_.Now());
    return freeAt - clock_.Now();
  }

  void Transmit(const NodeAddress& aFrom, const NodeAddress& aTo, const Envelope& aMessage)
  {
    ++sentCount_;
    openConnections_.emplace(aFrom, aTo);
    if (recordSent_) {
      sent_.emplace_back(clock_.Now(), aMessage);
    }
    const int copies = 1 + (DrawFraction(random_) < faults_.duplicationProbability_ ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy) {
      if (DrawFraction(random_) < faults_.lossProbability_ ||
          (isPartitioned_ && isPartitioned_(aFrom, aTo)) ||
          silentConnections_.contains({ aFrom, aTo })) {
        continue;
      }
      At(DrawDelay() + QueueOnLink(aTo, aMessage), [this, aFrom, aTo, aMessage] {
        const bool isMixed = earlierNodes_.contains(aFrom) || earlierNodes_.contains(aTo);
        if (isMixed && IsUnknownToEarlierRelease(aMessage.payload_)) {
          return;
        }
        const auto message = isMixed ? AsOfEarlierRelease(aMessage) : aMessage;
        Deliver(aTo, [this, aTo, message] { At(aTo).OnEnvelope(message); });
      });
    }
  }

  static bool IsUnknownToEarlierRelease(const Payload& aPayload)
  {
    return std::holds_alternative<CallOffer>(aPayload) ||
           std::holds_alternative<ReplyOffer>(aPayload) ||
           std::holds_alternative<BodyGrant>(aPayload);
  }

  /// Returns what a node of the release before reads and writes of a message.
  static Envelope AsOfEarlierRelease(const Envelope& aMessage)
  {
    const auto strip = [](const VersionId& aId) {
      return VersionId{ { .revision_ = aId.number_.revision_ }, aId.digest_ };
    };
    auto payload = aMessage.payload_;
    if (const auto* pull = std::get_if<VersionPull>(&aMessage.payload_)) {
      payload.emplace<VersionPull>(VersionPull{ strip(pull->runningVersion_), pull->parts_ });
    } else if (const auto* push = std::get_if<VersionPush>(&aMessage.payload_)) {
      const auto& delta = push->delta_;
      payload.emplace<VersionPush>(VersionPush{ { .from_ = strip(delta.from_),
                                                  .to_ = strip(delta.to_),
                                                  .changed_ = delta.changed_,
                                                  .removed_ = delta.removed_ },
                                                push->relay_ });
    }
    return { .sender_ = aMessage.sender_,
             .senderIncarnation_ = aMessage.senderIncarnation_,
             .receiverIncarnation_ = aMessage.receiverIncarnation_,
             .senderVersion_ = strip(aMessage.senderVersion_),
             .sentAt_ = aMessage.sentAt_,
             .link_ = aMessage.link_,
             .payload_ = std::move(payload) };
  }

  /// Returns what a node of the release before makes of an answer of the platform.
  ItemsRead AsReadByEarlierRelease(const NodeAddress& aNode, ItemsRead aRead)
  {
    if (aRead.revision_ < highestRead_[aNode]) {
      aRead.items_.clear();
    }
    aRead.revision_ = std::max(aRead.revision_, highestRead_[aNode]);
    aRead.era_.reset();
    return aRead;
  }

  /// Delivers an event only to the incarnation of a node that owns the ports.
  void DeliverToIncarnation(const FakePorts& aPorts,
                            const std::function<void(Node<FakeNodePorts>&)>& aAction)
  {
    const auto self = aPorts.self_;
    const auto incarnation = aPorts.incarnation_;
    Deliver(self, [this, self, incarnation, aAction] {
      if (nodes_.contains(self) && nodes_.at(self)->incarnation_ == incarnation) {
        aAction(At(self));
      }
    });
  }

  std::map<NodeAddress, std::unique_ptr<FakeNode>> nodes_;
  std::vector<std::unique_ptr<FakeNode>> stoppedNodes_;
  std::map<NodeAddress, std::vector<std::function<void()>>> deferredEvents_;
  /// The sender and the receiver of each connection.
  std::set<std::pair<NodeAddress, NodeAddress>> openConnections_;
  std::set<std::pair<NodeAddress, NodeAddress>> silentConnections_;
  std::priority_queue<Event> events_;
  std::map<NodeAddress, TimePoint> linkFreeAt_;
  std::map<NodeAddress, std::uint64_t> highestRead_; ///< revision of the platform
  std::uint64_t sequence_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t calls_ = 0;
  std::string text_;
  std::string vms_;
  std::uint64_t revision_ = 0;
  std::set<AttemptId> cancelled_;
  const JsonPartCodec codec_{};
  const MeshItemDecoder decoder_{};
};

inline void
FakePorts::Send(const NodeAddress& aPeer, const Envelope& aMessage)
{
  mesh_.Transmit(self_, aPeer, aMessage);
}

inline void
FakePorts::Reconnect(const NodeAddress& aPeer)
{
  mesh_.openConnections_.erase({ self_, aPeer });
  mesh_.silentConnections_.erase({ self_, aPeer });
}

inline void
FakePorts::Start(const BackendRequest& aRequest)
{
  const auto id = aRequest.id_;
  mesh_.runs_.emplace(id.call_, mesh_.clock_.Now());
  mesh_.backendRequests_.push_back(aRequest);
  const auto serviceTime =
    mesh_.getServiceTime_ ? mesh_.getServiceTime_(self_) : mesh_.serviceTime_;
  mesh_.At(serviceTime, [this, id] {
    if (mesh_.cancelled_.contains(id)) {
      return;
    }
    const auto result =
      mesh_.getBackendResult_ ? mesh_.getBackendResult_(self_) : BackendResult::Answered;
    const BackendCompletion end{ .id_ = id,
                                 .result_ = result,
                                 .status_ = mesh_.getStatus_ ? mesh_.getStatus_(self_) : 200,
                                 .headers_ = {},
                                 .body_ = MakeBody("answer to " + ToString(id.call_) +
                                                   std::string(mesh_.answerPadding_, ' ')),
                                 .detail_ = result == BackendResult::Broken ? "bad status" : "" };
    mesh_.DeliverToIncarnation(*this, [end](auto& aNode) { aNode.OnBackendEnd(end); });
  });
}

inline void
FakePorts::Cancel(const AttemptId& aId)
{
  mesh_.cancelled_.insert(aId);
}

inline void
FakePorts::Reply(const CallId& aId, const Answer& aAnswer)
{
  mesh_.answers_.emplace(aId, aAnswer);
}

inline void
FakePorts::Ask(const FakeRead& aQuestion, std::uint64_t aRead)
{
  constexpr milliseconds kPollPeriod{ 20 };
  if (aRead != read_) {
    return;
  }
  if (const auto answer = mesh_.answerRead_(aQuestion)) {
    mesh_.At(mesh_.DrawDelay(), [this, answer = *answer, aRead] {
      if (aRead == read_) {
        mesh_.DeliverToIncarnation(*this, [answer](auto& aNode) { aNode.OnItemsRead(answer); });
      }
    });
    return;
  }
  mesh_.At(kPollPeriod, [this, aQuestion, aRead] { Ask(aQuestion, aRead); });
}

inline void
FakePorts::ReadItems(const std::string& aAfterKey)
{
  if (mesh_.answerRead_) {
    ++mesh_.platformReads_[self_];
    const auto now = mesh_.clock_.Now();
    Ask({ self_, now, aAfterKey, std::nullopt, now }, ++read_);
    return;
  }
  if (!mesh_.makePage_) {
    mesh_.AnswerRead(*this, ++read_, true);
    return;
  }
  ++mesh_.platformReads_[self_];
  const auto page = mesh_.makePage_(aAfterKey);
  mesh_.At(milliseconds(1), [this, page, read = ++read_] {
    if (read == read_) {
      mesh_.DeliverToIncarnation(*this, [page](auto& aNode) { aNode.OnItemsRead(page); });
    }
  });
}

/// A watch completes at once if the revision differs, otherwise after 100 ms, then with items only
/// if the revision has changed.
inline void
FakePorts::WatchItems(std::uint64_t aRevision, Duration aWait)
{
  if (mesh_.answerRead_) {
    ++mesh_.platformReads_[self_];
    const auto now = mesh_.clock_.Now();
    Ask({ self_, now, {}, aRevision, now + aWait }, ++read_);
    return;
  }
  const bool isNew = aRevision != mesh_.revision_;
  mesh_.At(isNew ? milliseconds(0) : milliseconds(100), [this, aRevision, read = ++read_] {
    mesh_.AnswerRead(*this, read, aRevision != mesh_.revision_);
  });
}

inline void
FakePorts::CancelRead()
{
  ++read_;
}

inline void
FakeMesh::AnswerRead(FakePorts& aPorts, std::uint64_t aRead, bool aWithItems)
{
  ++platformReads_[aPorts.self_];
  At(milliseconds(1), [this, &aPorts, aRead, aWithItems] {
    if (aRead != aPorts.read_) {
      return;
    }
    const bool down = IsPlatformDown(aPorts.self_) || text_.empty();
    ItemsRead read{ .result_ = down ? ReadResult::Failed : ReadResult::Complete,
                    .revision_ = revision_,
                    .era_ = era_ };
    if (aWithItems) {
      read.items_.push_back({ std::string(JsonItemDecoder::kDocumentKey), text_ });
      read.items_.push_back({ std::string(JsonItemDecoder::kVmListKey), vms_ });
    }
    if (earlierNodes_.contains(aPorts.self_) && !down) {
      read = AsReadByEarlierRelease(aPorts.self_, std::move(read));
    }
    highestRead_[aPorts.self_] = std::max(highestRead_[aPorts.self_], down ? 0 : read.revision_);
    DeliverToIncarnation(aPorts, [read](auto& aNode) { aNode.OnItemsRead(read); });
  });
}

/// \brief Starts all nodes of a document and runs the mesh for 6 s, in which they begin to serve.
inline std::vector<NodeAddress>
StartAll(FakeMesh& aMesh, const DocumentOptions& aOptions)
{
  aMesh.Publish(Encode(MakeDocument(aOptions)));
  std::vector<NodeAddress> nodes;
  for (int domain = 1; domain <= aOptions.domains_; ++domain) {
    for (int index = 1; index <= aOptions.nodesPerDomain_; ++index) {
      nodes.push_back(NodeAt(domain, index));
    }
  }
  aMesh.PublishVms(nodes);
  for (int domain = 1; domain <= aOptions.domains_; ++domain) {
    for (int index = 1; index <= aOptions.nodesPerDomain_; ++index) {
      aMesh.Start(NodeAt(domain, index), "zone-" + std::to_string(domain));
    }
  }
  aMesh.Run(std::chrono::seconds(6));
  return nodes;
}

} // namespace geraniumpin::test
