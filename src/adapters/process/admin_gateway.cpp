#include "admin_gateway.hpp"

#include "../request/caller_gateway.hpp"
#include "metrics_text.hpp"

#include <nlohmann/json.hpp>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::size_t kMaxBodyBytes = 1024;

HttpResponse
JsonResponse(int aStatus, const nlohmann::json& aJson)
{
  return { .status_ = aStatus,
           .headers_ = { { "content-type", "application/json" } },
           .body_ = MakeBody(aJson.dump() + "\n") };
}

} // namespace
} // namespace impl

nlohmann::json
EncodeStatus(const NodeStatus& aStatus)
{
  return { { "node", aStatus.node_.Text() },
           { "failure_domain", aStatus.failureDomain_ },
           { "incarnation", aStatus.incarnation_ },
           { "version", aStatus.version_.number_.document_ },
           { "revision", aStatus.version_.number_.revision_ },
           { "era", aStatus.version_.number_.era_ },
           { "interim", !aStatus.version_.number_.IsExact() },
           { "digest", aStatus.version_.digest_.Hex() },
           { "state", ToString(aStatus.state_) },
           { "watcher", aStatus.watcher_ },
           { "home_teams", aStatus.leasedTeams_ },
           { "home_authorized", aStatus.takeoversComplete_ },
           { "entry_calls", aStatus.entryCalls_ },
           { "owned_attempts", aStatus.ownedAttempts_ },
           { "queued", aStatus.queued_ },
           { "concurrency_limit", aStatus.concurrencyLimit_ },
           { "saturation", aStatus.saturation_ } };
}

AdminGateway::AdminGateway(EventLoop& aLoop, const NodeAddress& aAddress, AdminSources aSources)
  : sources_(std::move(aSources))
  , server_(
      aLoop,
      aAddress,
      impl::kMaxBodyBytes,
      { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRequest(aId, aRequest); }, {} })
{
}

void
AdminGateway::OnRequest(ExchangeId aId, const HttpRequest& aRequest)
{
  const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
  if (path == "/status") {
    server_.Respond(aId, impl::JsonResponse(200, Status()));
  } else if (path == "/metrics") {
    server_.Respond(aId, impl::JsonResponse(200, Metrics()));
  } else if (path == "/metrics/text") {
    server_.Respond(
      aId,
      { .status_ = 200,
        .headers_ = { { "content-type", "text/plain; version=0.0.4" } },
        .body_ = MakeBody(FormatMetricsText(sources_.metrics_(), sources_.status_())) });
  } else if (path == "/explain") {
    server_.Respond(aId, impl::JsonResponse(200, Explain(aRequest)));
  } else {
    server_.Respond(aId, impl::JsonResponse(404, { { "error", "unknown path" } }));
  }
}

nlohmann::json
AdminGateway::Status() const
{
  auto status = EncodeStatus(sources_.status_());
  const auto memory = sources_.memory_ ? sources_.memory_() : std::nullopt;
  if (memory) {
    nlohmann::json held{ { "capacity", memory->Capacity() } };
    for (std::size_t i = 0; i < kMemoryKinds; ++i) {
      held[std::string(ToString(static_cast<MemoryKind>(i)))] = memory->Held().bytes_.at(i);
    }
    status["held_bytes"] = std::move(held);
  }
  return status;
}

nlohmann::json
AdminGateway::Metrics() const
{
  const auto& metrics = sources_.metrics_();
  nlohmann::json durations = nlohmann::json::object();
  for (const auto& [name, summary] : metrics.Durations()) {
    durations[name] = { { "count", summary.count_ },
                        { "mean", summary.mean_ },
                        { "p50", summary.median_ },
                        { "p99", summary.p99_ },
                        { "max", summary.max_ } };
  }
  const auto transport = sources_.transport_();
  const auto callers =
    sources_.callerConnections_ ? sources_.callerConnections_() : HttpServerCounters{};
  return { { "counters", metrics.Counters() },
           { "durations_ms", durations },
           { "callers",
             { { "accepted_connections", callers.acceptedConnections_ },
               { "open_connections", callers.openConnections_ },
               { "unused_connections", callers.unusedConnections_ },
               { "accept_failures", callers.acceptFailures_ },
               { "requests", callers.requests_ },
               { "disconnects", callers.disconnects_ },
               { "bodies_refused", callers.bodiesRefused_ },
               { "connections_closed_for_memory", callers.connectionsClosed_ },
               { "bodies_timed_out", callers.bodiesTimedOut_ },
               { "responses_dropped", callers.responsesDropped_ } } },
           { "transport",
             { { "sent_frames", transport.sentFrames_ },
               { "sent_messages", transport.sentMessages_ },
               { "sent_bytes", transport.sentBytes_ },
               { "received_frames", transport.receivedFrames_ },
               { "received_messages", transport.receivedMessages_ },
               { "received_bytes", transport.receivedBytes_ },
               { "refused_messages", transport.refusedMessages_ },
               { "dropped_messages", transport.droppedMessages_ },
               { "queued_bytes", transport.queuedBytes_ } } } };
}

nlohmann::json
AdminGateway::Explain(const HttpRequest& aRequest) const
{
  const auto key = FindCallerKey(aRequest.headers_, HeaderNames{});
  const auto digest = key.empty() ? std::nullopt : std::optional(Digest::Compute(key));
  const auto explanation = sources_.explain_(QueryParameter(aRequest.path_, "host"),
                                             QueryParameter(aRequest.path_, "method"),
                                             QueryParameter(aRequest.path_, "path"),
                                             digest);
  if (!explanation) {
    return { { "refused", ToString(explanation.error()) } };
  }
  nlohmann::json candidates = nlohmann::json::array();
  for (const auto& candidate : explanation->candidates_) {
    candidates.push_back({ { "backend_server", candidate.backendServer_ },
                           { "local", candidate.local_ },
                           { "load", candidate.load_ } });
  }
  return { { "version", explanation->version_ }, { "route", explanation->route_ },
           { "team", explanation->team_ },       { "service", explanation->service_ },
           { "candidates", candidates },         { "chosen", explanation->chosen_ } };
}

} // namespace geraniumpin
