#include "caller_gateway.hpp"

#include <charconv>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kOwnHeaderPrefix = "geraniumpin-";

bool
IsCredential(std::string_view aName) noexcept
{
  return aName == "authorization" || aName == "x-api-key" || aName == "cookie";
}

HeaderFields
PassedOn(const HeaderFields& aHeaders)
{
  HeaderFields kept;
  for (const auto& field : aHeaders) {
    const bool own = field.name_.starts_with(kOwnHeaderPrefix);
    if (!own && !IsCredential(field.name_) && !IsHopByHop(field.name_)) {
      kept.push_back(field);
    }
  }
  return kept;
}

std::chrono::milliseconds
TimeoutOf(const HeaderFields& aHeaders) noexcept
{
  const auto text = FindHeader(aHeaders, "geraniumpin-timeout-ms");
  std::uint32_t milliseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  return std::chrono::milliseconds(milliseconds);
}

} // namespace
} // namespace impl

int
StatusOf(const Answer& aAnswer) noexcept
{
  if (aAnswer.outcome_ == Outcome::Answered) {
    return aAnswer.status_;
  }
  switch (aAnswer.reason_) {
    case Reason::NoRoute:
      return 404;
    case Reason::KeyMissing:
    case Reason::KeyUnknown:
    case Reason::TokenUnknown:
      return 401;
    case Reason::BodyTooLarge:
      return 413;
    case Reason::OverRate:
      return 429;
    case Reason::DuplicateInFlight:
      return 409;
    case Reason::DeadlinePassed:
    case Reason::PeerSilent:
      return 504;
    case Reason::ConnectionBroken:
      return 502;
    default:
      return aAnswer.outcome_ == Outcome::Unknown ? 502 : 503;
  }
}

std::string
KeyOf(const HeaderFields& aHeaders)
{
  const auto authorization = FindHeader(aHeaders, "authorization");
  if (authorization.starts_with(impl::kBearer)) {
    return std::string(authorization.substr(impl::kBearer.size()));
  }
  return std::string(FindHeader(aHeaders, "x-api-key"));
}

CallerGateway::CallerGateway(EventLoop& aLoop,
                             const NodeAddress& aAddress,
                             std::size_t aMostBodyBytes,
                             std::uint64_t aIncarnation,
                             CallerEvents aEvents)
  : mostBodyBytes_(aMostBodyBytes)
  , incarnation_(aIncarnation)
  , events_(std::move(aEvents))
  , server_(aLoop,
            aAddress,
            aMostBodyBytes,
            { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRequest(aId, aRequest); },
              [this](ExchangeId aId) {
                events_.onGone_({ incarnation_, aId });
              } })
{
}

void
CallerGateway::OnRequest(ExchangeId aId, const HttpRequest& aRequest)
{
  const CallId id{ incarnation_, aId };
  if (aRequest.body_->size() > mostBodyBytes_) {
    Reply(id, Answer::Refused(Outcome::NotRun, Reason::BodyTooLarge));
    return;
  }
  const auto& headers = aRequest.headers_;
  events_.onCall_({ .id_ = id,
                    .method_ = aRequest.method_,
                    .path_ = aRequest.path_,
                    .headers_ = impl::PassedOn(headers),
                    .body_ = aRequest.body_,
                    .key_ = KeyOf(headers),
                    .callToken_ = std::string(FindHeader(headers, "geraniumpin-call-token")),
                    .idempotencyKey_ = std::string(FindHeader(headers, "idempotency-key")),
                    .arrivedAt_ = clock_.Now(),
                    .timeout_ = impl::TimeoutOf(headers) });
}

void
CallerGateway::Reply(const CallId& aId, const Answer& aAnswer)
{
  auto headers = aAnswer.headers_;
  headers.push_back({ "geraniumpin-outcome", std::string(ToString(aAnswer.outcome_)) });
  if (aAnswer.reason_ != Reason::None) {
    headers.push_back({ "geraniumpin-reason", std::string(ToString(aAnswer.reason_)) });
  }
  server_.Respond(
    aId.sequence_,
    { .status_ = StatusOf(aAnswer), .headers_ = std::move(headers), .body_ = aAnswer.body_ });
}

} // namespace geraniumpin
