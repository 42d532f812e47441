#include "caller_gateway.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::string_view kBearer = "Bearer ";
// Time after which a request whose body found no memory may come again: a stalled connection may be
// closed after two intervals of its progress meter at the latest.
constexpr std::chrono::milliseconds kMinRetry = ProgressMeter::kInterval / 2;
constexpr std::chrono::milliseconds kRetrySpread = ProgressMeter::kInterval * 3 / 2;

std::chrono::milliseconds
ParseMilliseconds(std::string_view aText) noexcept
{
  std::uint32_t milliseconds = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), milliseconds);
  return std::chrono::milliseconds(milliseconds);
}

std::string
FormatSeconds(Duration aDuration)
{
  std::array<char, 32> buffer{};
  const double seconds = std::chrono::duration<double>(aDuration).count();
  const int length = std::snprintf(buffer.data(), buffer.size(), "%.3f", seconds);
  return { buffer.data(), static_cast<std::size_t>(length) };
}

} // namespace
} // namespace impl

int
ToHttpStatus(const Answer& aAnswer) noexcept
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
      // 503 promises that the request has not run, so that the caller may repeat it.
      return aAnswer.outcome_ == Outcome::NotRun ? 503 : 504;
    case Reason::ConnectionBroken:
      return 502;
    default:
      return aAnswer.outcome_ == Outcome::Unknown ? 502 : 503;
  }
}

std::string
FindCallerKey(const HeaderFields& aHeaders, const HeaderNames& aNames)
{
  const auto authorization = FindHeader(aHeaders, "authorization");
  if (aNames.acceptsBearerKey_ && authorization.starts_with(impl::kBearer)) {
    return std::string(authorization.substr(impl::kBearer.size()));
  }
  return std::string(FindHeader(aHeaders, aNames.key_));
}

CallerGateway::CallerGateway(EventLoop& aLoop,
                             const NodeAddress& aAddress,
                             std::size_t aMaxBodyBytes,
                             const PipelineLimits& aPipeline,
                             const HoldLimits& aHold,
                             std::uint64_t aOrigin,
                             HeaderNames aNames,
                             std::string aOwnService,
                             CallerEvents aEvents)
  : names_(std::move(aNames))
  , ownService_(std::move(aOwnService))
  , maxBodyBytes_(aMaxBodyBytes)
  , origin_(aOrigin)
  , events_(std::move(aEvents))
  , server_(aLoop,
            aAddress,
            aMaxBodyBytes,
            { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRequest(aId, aRequest); },
              [this](ExchangeId aId) {
                requestIds_.erase(aId);
                events_.onDisconnect_({ origin_, aId });
              },
              [this](const RequestTarget& aTarget) { return events_.mayRunAhead_(aTarget); },
              [this](const HttpRequest& aRequest) { return MakeOverloaded(aRequest); },
              [this](const LogEvent& aEvent) { events_.log_(aEvent); } },
            aPipeline,
            aHold)
{
}

/// Drops fields that only the node may set, and credentials, which backend servers must not get.
HeaderFields
CallerGateway::SelectForwardedHeaders(const HeaderFields& aHeaders) const
{
  const auto isSetByNode = [&](const std::string& aName) {
    return aName == names_.callerTimeout_ || aName == names_.remainingTime_ ||
           aName == names_.key_ || aName == names_.callToken_ || aName == names_.team_ ||
           aName == names_.callerService_ || aName == names_.expectedInstance_;
  };
  HeaderFields kept;
  for (const auto& field : aHeaders) {
    const auto& credentials = names_.credentials_;
    const bool isCredential =
      std::find(credentials.begin(), credentials.end(), field.name_) != credentials.end();
    if (!isCredential && !isSetByNode(field.name_) && !IsHopByHop(field.name_)) {
      kept.push_back(field);
    }
  }
  if (!names_.callerService_.empty() && !ownService_.empty()) {
    kept.push_back({ names_.callerService_, ownService_ });
  }
  return kept;
}

void
CallerGateway::OnRequest(ExchangeId aId, const HttpRequest& aRequest)
{
  const CallId id{ origin_, aId };
  const auto& headers = aRequest.headers_;
  auto requestId = std::string(FindHeader(headers, names_.requestId_));
  requestIds_.emplace(aId, requestId);
  if (aRequest.body_->size() > maxBodyBytes_) {
    Reply(id, Answer::WithoutContent(Outcome::NotRun, Reason::BodyTooLarge));
    return;
  }
  const auto field = [&](const std::string& aName) {
    return aName.empty() ? std::string() : std::string(FindHeader(headers, aName));
  };
  events_.onCall_({ .id_ = id,
                    .requestId_ = std::move(requestId),
                    .method_ = aRequest.method_,
                    .host_ = aRequest.host_,
                    .path_ = aRequest.path_,
                    .headers_ = SelectForwardedHeaders(headers),
                    .body_ = aRequest.body_,
                    .key_ = FindCallerKey(headers, names_),
                    .callToken_ = field(names_.callToken_),
                    .idempotencyKey_ = field(names_.idempotencyKey_),
                    .arrivedAt_ = server_.ArrivedAt(aId),
                    .timeout_ = impl::ParseMilliseconds(field(names_.callerTimeout_)),
                    .isAbandoned_ = server_.HasClientClosed(aId) });
}

void
CallerGateway::Reply(const CallId& aId, const Answer& aAnswer)
{
  const auto requestId = requestIds_.extract(aId.sequence_);
  server_.Respond(aId.sequence_,
                  MakeResponse(aAnswer, requestId.empty() ? "" : requestId.mapped()));
}

HttpResponse
CallerGateway::MakeOverloaded(const HttpRequest& aRequest)
{
  const auto requestId = std::string(FindHeader(aRequest.headers_, names_.requestId_));
  events_.log_(LogEvent("request_refused", Severity::Warning)
                 .With("request", requestId)
                 .With("reason", ToString(Reason::Overloaded))
                 .With("cause", "memory"));
  // Multiples of the golden ratio spread evenly over the range, whatever their number.
  constexpr double kGoldenRatio = 0.6180339887498949;
  const double position = std::fmod(static_cast<double>(++overloads_) * kGoldenRatio, 1.0);
  const auto spread = std::chrono::duration<double>(impl::kRetrySpread) * position;
  auto answer = Answer::WithoutContent(Outcome::NotRun, Reason::Overloaded);
  return MakeResponse(
    { .outcome_ = answer.outcome_,
      .reason_ = answer.reason_,
      .retryAfter_ = impl::kMinRetry + std::chrono::duration_cast<Duration>(spread) },
    requestId);
}

HttpResponse
CallerGateway::MakeResponse(const Answer& aAnswer, const std::string& aRequestId) const
{
  auto headers = aAnswer.headers_;
  if (!aRequestId.empty() && FindHeader(headers, names_.requestId_).empty()) {
    headers.push_back({ names_.requestId_, aRequestId });
  }
  headers.push_back({ names_.outcome_, std::string(ToString(aAnswer.outcome_)) });
  if (aAnswer.reason_ != Reason::None) {
    headers.push_back({ names_.reason_, std::string(ToString(aAnswer.reason_)) });
  }
  if (aAnswer.retryAfter_ > Duration{}) {
    headers.push_back({ "retry-after", impl::FormatSeconds(aAnswer.retryAfter_) });
  }
  return { .status_ = ToHttpStatus(aAnswer),
           .headers_ = std::move(headers),
           .body_ = aAnswer.body_ };
}

} // namespace geraniumpin
