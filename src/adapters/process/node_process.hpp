#pragma once

#include "../connection/backend_client.hpp"
#include "../connection/http_client.hpp"
#include "../connection/json_platform.hpp"
#include "../connection/peer_transport.hpp"
#include "../connection/platform_client.hpp"
#include "../request/caller_gateway.hpp"
#include "../version/document_json.hpp"
#include "admin_gateway.hpp"
#include "event_loop.hpp"
#include "geraniumpin/process/node.hpp"
#include "geraniumpin/process/stop_schedule.hpp"
#include "line_log.hpp"
#include "processor_clock.hpp"
#include "secure_random.hpp"
#include "settings_watch.hpp"
#include "signal_watch.hpp"
#include "system_clock.hpp"

#include <malloc.h>
#include <optional>
#include <unistd.h>
#include <utility>

namespace geraniumpin {

/// \brief The project's own interface towards callers, backend servers and the platform.
struct OwnInterface
{
  using Protocol = JsonPlatform;
  using Decoder = JsonItemDecoder;

  [[nodiscard]] static HeaderNames Headers() { return {}; }
  [[nodiscard]] static BoundedSettings ApplyBounds(const Settings& aSettings)
  {
    return { aSettings, {} };
  }
  [[nodiscard]] static Decoder MakeDecoder(const Settings& /*aSettings*/) { return {}; }
};

/// \brief A node with its production ports: event loop, sockets, clock and log.
///
/// \tparam InterfaceType Header names, platform protocol and item decoder, as in OwnInterface.
///
/// \code
/// NodeProcess<OwnInterface> process(settings, "node.json");
/// return process.Run();
/// \endcode
template<class InterfaceType>
class NodeProcess
{
public:
  /// \param aSettings As in the file, without the platform's bounds.
  /// \param aSettingsPath File that is read again on SIGHUP and when it changes.
  NodeProcess(const Settings& aSettings, std::string aSettingsPath)
    : NodeProcess(aSettings, InterfaceType::ApplyBounds(aSettings), std::move(aSettingsPath))
  {
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// \brief Runs until SIGTERM or SIGINT, then drains.
  /// \returns The exit code: 0, or kExitNotDrained if requests were pending at the drain timeout.
  int Run()
  {
    log_.Write(LogEvent("node_start")
                 .With("node", settings_.PeerAddress().Text())
                 .With("failure_domain", settings_.FailureDomainName())
                 .With("service", settings_.OwnService())
                 .With("incarnation", incarnation_)
                 .With("drain_timeout_ms", settings_.DrainTimeout().count())
                 .With("apply_bound_ms", settings_.ApplyBound().count())
                 .With("contact_bound_ms", settings_.ContactBound().count()));
    while (!signals_.StopRequested()) {
      Step(node_.NextDeadline());
    }
    return Drain();
  }

private:
  NodeProcess(const Settings& aFileSettings,
              const BoundedSettings& aBounded,
              std::string aSettingsPath)
    : NodeProcess(aFileSettings, aBounded.settings_, std::move(aSettingsPath))
  {
    WriteIgnoredBounds(aBounded.ignored_);
  }

  NodeProcess(const Settings& aFileSettings, const Settings& aSettings, std::string aSettingsPath)
    : fileSettings_(aFileSettings)
    , settings_(aSettings)
    , incarnation_(MakeIncarnation())
    , decoder_(InterfaceType::MakeDecoder(aSettings))
    , signals_(loop_)
    , settingsWatch_(std::move(aSettingsPath), clock_.Now())
    , memory_(MakeMemoryBudget(aSettings))
    , backendHttp_(loop_, { kBackendIdleTimeout, aSettings.MaxBodyBytes() })
    , platformHttp_(loop_, { kPlatformIdleTimeout, kMaxPlatformBytes })
    , transport_(loop_,
                 aSettings.PeerListenAddress(),
                 aSettings.PeerKey(),
                 MakeTransportLimits(aSettings.Machine(), aSettings.MaxBodyBytes()),
                 [this](const Envelope& aEnvelope) { node_.OnEnvelope(aEnvelope); })
    , backend_(backendHttp_,
               aSettings.BackendServerAddress(),
               InterfaceType::Headers(),
               [this](const BackendCompletion& aEnd) { node_.OnBackendEnd(aEnd); })
    , platform_(platformHttp_,
                aSettings.PlatformAddress(),
                [this](const ItemsRead& aRead) { node_.OnItemsRead(aRead); })
    , callers_(loop_,
               aSettings.CallerAddress(),
               aSettings.MaxBodyBytes(),
               aSettings.Pipelining(),
               { memory_ ? &*memory_ : nullptr, aSettings.BodyProgress() },
               MakeOrigin(aSettings.PeerAddress(), incarnation_),
               InterfaceType::Headers(),
               aSettings.OwnService(),
               { [this](const Call& aCall) { node_.OnCall(aCall); },
                 [this](const CallId& aId) { node_.OnCallerGone(aId); },
                 [this](const RequestTarget& aTarget) {
                   return node_.MayRunAhead(aTarget.host_, aTarget.method_, aTarget.path_);
                 },
                 [this](const LogEvent& aEvent) { log_.Write(aEvent); } })
    , node_({ clock_, random_, log_, transport_, backend_, callers_, platform_, codec_, decoder_ },
            aSettings,
            incarnation_)
    , admin_(loop_, aSettings.AdminAddress(), MakeAdminSources())
  {
    if (!aSettings.ReadyAddress().Empty()) {
      ready_.emplace(loop_,
                     aSettings.ReadyAddress(),
                     kMaxReadyBytes,
                     HttpHandlers{ [this](ExchangeId aId, const HttpRequest& /*aRequest*/) {
                                    ready_->Respond(
                                      aId, { .status_ = node_.IsReady() ? 200 : 503, .body_ = {} });
                                  },
                                   {} });
    }
  }

  using ProcessPorts = NodePorts<const SystemClock,
                                 SecureRandom,
                                 LineLog,
                                 ZmqPeerTransport,
                                 BackendClient,
                                 CallerGateway,
                                 PlatformClient<typename InterfaceType::Protocol>,
                                 JsonPartCodec,
                                 typename InterfaceType::Decoder>;

  static std::optional<MemoryBudget> MakeMemoryBudget(const Settings& aSettings)
  {
    const auto memory = aSettings.Machine().memoryBytes_;
    if (memory > 0) {
      // A fixed threshold: the C library raises its own up to 32 MB, and bodies that then come from
      // the heap keep freed memory of other sizes (114 MB instead of 72 MB held in a test).
      mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
    }
    return memory == 0 ? std::nullopt
                       : std::optional<MemoryBudget>(
                           MemoryBudget::ComputeCapacity(memory, aSettings.MaxBodyBytes()));
  }

  AdminSources MakeAdminSources()
  {
    return { [this] { return node_.Status(); },
             [this]() -> const Metrics& { return node_.GetMetrics(); },
             [this] { return transport_.Counters(); },
             [this](const std::string& aHost,
                    const std::string& aMethod,
                    const std::string& aPath,
                    const std::optional<Digest>& aKeyDigest) {
               return node_.Explain(aHost, aMethod, aPath, aKeyDigest);
             },
             [this] { return callers_.Counters(); },
             [this] { return memory_; } };
  }

  int Drain()
  {
    // A late notice takes up to kMaxNoticeDelay of the time until the process is killed.
    const auto beganAt = std::min(clock_.Now(), signals_.StopRequestedAt() + kMaxNoticeDelay);
    const auto schedule = StopSchedule::Make(beganAt, settings_.DrainTimeout());
    const auto isIdle = [this] { return node_.IsIdle() && callers_.IsIdle(); };
    node_.BeginDrain();
    callers_.DisableKeepAlive();
    // In this time, readiness checks find the node not ready; requests are still served.
    StepUntil(schedule.acceptUntil_, [] { return false; });
    callers_.StopAccepting();
    node_.StopAccepting(); // open connections may still send requests
    // Counted from here, so that a late node reads the connections that it accepted last.
    const auto refuseUntil = clock_.Now() + kAcceptedRequestTime;
    ReadArrived();
    StepUntil(std::min(schedule.endAt_, refuseUntil), [] { return false; });
    StepUntil(schedule.endAt_, isIdle);
    const bool wasIdle = isIdle();
    const auto remaining = node_.Status();
    const auto unanswered = callers_.UnansweredRequests();
    node_.EndPending();
    ReadArrived();
    StepUntil(clock_.Now() + kMaxFlushTime, [this] { return callers_.IsIdle(); });
    log_.Write(LogEvent("node_stop")
                 .With("idle", wasIdle)
                 .With("entry_calls", remaining.entryCalls_)
                 .With("owned_attempts", remaining.ownedAttempts_)
                 .With("unanswered", unanswered)
                 .With("flushed", callers_.IsIdle())
                 .With("ms", Milliseconds(clock_.Now() - beganAt)));
    log_.Flush();
    return wasIdle ? 0 : kExitNotDrained;
  }

  /// Handles what has arrived, without sleeping.
  void ReadArrived() { Step(clock_.Now()); }

  template<class Condition>
  void StepUntil(TimePoint aEnd, Condition aDone)
  {
    while (clock_.Now() < aEnd && !aDone()) {
      Step(std::min(node_.NextDeadline(), aEnd));
    }
  }

  void Step(TimePoint aUntil)
  {
    loop_.RunOnce(std::min(aUntil, settingsWatch_.NextDeadline()));
    node_.OnTimer();
    if (signals_.TakeReloadRequest() || clock_.Now() >= settingsWatch_.NextDeadline()) {
      ReloadSettings();
    }
    transport_.Flush();
    node_.OnTurnEnd(settings_.OverloadControl() ? processorMeter_.Sample(clock_.Now())
                                                : std::nullopt);
    log_.Flush();
  }

  void ReloadSettings()
  {
    const auto reload = settingsWatch_.Check(fileSettings_, clock_.Now());
    if (!reload) {
      return;
    }
    if (!reload->settings_) {
      log_.Write(LogEvent("settings_refused", Severity::Warning)
                   .With("fault", ToString(reload->faults_.front())));
      return;
    }
    const auto bounded = InterfaceType::ApplyBounds(*reload->settings_);
    WriteIgnoredBounds(bounded.ignored_);
    const auto needsRestart = !settings_.DiffersOnlyInReloadable(bounded.settings_);
    log_.Write(LogEvent("settings_reloaded").With("needs_restart", needsRestart));
    if (!needsRestart) {
      fileSettings_ = *reload->settings_;
      settings_ = bounded.settings_;
    }
  }

  void WriteIgnoredBounds(const Faults& aFaults)
  {
    for (const auto& fault : aFaults) {
      log_.Write(LogEvent("bound_ignored", Severity::Warning).With("fault", ToString(fault)));
    }
  }

  /// Time for the connections accepted last to send their request and get its response.
  static constexpr std::chrono::milliseconds kAcceptedRequestTime{ 200 };
  /// Delay of the notice of a stop by which the stop does not end earlier.
  static constexpr std::chrono::milliseconds kMaxNoticeDelay{ 400 };
  /// Longest time to send the last responses.
  static constexpr std::chrono::milliseconds kMaxFlushTime{ 250 };
  /// Idle time of connections to a backend server that states no shorter one.
  static constexpr std::chrono::milliseconds kBackendIdleTimeout{ 4000 };
  static constexpr std::chrono::milliseconds kPlatformIdleTimeout{ 10000 };
  static constexpr std::size_t kMaxPlatformBytes = 16U << 20U;
  static constexpr std::size_t kMaxReadyBytes = 1024;
  static constexpr int kExitNotDrained = 3;
  /// Allocations of this size return to the system when they are freed; the initial threshold of
  /// the C library.
  static constexpr int kMinMappedBytes = 128 << 10;

  Settings fileSettings_;
  Settings settings_; ///< those of the file with the platform's bounds
  std::uint64_t incarnation_ = 0;
  const SystemClock clock_{};
  const ProcessProcessorClock processorClock_{};
  ProcessorMeter<ProcessProcessorClock> processorMeter_{ processorClock_ };
  SecureRandom random_;
  LineLog log_{ STDOUT_FILENO };
  const JsonPartCodec codec_{};
  const typename InterfaceType::Decoder decoder_;
  EventLoop loop_;
  SignalWatch signals_;
  SettingsWatch settingsWatch_;
  std::optional<MemoryBudget> memory_; ///< nothing if the machine's memory is unknown
  HttpClient backendHttp_;
  HttpClient platformHttp_;
  ZmqPeerTransport transport_;
  BackendClient backend_;
  PlatformClient<typename InterfaceType::Protocol> platform_;
  CallerGateway callers_;
  Node<ProcessPorts> node_;
  AdminGateway admin_;
  std::optional<HttpServer> ready_;
};

} // namespace geraniumpin
