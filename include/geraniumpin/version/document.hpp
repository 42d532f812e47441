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

/// \brief A zone whose VMs may be cut off together; out of service, it gets no new work.
struct FailureDomain
{
  const std::string name_;
  const bool inService_ = true;

  auto operator<=>(const FailureDomain&) const = default;
};

/// \brief One instance of a service, reached only through the node on its VM.
struct BackendServer
{
  const std::string name_;
  const std::string failureDomain_;
  const NodeAddress node_;

  auto operator<=>(const BackendServer&) const = default;
};

/// \brief A service and its instances.
struct Service
{
  const std::string name_;
  const std::uint32_t slots_ = 0;       ///< concurrent requests that an instance bears when warm
  const std::uint32_t connections_ = 0; ///< connections that an instance accepts
  const std::vector<BackendServer> backendServers_;

  auto operator<=>(const Service&) const = default;
};

/// \brief Whether a route wants a key.
enum class Access
{
  Open,
  Keyed
};

/// \brief Maps a method and a path prefix to a service.
struct Route
{
  const std::string name_;
  const std::string pathPrefix_;
  const std::vector<std::string> methods_;
  const std::string service_;
  const Access access_ = Access::Keyed;
  const bool idempotent_ = false;
  const std::chrono::milliseconds timeout_{};

  auto operator<=>(const Route&) const = default;
};

/// \brief A customer with its fleet-wide token bucket.
struct Team
{
  const std::string name_;
  const double ratePerSecond_ = 0; ///< requests per second
  const double burst_ = 0;         ///< requests

  auto operator<=>(const Team&) const = default;
};

/// \brief A key of a team; only the SHA-256 of the secret is published.
struct Key
{
  const Digest digest_;
  const std::string team_;

  auto operator<=>(const Key&) const = default;
};

/// \brief The failure domains, with the settings that hold for the whole mesh.
struct FailureDomainsPart
{
  const std::vector<FailureDomain> failureDomains_;
  /// How long a node that hears of nobody goes on to serve keyed routes.
  const std::chrono::seconds cutOffKeyedService_{ 300 };

  auto operator<=>(const FailureDomainsPart&) const = default;
};

/// \brief All routes.
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

/// \brief What one published part holds, decoded.
using PartValue = std::variant<FailureDomainsPart, Service, RoutesPart, TeamsPart, KeysPart>;

/// \brief A decoded part, shared between the versions that contain it.
using SharedPart = std::shared_ptr<const PartValue>;

} // namespace geraniumpin
