#pragma once

#include "../connection/http_server.hpp"
#include "../connection/peer_transport.hpp"
#include "geraniumpin/process/memory_budget.hpp"
#include "geraniumpin/process/metrics.hpp"
#include "geraniumpin/process/node_status.hpp"
#include "geraniumpin/request/outcome.hpp"

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Functions that supply the data for the admin address.
struct AdminSources
{
  std::function<NodeStatus()> status_;
  std::function<const Metrics&()> metrics_;
  std::function<TransportCounters()> transport_;
  std::function<tl::expected<Explanation, Reason>(const std::string& aHost,
                                                  const std::string& aMethod,
                                                  const std::string& aPath,
                                                  const std::optional<Digest>& aKeyDigest)>
    explain_;
  std::function<HttpServerCounters()> callerConnections_{}; ///< may be empty
  /// Nothing if held bytes are not bounded; may be empty.
  std::function<std::optional<MemoryBudget>()> memory_{};
};

/// \brief Serves operators: GET /status, /metrics and /explain?host=H&method=M&path=P as JSON,
/// /metrics/text for metrics scrapers.
class AdminGateway
{
public:
  AdminGateway(EventLoop& aLoop, const NodeAddress& aAddress, AdminSources aSources);

private:
  void OnRequest(ExchangeId aId, const HttpRequest& aRequest);
  [[nodiscard]] nlohmann::json Status() const;
  [[nodiscard]] nlohmann::json Metrics() const;
  [[nodiscard]] nlohmann::json Explain(const HttpRequest& aRequest) const;

  AdminSources sources_;
  HttpServer server_;
};

/// \brief Encodes a status as JSON.
[[nodiscard]] nlohmann::json
EncodeStatus(const NodeStatus& aStatus);

} // namespace geraniumpin
