#pragma once

#include "geraniumpin/connection/holding_connection.hpp"
#include "geraniumpin/connection/link_window.hpp"
#include "geraniumpin/connection/request_pipeline.hpp"
#include "geraniumpin/request/retry_policy.hpp"
#include "geraniumpin/version/fault.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumpin {

/// \brief The protocols between a node and its callers, backend server and platform.
enum class Interface
{
  Own,  ///< those of this project
  Users ///< those of the users' platform, see docs/PLATFORM.md
};

/// \brief How an entry node compares instances and sends requests to other failure domains.
enum class Balancing
{
  Load,      ///< by load and share of the target; a service spills over as a whole
  Completion ///< by expected completion; the excess of a service spills over
};

/// \brief Limits of the machine on which a node runs; 0: unknown.
struct MachineLimits
{
  std::size_t memoryBytes_ = 0;         ///< above which the process is killed
  std::size_t maxDescriptors_ = 0;      ///< that the process may have open
  std::uint64_t linkBitsPerSecond_ = 0; ///< of the link, in each direction
  double processorShare_ = 0;           ///< cores that the process may use

  auto operator<=>(const MachineLimits&) const = default;
};

/// \brief Settings of a node process; built by SettingsBuilder.
class Settings
{
public:
  /// \brief Address on which peers reach this node; identifies the node in the document.
  [[nodiscard]] const NodeAddress& PeerAddress() const noexcept { return peerAddress_; }
  /// \brief Address on which the node listens for peers; PeerAddress unless set.
  [[nodiscard]] const NodeAddress& PeerListenAddress() const noexcept
  {
    return peerListen_.Empty() ? peerAddress_ : peerListen_;
  }
  /// \brief Address for callers.
  [[nodiscard]] const NodeAddress& CallerAddress() const noexcept { return callerAddress_; }
  /// \brief Address for operators: status, metrics, explain.
  [[nodiscard]] const NodeAddress& AdminAddress() const noexcept { return adminAddress_; }
  [[nodiscard]] const std::string& FailureDomainName() const noexcept { return failureDomain_; }
  /// \brief Address of the backend server on this VM.
  [[nodiscard]] const NodeAddress& BackendServerAddress() const noexcept { return backendServer_; }
  [[nodiscard]] const NodeAddress& PlatformAddress() const noexcept { return platform_; }
  /// \brief Protocols of callers, the backend server and the platform.
  [[nodiscard]] Interface InterfaceKind() const noexcept { return interface_; }
  /// \brief True if reads of the platform always include every write that it acknowledged.
  [[nodiscard]] bool IsPlatformLinearizable() const noexcept { return platformIsLinearizable_; }
  /// \brief Fraction by which a team may temporarily exceed its rate and burst.
  ///
  /// From kImmediateGrantTolerance on a new lessor grants without waiting until the leases of its
  /// predecessor have ended; 0 keeps the limits strict.
  [[nodiscard]] double LimitTolerance() const noexcept { return limitTolerance_; }
  static constexpr double kImmediateGrantTolerance = 0.2;
  /// \brief Number of requests by which a team may exceed its burst, over all nodes.
  ///
  /// The bucket of a small team holds few tokens, and its callers may each use another node.
  [[nodiscard]] double LimitSlack() const noexcept { return limitSlack_; }
  /// \brief Address of the readiness check; empty: none.
  [[nodiscard]] const NodeAddress& ReadyAddress() const noexcept { return ready_; }
  /// \brief Name of the service that the backend server on this VM runs; empty: unknown.
  [[nodiscard]] const std::string& OwnService() const noexcept { return ownService_; }
  /// \brief Names of all failure domains, for platforms whose document does not list them.
  [[nodiscard]] const std::vector<std::string>& FailureDomainNames() const noexcept
  {
    return failureDomains_;
  }
  /// \brief Peers to contact at the start, in addition to the VMs that the platform lists.
  [[nodiscard]] const std::vector<NodeAddress>& Seeds() const noexcept { return seeds_; }
  /// \brief Secret shared by all nodes that authenticates their messages.
  [[nodiscard]] const std::string& PeerKey() const noexcept { return peerKey_; }
  /// \brief Maximum size of a request or answer body in bytes.
  [[nodiscard]] std::size_t MaxBodyBytes() const noexcept { return maxBodyBytes_; }
  /// \brief Limits of the requests of one caller's connection that are served at the same time.
  [[nodiscard]] PipelineLimits Pipelining() const noexcept
  {
    return { .maxRequests_ = pipelinedRequests_, .maxResponseBytes_ = pipelinedBytes_ };
  }
  /// \brief Least progress of a request body.
  [[nodiscard]] ProgressLimits BodyProgress() const noexcept
  {
    return { .bodyTimeout_ = bodyTimeout_, .minBytesPerSecond_ = minBodyBytesPerSecond_ };
  }
  /// \brief Longest time from the platform's acknowledgement of a version until it is in force.
  [[nodiscard]] std::chrono::milliseconds ApplyBound() const noexcept { return applyBound_; }
  /// \brief Time in which a node must have recovered from a connection to the platform that became
  /// silent.
  [[nodiscard]] std::chrono::milliseconds ContactBound() const noexcept { return contactBound_; }
  /// \brief Retries of a service that arrive at instances, as a share of its requests.
  [[nodiscard]] double RetryRatio() const noexcept { return retryRatio_; }
  /// \brief Bounds as the platform states them, not decoded; see ApplyPlatformBounds.
  [[nodiscard]] const std::vector<std::string>& PlatformBounds() const noexcept
  {
    return platformBounds_;
  }
  /// \brief True if owners state their capacity and entry nodes refuse what exceeds it.
  [[nodiscard]] bool HasFleetAdmission() const noexcept { return fleetAdmission_; }
  /// \brief Share of a service's requests that may get a second attempt because they are late; 0:
  /// none.
  [[nodiscard]] double HedgeRatio() const noexcept { return hedgeRatio_; }
  [[nodiscard]] Balancing BalancingMode() const noexcept { return balancing_; }
  /// \brief True if new requests are started by rank within a bounded wait, and replies state the
  /// node's saturation.
  [[nodiscard]] bool OverloadControl() const noexcept { return overloadControl_; }
  /// \brief Limits of the machine, as the platform states them.
  [[nodiscard]] const MachineLimits& Machine() const noexcept { return machine_; }
  /// \brief Bound of the bodies under way on the link of this machine.
  [[nodiscard]] LinkWindow Window() const noexcept
  {
    return { .bitsPerSecond_ = machine_.linkBitsPerSecond_, .window_ = receiveWindow_ };
  }
  /// \brief Longest time that a planned stop waits for running requests.
  [[nodiscard]] std::chrono::milliseconds DrainTimeout() const noexcept { return drainTimeout_; }

