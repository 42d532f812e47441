#include "backend_client.hpp"

namespace geraniumpin {

namespace impl {
namespace {

HeaderFields
HeadersFor(const BackendRequest& aRequest)
{
  auto headers = aRequest.headers_;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.remaining_);
  headers.push_back({ "geraniumpin-call-token", aRequest.callToken_ });
  headers.push_back({ "geraniumpin-deadline-ms", std::to_string(remaining.count()) });
  return headers;
}

BackendResult
ResultOf(const HttpResult& aResult)
{
  switch (aResult.end_) {
    case HttpEnd::ConnectFailed:
      return BackendResult::ConnectFailed;
    case HttpEnd::Broken:
      return BackendResult::Broken;
    case HttpEnd::Complete:
      break;
  }
  const auto& response = aResult.response_;
  const bool refused =
    response.status_ == 503 && FindHeader(response.headers_, "not-started") == "true";
  return refused ? BackendResult::Shed : BackendResult::Answered;
}

HeaderFields
EndToEnd(const HeaderFields& aFields)
{
  HeaderFields kept;
  for (const auto& field : aFields) {
    if (!IsHopByHop(field.name_)) {
      kept.push_back(field);
    }
  }
  return kept;
}

} // namespace
} // namespace impl

BackendClient::BackendClient(HttpClient& aClient, NodeAddress aBackendServer, Receiver aReceiver)
  : client_(aClient)
  , backendServer_(std::move(aBackendServer))
  , receiver_(std::move(aReceiver))
{
}

void
BackendClient::Start(const BackendRequest& aRequest)
{
  const auto id = aRequest.id_;
  const HttpRequest request{ .method_ = aRequest.method_,
                             .path_ = aRequest.path_,
                             .headers_ = impl::HeadersFor(aRequest),
                             .body_ = aRequest.body_ };
  exchanges_[id] = client_.Start(
    backendServer_, request, [this, id](const HttpResult& aResult) { OnEnd(id, aResult); });
}

void
BackendClient::Cancel(const AttemptId& aId)
{
  const auto found = exchanges_.find(aId);
  if (found != exchanges_.end()) {
    client_.Cancel(found->second);
    exchanges_.erase(found);
  }
}

void
BackendClient::OnEnd(const AttemptId& aId, const HttpResult& aResult)
{
  exchanges_.erase(aId);
  receiver_({ .id_ = aId,
              .result_ = impl::ResultOf(aResult),
              .status_ = aResult.response_.status_,
              .headers_ = impl::EndToEnd(aResult.response_.headers_),
              .body_ = aResult.response_.body_ });
}

} // namespace geraniumpin
