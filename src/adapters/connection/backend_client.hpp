#pragma once

#include "../request/header_names.hpp"
#include "geraniumpin/connection/backend_connection.hpp"
#include "http_client.hpp"

#include <functional>
#include <map>

namespace geraniumpin {

/// \brief Exchanges requests with the backend server over HTTP; satisfies BackendPort.
///
/// A backend server that refuses before it starts says so by a header field, see HeaderNames. One
/// that answers 421 is not the instance that was expected, and has not started either.
class BackendClient
{
public:
  using Receiver = std::function<void(const BackendCompletion&)>;

  BackendClient(HttpClient& aClient,
                NodeAddress aBackendServer,
                HeaderNames aNames,
                Receiver aReceiver);

  void Start(const BackendRequest& aRequest);
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