  /// \brief Returns true if the other settings can take effect without a restart.
  [[nodiscard]] bool DiffersOnlyInReloadable(const Settings& aOther) const;

  auto operator<=>(const Settings&) const = default;

private:
  friend class SettingsBuilder;
  Settings() = default;

  NodeAddress peerAddress_;
  NodeAddress peerListen_;
  NodeAddress callerAddress_;
  NodeAddress adminAddress_;
  std::string failureDomain_;
  NodeAddress backendServer_;
  NodeAddress platform_;
  Interface interface_ = Interface::Own;
  bool platformIsLinearizable_ = false;
  double limitTolerance_ = 0;
  double limitSlack_ = 0;
  NodeAddress ready_;
  std::string ownService_;
  std::vector<std::string> failureDomains_;
  std::vector<NodeAddress> seeds_;
  std::string peerKey_;
  std::size_t maxBodyBytes_ = kDefaultMaxBodyBytes;
  std::size_t pipelinedRequests_ = PipelineLimits::kDefaultMaxRequests;
  std::size_t pipelinedBytes_ = PipelineLimits::kDefaultMaxResponseBytes;
  std::chrono::milliseconds bodyTimeout_ = ProgressLimits::kDefaultBodyTimeout;
  std::size_t minBodyBytesPerSecond_ = ProgressLimits::kDefaultMinBytesPerSecond;
  std::chrono::milliseconds drainTimeout_ = kDefaultDrainTimeout;
  std::chrono::milliseconds applyBound_ = kDefaultApplyBound;
  std::chrono::milliseconds contactBound_ = kDefaultContactBound;
  double retryRatio_ = RetryBudget::kRetriesPerRequest;
  std::vector<std::string> platformBounds_;
  MachineLimits machine_;
  Balancing balancing_ = Balancing::Load;
  bool fleetAdmission_ = false;
  double hedgeRatio_ = 0;
  bool overloadControl_ = false;
  std::chrono::milliseconds receiveWindow_ = kDefaultReceiveWindow;

