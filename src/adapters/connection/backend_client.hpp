#pragma once

#include "geraniumpin/connection/backend_connection.hpp"
#include "http_client.hpp"

#include <functional>
#include <map>

namespace geraniumpin {

/// \brief Exchanges requests with the backend server over HTTP; satisfies BackendPort.
///
/// A backend server that refuses before it starts says so by status 503 with the header field
/// "not-started: true". The call token goes in "geraniumpin-call-token", the time that is left in
/// "geraniumpin-deadline-ms".
class BackendClient
{
public:
  using Receiver = std::function<void(const BackendEnd&)>;

  BackendClient(HttpClient& aClient, NodeAddress aBackendServer, Receiver aReceiver);

  void Start(const BackendRequest& aRequest);
  void Cancel(const AttemptId& aId);

private:
  void OnEnd(const AttemptId& aId, const HttpResult& aResult);

  HttpClient& client_;
  NodeAddress backendServer_;
  Receiver receiver_;
  std::map<AttemptId, ClientExchangeId> exchanges_;
};

} // namespace geraniumpin
