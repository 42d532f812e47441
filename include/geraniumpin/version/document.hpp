#pragma once

#include "geraniumpin/version/digest.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace geraniumpin {

/// \brief A zone whose VMs may be isolated together; out of service, it gets no new requests.
struct FailureDomain
{
  const std::string name_;
  const bool inService_ = true;

  auto operator<=>(const FailureDomain&) const = default;
};

/// \brief Whether an instance accepts new requests.
enum class InstanceState
{
  Ready,
  Draining ///< finishes its requests and then ends
};

/// \brief One instance of a service, reached only through the node on its VM.
struct BackendServer
{
  const std::string name_; ///< its id; an instance that is restarted may keep it
  const std::string failureDomain_;
  const NodeAddress node_;
  const InstanceState state_ = InstanceState::Ready;
  const bool cold_ = false;           ///< reported by the platform as not warmed up
  const std::uint32_t slots_ = 0;     ///< maximum of concurrent requests; 0: as in Service
  const std::uint64_t startedAt_ = 0; ///< Unix milliseconds of its start; 0 if unknown

  auto operator<=>(const BackendServer&) const = default;
};

/// \brief Returns true if the first state of an instance follows the second one: an instance that
/// drains does not accept requests again before its next start.
[[nodiscard]] inline bool
IsLater(const BackendServer& aFirst, const BackendServer& aSecond) noexcept
{
  return aFirst.startedAt_ != aSecond.startedAt_
           ? aFirst.startedAt_ > aSecond.startedAt_
           : aFirst.state_ == InstanceState::Draining && aSecond.state_ == InstanceState::Ready;
}

/// \brief A service and its instances.
struct Service
{
  const std::string name_;
  const std::uint32_t slots_ = 0;              ///< concurrent requests of a warm instance, at most
  const std::uint32_t connections_ = 0;        ///< connections to an instance, at most
  const double coldRatePerSecond_ = 0;         ///< requests per second to a cold one; 0: no limit
  const std::chrono::milliseconds coldTime_{}; ///< time from start for which an instance is cold
  const std::string healthPath_;               ///< path of its health check; empty if it has none
  const std::vector<BackendServer> backendServers_;

  auto operator<=>(const Service&) const = default;
};

/// \brief Whether a route requires a key.
enum class Access
{
  Open,
  Keyed
};

/// \brief A service that gets requests of a route, with its share of them.
struct Destination
{
  const std::string service_;
  const std::uint32_t weight_ = 1; ///< share, relative to the route's other destinations

  auto operator<=>(const Destination&) const = default;
};

/// \brief Attempts of a request if its route sets no number.
inline constexpr std::uint32_t kDefaultAttempts = 3;

/// \brief Maps a host, method and path prefix to services.
struct Route
{
  const std::string name_;
  const std::string host_; ///< lower case, without port; empty: any host
  const std::string pathPrefix_;
  const std::vector<std::string> methods_; ///< empty: any method
  const std::vector<Destination> destinations_;
  const Access access_ = Access::Keyed;
  const bool idempotent_ = false;
  const std::chrono::milliseconds timeout_{};
  const std::chrono::milliseconds targetLatency_{}; ///< 0: none
  const std::uint32_t attempts_ = kDefaultAttempts; ///< instances that one request may be sent to
  const std::uint32_t priority_ = 0;                ///< 0 is the most important

  auto operator<=>(const Route&) const = default;
};

/// \brief A customer with its fleet-wide token bucket.
struct Team
{
  const std::string name_;
  const double ratePerSecond_ = 0;   ///< requests per second; 0: unlimited
  const double burst_ = 0;           ///< requests
  const std::uint32_t priority_ = 0; ///< 0 is the most important; overrides the route's

  auto operator<=>(const Team&) const = default;
};

/// \brief A key of a team; only the SHA-256 of the secret is published.
struct Key
{
  const Digest digest_;
  const std::string team_;

  auto operator<=>(const Key&) const = default;
};

/// \brief Limits on what callers send and on the time that they take.
struct CallerLimits
{
  const std::uint64_t maxHeaderBytes_ = 16384;
  const std::uint64_t maxBodyBytes_ = 8U << 20U;
  const std::chrono::milliseconds headerTimeout_{ 30000 }; ///< to send a request's header
  const std::chrono::milliseconds idleTimeout_{ 60000 };   ///< between two requests

  auto operator<=>(const CallerLimits&) const = default;
};

/// \brief The failure domains, with the settings that apply to the whole mesh.
struct FailureDomainsPart
{
  const std::uint64_t documentNumber_ = 0; ///< of the operators' document
  const std::vector<FailureDomain> failureDomains_;
  /// Time without contact with other failure domains and with the platform for which a node still
  /// serves keyed routes.
  const std::chrono::seconds cutOffKeyedService_{ 300 };
  const CallerLimits callerLimits_;

  auto operator<=>(const FailureDomainsPart&) const = default;
};

/// \brief The routes of one part.
struct RoutesPart
{
  const std::vector<Route> routes_;

  auto operator<=>(const RoutesPart&) const = default;
};

/// \brief All teams.
struct TeamsPart
{
  const std::vector<Team> teams_;

  auto operator<=>(const TeamsPart&) const = default;
};

/// \brief The keys whose digests begin with one hexadecimal digit.
struct KeysPart
{
  const std::vector<Key> keys_;

  auto operator<=>(const KeysPart&) const = default;
};

/// \brief The decoded content of one published part.
using PartValue = std::variant<FailureDomainsPart, Service, RoutesPart, TeamsPart, KeysPart>;

/// \brief A decoded part, shared between the versions that contain it.
using SharedPart = std::shared_ptr<const PartValue>;

} // namespace geraniumpin