  static constexpr std::size_t kDefaultMaxBodyBytes = 8U << 20U;
  static constexpr std::chrono::milliseconds kDefaultReceiveWindow{ 100 };
  static constexpr std::chrono::milliseconds kDefaultDrainTimeout{ 30000 };
  static constexpr std::chrono::milliseconds kDefaultApplyBound{ 2000 };
  static constexpr std::chrono::milliseconds kDefaultContactBound{ 3000 };
};

/// \brief Settings to which the bounds of a platform were applied.
struct BoundedSettings
{
  const Settings settings_;
  const Faults ignored_; ///< of the bounds that could not be used
};

/// \brief Collects settings and validates them together.
///
/// \code
/// const auto settings = SettingsBuilder("node.json").PeerAddress(peer).Build();
/// \endcode
class SettingsBuilder
{
public:
  /// \param aSource Name of the source, for faults.
  explicit SettingsBuilder(std::string aSource)
    : source_(std::move(aSource))
  {
  }
  /// \param aBase Settings that are kept unless they are set again.
  SettingsBuilder(std::string aSource, Settings aBase)
    : source_(std::move(aSource))
    , settings_(std::move(aBase))
  {
  }

  SettingsBuilder& PeerAddress(NodeAddress aAddress);
  SettingsBuilder& PeerListenAddress(NodeAddress aAddress);
  SettingsBuilder& CallerAddress(NodeAddress aAddress);
  SettingsBuilder& AdminAddress(NodeAddress aAddress);
  SettingsBuilder& FailureDomainName(std::string aName);
  SettingsBuilder& BackendServerAddress(NodeAddress aAddress);
  SettingsBuilder& PlatformAddress(NodeAddress aAddress);
  SettingsBuilder& InterfaceKind(Interface aInterface);
  SettingsBuilder& PlatformIsLinearizable(bool aIsLinearizable);
  SettingsBuilder& LimitTolerance(double aShare);
  SettingsBuilder& LimitSlack(double aRequests);
  SettingsBuilder& ReadyAddress(NodeAddress aAddress);
  SettingsBuilder& OwnService(std::string aName);
  SettingsBuilder& FailureDomainNames(std::vector<std::string> aNames);
  SettingsBuilder& Seeds(std::vector<NodeAddress> aSeeds);
  SettingsBuilder& PeerKey(std::string aKey);
  SettingsBuilder& MaxBodyBytes(std::size_t aBytes);
  SettingsBuilder& Pipelining(const PipelineLimits& aLimits);
  SettingsBuilder& BodyProgress(const ProgressLimits& aLimits);
  SettingsBuilder& DrainTimeout(std::chrono::milliseconds aTimeout);
  SettingsBuilder& ApplyBound(std::chrono::milliseconds aBound);
  SettingsBuilder& ContactBound(std::chrono::milliseconds aBound);
  SettingsBuilder& RetryRatio(double aRatio);
  SettingsBuilder& PlatformBounds(std::vector<std::string> aBounds);
  SettingsBuilder& Machine(const MachineLimits& aLimits);
  SettingsBuilder& BalancingMode(Balancing aBalancing);
  SettingsBuilder& FleetAdmission(bool aIsEnabled);
  SettingsBuilder& HedgeRatio(double aRatio);
  SettingsBuilder& OverloadControl(bool aEnabled);
  SettingsBuilder& ReceiveWindowTime(std::chrono::milliseconds aWindow);

  /// \returns The settings, or all faults that were found.
  [[nodiscard]] tl::expected<Settings, Faults> Build() const;

private:
  std::string source_;
  Settings settings_;
};

} // namespace geraniumpin
