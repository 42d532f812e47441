#pragma once

#include "geraniumpin/version/document.hpp"
#include "geraniumpin/version/fault.hpp"
#include "geraniumpin/version/manifest.hpp"
#include "geraniumpin/version/node_index.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumpin {

/// \brief The decoded parts of a version by part name.
using DecodedParts = std::map<std::string, SharedPart, std::less<>>;

/// \brief An instance with the service that it belongs to.
struct Placement
{
  const Service& service_;
  const BackendServer& backendServer_;
};

/// \brief A complete, validated configuration; a request uses one snapshot from start to end.
///
/// Every reference resolves: routes to services, keys to teams, backend servers to failure domains.
/// Only SnapshotBuilder constructs snapshots.
class Snapshot
{
public:
  [[nodiscard]] const VersionId& Id() const noexcept { return id_; }
  [[nodiscard]] const Manifest& GetManifest() const noexcept { return manifest_; }
  [[nodiscard]] const DecodedParts& Decoded() const noexcept { return parts_; }

  /// \brief Finds the route with the longest prefix of the path that allows the host and method.
  ///
  /// Routes that name the host go before routes for any host.
  /// \param aHost The host of the request, in lower case and without port.
  /// \returns Null if there is none.
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aMethod,
                                       std::string_view aPath) const noexcept;

  /// \brief Finds a key, which names its team; digests are compared in constant time.
  /// \returns Null if the key is unknown or was revoked.
  [[nodiscard]] const Key* FindKey(const Digest& aDigest) const noexcept;

  [[nodiscard]] const Service* FindService(std::string_view aName) const noexcept;
  [[nodiscard]] const Team* FindTeam(std::string_view aName) const noexcept;
  [[nodiscard]] const FailureDomain* FindFailureDomain(std::string_view aName) const noexcept;

  /// \brief Finds the backend server behind a node.
  [[nodiscard]] std::optional<Placement> FindPlacement(const NodeAddress& aNode) const noexcept;

  [[nodiscard]] const std::vector<FailureDomain>& FailureDomains() const noexcept;
  [[nodiscard]] const std::vector<Team>& Teams() const noexcept;
  [[nodiscard]] std::vector<const Service*> Services() const;
  [[nodiscard]] std::chrono::seconds CutOffKeyedService() const noexcept;
  [[nodiscard]] const CallerLimits& GetCallerLimits() const noexcept;
  /// \brief Returns the number of the operators' document.
  [[nodiscard]] std::uint64_t DocumentNumber() const noexcept;

  /// \brief Returns the nodes of a failure domain, sorted by address.
  [[nodiscard]] const std::vector<NodeAddress>& FindNodes(std::string_view aFailureDomain) const
  {
    return nodes_.FindNodes(aFailureDomain);
  }

  /// \brief Returns the nodes of all failure domains.
  [[nodiscard]] std::vector<NodeAddress> AllNodes() const;

  /// \brief Returns the number of nodes of all failure domains.
  [[nodiscard]] std::size_t NodeCount() const;

  bool operator==(const Snapshot& aOther) const noexcept { return id_ == aOther.id_; }

private:
  friend class SnapshotBuilder;
  using RoutesByHost = std::map<std::string, std::vector<const Route*>, std::less<>>;

  Snapshot(Manifest aManifest,
           DecodedParts aParts,
           NodeIndex aNodes,
           std::shared_ptr<const RoutesByHost> aRoutesByHost);

  VersionId id_;
  Manifest manifest_;
  DecodedParts parts_;
  NodeIndex nodes_;
  std::shared_ptr<const RoutesByHost> routesByHost_; ///< points into the parts
};

/// \brief A snapshot with shared ownership.
using SharedSnapshot = std::shared_ptr<const Snapshot>;

/// \brief Collects decoded parts and builds a snapshot if they are valid.
///
/// \code
/// auto snapshot = SnapshotBuilder(manifest).Add("teams", teams).Build();
/// if (!snapshot) {
///   Report(snapshot.error());
/// }
/// \endcode
class SnapshotBuilder
{
public:
  /// \param aManifest Lists exactly the parts that the snapshot must have.
  /// \param aBase A valid snapshot whose unchanged parts are not checked again; may be null.
  explicit SnapshotBuilder(Manifest aManifest, SharedSnapshot aBase = nullptr)
    : manifest_(std::move(aManifest))
    , base_(std::move(aBase))
  {
  }

  SnapshotBuilder& Add(std::string aName, SharedPart aPart);

  /// \brief Checks that the parts are complete and that every reference resolves.
  /// \returns The snapshot, whose number states the document of its parts, or every fault found.
  [[nodiscard]] tl::expected<SharedSnapshot, Faults> Build() const;

private:
  [[nodiscard]] std::shared_ptr<const Snapshot::RoutesByHost> IndexRoutes() const;

  Manifest manifest_;
  SharedSnapshot base_;
  DecodedParts parts_;
};

} // namespace geraniumpin
