#include "node_process.hpp"

#include "../connection/backend_client.hpp"
#include "../connection/http_client.hpp"
#include "../connection/peer_transport.hpp"
#include "../connection/platform_client.hpp"
#include "../request/caller_gateway.hpp"
#include "../version/document_json.hpp"
#include "admin_gateway.hpp"
#include "event_loop.hpp"
#include "geraniumpin/process/node.hpp"
#include "glog_log.hpp"
#include "secure_random.hpp"
#include "signal_watch.hpp"
#include "system_clock.hpp"

namespace geraniumpin {

namespace impl {
namespace {

using ProcessEnvironment = NodeEnvironment<const SystemClock,
                                           SecureRandom,
                                           GlogLog,
                                           ZmqPeerTransport,
                                           BackendClient,
                                           CallerGateway,
                                           PlatformClient,
                                           JsonPartCodec>;

constexpr std::chrono::milliseconds kBackendSilence{ 600000 }; // deadlines end requests earlier
constexpr std::chrono::milliseconds kPlatformSilence{ 10000 };
constexpr std::size_t kMostPlatformBytes = 1U << 20U;
constexpr std::size_t kIdlePlatformConnections = 4;
constexpr std::size_t kIdleBackendConnections = 64;
// Room for a whole configuration, which a starting node gets in one message.
constexpr std::size_t kMostMessageBytes = 64U << 20U;

} // namespace
} // namespace impl

/// \brief The node and everything around it, in the order in which they depend on each other.
struct NodeProcess::Impl
{
  explicit Impl(const Settings& aSettings)
    : settings_(aSettings)
    , incarnation_(MakeIncarnation())
    , signals_(loop_)
    , backendHttp_(
        loop_,
        { impl::kBackendSilence, aSettings.MostBodyBytes(), impl::kIdleBackendConnections })
    , platformHttp_(
        loop_,
        { impl::kPlatformSilence, impl::kMostPlatformBytes, impl::kIdlePlatformConnections })
    , transport_(loop_,
                 aSettings.PeerListenAddress(),
                 aSettings.PeerKey(),
                 impl::kMostMessageBytes,
                 [this](const Envelope& aEnvelope) { node_.OnEnvelope(aEnvelope); })
    , backend_(backendHttp_,
               aSettings.BackendServerAddress(),
               [this](const BackendEnd& aEnd) { node_.OnBackendEnd(aEnd); })
    , platform_(platformHttp_, aSettings.PlatformAddress(), MakePlatformEvents())
    , callers_(loop_,
               aSettings.CallerAddress(),
               aSettings.MostBodyBytes(),
               incarnation_,
               { [this](const Call& aCall) { node_.OnCall(aCall); },
                 [this](const CallId& aId) { node_.OnCallerGone(aId); } })
    , node_({ clock_, random_, log_, transport_, backend_, callers_, platform_, codec_ },
            aSettings,
            incarnation_)
    , admin_(loop_, aSettings.AdminAddress(), MakeAdminSources())
  {
  }

  PlatformEvents MakePlatformEvents()
  {
    return { [this](const HeadRead& aRead) { node_.OnHeadRead(aRead); },
             [this](const ContentRead& aRead) { node_.OnContentRead(aRead); },
             [this](const VmListRead& aRead) { node_.OnVmListRead(aRead); } };
  }

  AdminSources MakeAdminSources()
  {
    return { [this] { return node_.Status(); },
             [this]() -> const Metrics& { return node_.Measures(); },
             [this] { return transport_.Counters(); },
             [this](const std::string& aMethod,
                    const std::string& aPath,
                    const std::optional<Digest>& aKeyDigest) {
               return node_.Explain(aMethod, aPath, aKeyDigest);
             } };
  }

  int Run()
  {
    log_.Write(LogEvent("node_start")
                 .With("node", settings_.PeerAddress().Text())
                 .With("failure_domain", settings_.FailureDomainName())
                 .With("incarnation", incarnation_));
    while (!signals_.StopRequested()) {
      Step(node_.NextDeadline());
    }
    return Drain();
  }

  int Drain()
  {
    const auto end = clock_.Now() + settings_.DrainTimeout();
    node_.BeginDrain();
    callers_.BeginClosing();
    StepUntil(end, [this] { return node_.IsIdle(); });
    // Late requests are still told that they did not run.
    StepUntil(std::min(end, clock_.Now() + kQuietTime), [] { return false; });
    callers_.StopAccepting();
    StepUntil(clock_.Now() + kCloseTime, [] { return false; });
    const bool idle = node_.IsIdle() && callers_.IsIdle();
    log_.Write(LogEvent("node_stop").With("idle", idle));
    return idle ? 0 : kExitNotDrained;
  }

  template<class Condition>
  void StepUntil(TimePoint aEnd, Condition aDone)
  {
    while (clock_.Now() < aEnd && !aDone()) {
      Step(std::min(node_.NextDeadline(), aEnd));
    }
  }

  void Step(TimePoint aUntil)
  {
    loop_.RunOnce(aUntil);
    node_.OnTimer();
  }

  /// Time after the last running request in which others learn that the node leaves.
  static constexpr std::chrono::milliseconds kQuietTime{ 1500 };
  /// Time in which the last accepted connections send their request and get its response.
  static constexpr std::chrono::milliseconds kCloseTime{ 200 };
  static constexpr int kExitNotDrained = 3;

  Settings settings_;
  std::uint64_t incarnation_;
  const SystemClock clock_{};
  SecureRandom random_;
  GlogLog log_;
  const JsonPartCodec codec_{};
  EventLoop loop_;
  SignalWatch signals_;
  HttpClient backendHttp_;
  HttpClient platformHttp_;
  ZmqPeerTransport transport_;
  BackendClient backend_;
  PlatformClient platform_;
  CallerGateway callers_;
  Node<impl::ProcessEnvironment> node_;
  AdminGateway admin_;
};

NodeProcess::NodeProcess(const Settings& aSettings)
  : impl_(std::make_unique<Impl>(aSettings))
{
}

NodeProcess::~NodeProcess() = default;

int
NodeProcess::Run()
{
  return impl_->Run();
}

} // namespace geraniumpin
