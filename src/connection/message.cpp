#include "geraniumpin/connection/message.hpp"

namespace geraniumpin {

CallRequest
WithBody(const CallRequest& aRequest, const Body& aBody, Duration aRemaining)
{
  return { .id_ = aRequest.id_,
           .attempt_ = aRequest.attempt_,
           .requestId_ = aRequest.requestId_,
           .route_ = aRequest.route_,
           .service_ = aRequest.service_,
           .rank_ = aRequest.rank_,
           .team_ = aRequest.team_,
           .keyDigest_ = aRequest.keyDigest_,
           .method_ = aRequest.method_,
           .host_ = aRequest.host_,
           .path_ = aRequest.path_,
           .headers_ = aRequest.headers_,
           .body_ = aBody,
           .idempotencyKey_ = aRequest.idempotencyKey_,
           .remaining_ = aRemaining,
           .queueTimeout_ = aRequest.queueTimeout_,
           .caller_ = aRequest.caller_,
           .returnedEarly_ = aRequest.returnedEarly_,
           .isRepeat_ = aRequest.isRepeat_ };
}

} // namespace geraniumpin
