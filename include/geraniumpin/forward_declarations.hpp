#pragma once

/// \brief Forward declarations of the public types, grouped by lifetime.
namespace geraniumpin {

// request
struct Answer;
struct Call;
struct CallId;
struct RouteDecision;
enum class Outcome;
enum class Reason;

// connection
struct Envelope;
class LeaseHolder;

// version
class Digest;
class NodeAddress;
class Snapshot;
class SnapshotBuilder;
class VersionStore;
struct BackendServer;
struct FailureDomain;
struct Manifest;
struct Route;
struct Service;
struct Team;
struct VersionId;

// process
class TokenLessor;
class LogEvent;
class Membership;
class Metrics;
class Settings;
class SettingsBuilder;

} // namespace geraniumpin
