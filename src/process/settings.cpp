#include "geraniumpin/process/settings.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::size_t kMinPeerKeyBytes = 16;

Fault
MakeFault(const std::string& aSource, std::string aPath, std::string aExpected, std::string aFound)
{
  return { .source_ = aSource,
           .path_ = std::move(aPath),
           .position_ = {},
           .description_ = std::move(aExpected),
           .found_ = std::move(aFound) };
}

} // namespace
} // namespace impl

bool
Settings::DiffersOnlyInReloadable(const Settings& aOther) const
{
  auto same = *this;
  same.drainTimeout_ = aOther.drainTimeout_;
  same.platformBounds_ = aOther.platformBounds_; // the settings that they change are compared
  return same == aOther;
}

SettingsBuilder&
SettingsBuilder::PeerAddress(NodeAddress aAddress)
{
  settings_.peerAddress_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::PeerListenAddress(NodeAddress aAddress)
{
  settings_.peerListen_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::CallerAddress(NodeAddress aAddress)
{
  settings_.callerAddress_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::AdminAddress(NodeAddress aAddress)
{
  settings_.adminAddress_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::FailureDomainName(std::string aName)
{
  settings_.failureDomain_ = std::move(aName);
  return *this;
}

SettingsBuilder&
SettingsBuilder::BackendServerAddress(NodeAddress aAddress)
{
  settings_.backendServer_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::PlatformAddress(NodeAddress aAddress)
{
  settings_.platform_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::InterfaceKind(Interface aInterface)
{
  settings_.interface_ = aInterface;
  return *this;
}

SettingsBuilder&
SettingsBuilder::PlatformIsLinearizable(bool aIsLinearizable)
{
  settings_.platformIsLinearizable_ = aIsLinearizable;
  return *this;
}

SettingsBuilder&
SettingsBuilder::LimitTolerance(double aShare)
{
  settings_.limitTolerance_ = aShare;
  return *this;
}

SettingsBuilder&
SettingsBuilder::LimitSlack(double aRequests)
{
  settings_.limitSlack_ = aRequests;
  return *this;
}

SettingsBuilder&
SettingsBuilder::ReadyAddress(NodeAddress aAddress)
{
  settings_.ready_ = std::move(aAddress);
  return *this;
}

SettingsBuilder&
SettingsBuilder::OwnService(std::string aName)
{
  settings_.ownService_ = std::move(aName);
  return *this;
}

SettingsBuilder&
SettingsBuilder::FailureDomainNames(std::vector<std::string> aNames)
{
  settings_.failureDomains_ = std::move(aNames);
  return *this;
}

SettingsBuilder&
SettingsBuilder::Seeds(std::vector<NodeAddress> aSeeds)
{
  settings_.seeds_ = std::move(aSeeds);
  return *this;
}

SettingsBuilder&
SettingsBuilder::PeerKey(std::string aKey)
{
  settings_.peerKey_ = std::move(aKey);
  return *this;
}

SettingsBuilder&
SettingsBuilder::MaxBodyBytes(std::size_t aBytes)
{
  settings_.maxBodyBytes_ = aBytes;
  return *this;
}

SettingsBuilder&
SettingsBuilder::Pipelining(const PipelineLimits& aLimits)
{
  settings_.pipelinedRequests_ = aLimits.maxRequests_;
  settings_.pipelinedBytes_ = aLimits.maxResponseBytes_;
  return *this;
}

SettingsBuilder&
SettingsBuilder::BodyProgress(const ProgressLimits& aLimits)
{
  settings_.bodyTimeout_ = aLimits.bodyTimeout_;
  settings_.minBodyBytesPerSecond_ = aLimits.minBytesPerSecond_;
  return *this;
}

SettingsBuilder&
SettingsBuilder::DrainTimeout(std::chrono::milliseconds aTimeout)
{
  settings_.drainTimeout_ = aTimeout;
  return *this;
}

SettingsBuilder&
SettingsBuilder::ApplyBound(std::chrono::milliseconds aBound)
{
  settings_.applyBound_ = aBound;
  return *this;
}

SettingsBuilder&
SettingsBuilder::ContactBound(std::chrono::milliseconds aBound)
{
  settings_.contactBound_ = aBound;
  return *this;
}

SettingsBuilder&
SettingsBuilder::RetryRatio(double aRatio)
{
  settings_.retryRatio_ = aRatio;
  return *this;
}

SettingsBuilder&
SettingsBuilder::PlatformBounds(std::vector<std::string> aBounds)
{
  settings_.platformBounds_ = std::move(aBounds);
  return *this;
}

SettingsBuilder&
SettingsBuilder::Machine(const MachineLimits& aLimits)
{
  settings_.machine_ = aLimits;
  return *this;
}

SettingsBuilder&
SettingsBuilder::BalancingMode(Balancing aBalancing)
{
  settings_.balancing_ = aBalancing;
  return *this;
}

SettingsBuilder&
SettingsBuilder::FleetAdmission(bool aIsEnabled)
{
  settings_.fleetAdmission_ = aIsEnabled;
  return *this;
}

SettingsBuilder&
SettingsBuilder::HedgeRatio(double aRatio)
{
  settings_.hedgeRatio_ = aRatio;
  return *this;
}

SettingsBuilder&
SettingsBuilder::OverloadControl(bool aEnabled)
{
  settings_.overloadControl_ = aEnabled;
  return *this;
}

SettingsBuilder&
SettingsBuilder::ReceiveWindowTime(std::chrono::milliseconds aWindow)
{
  settings_.receiveWindow_ = aWindow;
  return *this;
}

tl::expected<Settings, Faults>
SettingsBuilder::Build() const
{
  Faults faults;
  const std::array<std::pair<const char*, const NodeAddress&>, 5> addresses{ {
    { "/peer_address", settings_.peerAddress_ },
    { "/caller_address", settings_.callerAddress_ },
    { "/admin_address", settings_.adminAddress_ },
    { "/backend_server", settings_.backendServer_ },
    { "/platform", settings_.platform_ },
  } };
  for (auto address = addresses.begin(); address != addresses.end(); ++address) {
    const auto sameText = [&](const auto& aOther) { return aOther.second == address->second; };
    if (address->second.Empty()) {
      faults.push_back(
        impl::MakeFault(source_, address->first, "an IP address and a port", "nothing"));
    } else if (std::any_of(addresses.begin(), address, sameText)) {
      faults.push_back(impl::MakeFault(
        source_, address->first, "an address that no other setting uses", address->second.Text()));
    }
  }
  if (settings_.failureDomain_.empty()) {
    faults.push_back(impl::MakeFault(source_, "/failure_domain", "a name", "\"\""));
  }
  if (settings_.peerKey_.size() < impl::kMinPeerKeyBytes) {
    faults.push_back(impl::MakeFault(source_,
                                     "/peer_key",
                                     "at least 16 characters",
                                     std::to_string(settings_.peerKey_.size()) + " characters"));
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return settings_;
}

} // namespace geraniumpin
