#include "backend_client.hpp"

namespace geraniumpin {

namespace impl {
namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

void
AddIfNotEmpty(HeaderFields& aHeaders, const std::string& aName, const std::string& aValue)
{
  if (!aName.empty() && !aValue.empty()) {
    aHeaders.push_back({ aName, aValue });
  }
}

HeaderFields
SelectEndToEndHeaders(const HeaderFields& aFields)
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

BackendClient::BackendClient(HttpClient& aClient,
                             NodeAddress aBackendServer,
                             HeaderNames aNames,
                             Receiver aReceiver)
  : client_(aClient)
  , backendServer_(std::move(aBackendServer))
  , names_(std::move(aNames))
  , receiver_(std::move(aReceiver))
{
}

HeaderFields
BackendClient::MakeHeaders(const BackendRequest& aRequest) const
{
  auto headers = aRequest.headers_;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(aRequest.remaining_);
  impl::AddIfNotEmpty(headers, names_.callToken_, aRequest.callToken_);
  impl::AddIfNotEmpty(headers, names_.remainingTime_, std::to_string(remaining.count()));
  impl::AddIfNotEmpty(headers, names_.team_, aRequest.team_);
  impl::AddIfNotEmpty(headers, names_.expectedInstance_, aRequest.instance_);
  return headers;
}

BackendResult
BackendClient::ClassifyResult(const HttpResult& aResult) const
{
  switch (aResult.outcome_) {
    case HttpOutcome::ConnectFailed:
      return BackendResult::ConnectFailed;
    case HttpOutcome::Broken:
      return BackendResult::Broken;
    case HttpOutcome::Complete:
      break;
  }
  const auto& response = aResult.response_;
  if (response.status_ == impl::kMisdirected && !names_.expectedInstance_.empty()) {
    return BackendResult::OtherInstance;
  }
  const auto refusalValue = FindHeader(response.headers_, names_.notStarted_);
  const auto& requiredValue = names_.notStartedValue_;
  const bool refused = requiredValue.empty()
                         ? !refusalValue.empty()
                         : response.status_ == impl::kUnavailable && refusalValue == requiredValue;
  return refused ? BackendResult::Shed : BackendResult::Answered;
}

void
BackendClient::Start(const BackendRequest& aRequest)
{
  const auto id = aRequest.id_;
  const HttpRequest request{ .method_ = aRequest.method_,
                             .host_ = aRequest.host_,
                             .path_ = aRequest.path_,
                             .headers_ = MakeHeaders(aRequest),
                             .body_ = aRequest.body_ };
  const auto echoedHeader = aRequest.requestId_.empty()
                              ? EchoedHeader{}
                              : EchoedHeader{ names_.requestId_, aRequest.requestId_ };
  exchanges_[id] = client_.Start(
    backendServer_,
    request,
    echoedHeader,
    [this, id](const HttpResult& aResult) { OnEnd(id, aResult); },
    aRequest.isRepeated_ ? ConnectionUse::New : ConnectionUse::Any);
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
              .result_ = ClassifyResult(aResult),
              .status_ = aResult.response_.status_,
              .headers_ = impl::SelectEndToEndHeaders(aResult.response_.headers_),
              .body_ = aResult.response_.body_,
              .detail_ = aResult.detail_ });
}

} // namespace geraniumpin
