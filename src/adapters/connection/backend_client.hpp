#pragma once

#include "../request/header_names.hpp"
#include "geraniumpin/connection/backend_connection.hpp"
#include "http_client.hpp"

#include <functional>
#include <map>

namespace geraniumpin {

/// \brief Exchanges requests with the backend server over HTTP; satisfies BackendPort.
///
/// A header field marks the response of a backend server that refused a request before it started,
/// see HeaderNames. Status 421 comes from another instance than the expected one, which has not
/// started the request either; it counts only if requests name the expected instance.
class BackendClient
{
public:
  using Receiver = std::function<void(const BackendCompletion&)>;

  BackendClient(HttpClient& aClient,
                NodeAddress aBackendServer,
                HeaderNames aNames,
                Receiver aReceiver);

  /// \brief Sends a request; the receiver is called once, unless the attempt is cancelled.
  void Start(const BackendRequest& aRequest);
  /// \brief Cancels an attempt; does nothing if it has ended.
  void Cancel(const AttemptId& aId);

private:
  void OnEnd(const AttemptId& aId, const HttpResult& aResult);
  [[nodiscard]] HeaderFields MakeHeaders(const BackendRequest& aRequest) const;
  [[nodiscard]] BackendResult ClassifyResult(const HttpResult& aResult) const;

  HttpClient& client_;
  NodeAddress backendServer_;
  HeaderNames names_;
  Receiver receiver_;
  std::map<AttemptId, ClientExchangeId> exchanges_;
};

} // namespace geraniumpin
