#pragma once

#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Names of the HTTP header fields that the node reads and sets, in lower case.
///
/// The defaults are the project's own interface. An empty name means that the field is not used.
struct HeaderNames
{
  // From callers.
  std::string requestId_ = "geraniumpin-request-id";     ///< echoed in every response
  std::string callerTimeout_ = "geraniumpin-timeout-ms"; ///< the caller's timeout in milliseconds
  std::string key_ = "x-api-key";
  bool acceptsBearerKey_ = true; ///< the key may also come in "authorization: Bearer KEY"
  std::vector<std::string> credentials_{ "authorization",
                                         "x-api-key",
                                         "cookie" }; ///< not forwarded
  std::string callToken_ = "geraniumpin-call-token"; ///< also towards backend servers
  std::string idempotencyKey_ = "idempotency-key";
  // Towards backend servers.
  std::string remainingTime_ = "geraniumpin-deadline-ms"; ///< milliseconds until the deadline
  std::string team_;
  std::string callerService_; ///< the service on the VM whose node received the request
  std::string expectedInstance_;
  // From backend servers.
  std::string notStarted_ = "not-started"; ///< the request was refused before it ran
  std::string notStartedValue_ = "true";   ///< required value, at status 503; empty: any
  // Towards callers.
  std::string outcome_ = "geraniumpin-outcome";
  std::string reason_ = "geraniumpin-reason";
};

} // namespace geraniumpin
