#pragma once

#include "geraniumpin/connection/config_watch.hpp"
#include "http_client.hpp"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpin {

/// \brief The request paths of a platform and the parser of its responses.
template<class P>
concept PlatformProtocol = requires(const std::string& aKey,
                                    std::uint64_t aRevision,
                                    std::chrono::milliseconds aWait,
                                    const HttpResponse& aResponse)
{
  {
    P::PagePath(aKey)
    } -> std::same_as<std::string>;
  {
    P::WatchPath(aRevision, aWait)
    } -> std::same_as<std::string>;
  {
    P::Parse(aResponse)
    } -> std::same_as<ItemsRead>;
};

/// \brief Reads items of a platform over HTTP, one read at a time; satisfies ConfigSource.
///
/// A new read cancels the one in flight.
template<PlatformProtocol Protocol>
class PlatformClient
{
public:
  using Receiver = std::function<void(const ItemsRead&)>;

  PlatformClient(HttpClient& aClient, NodeAddress aPlatform, Receiver aReceiver)
    : client_(aClient)
    , platform_(std::move(aPlatform))
    , receiver_(std::move(aReceiver))
  {
  }

  void ReadItems(const std::string& aAfterKey) { Get(Protocol::PagePath(aAfterKey)); }

  void WatchItems(std::uint64_t aRevision, Duration aWait)
  {
    Get(
      Protocol::WatchPath(aRevision, std::chrono::duration_cast<std::chrono::milliseconds>(aWait)));
  }

  void CancelRead()
  {
    if (exchange_) {
      client_.Cancel(*exchange_);
      exchange_.reset();
    }
  }

private:
  void Get(const std::string& aPath)
  {
    CancelRead();
    const HttpRequest request{
      .method_ = "GET", .host_ = {}, .path_ = aPath, .headers_ = {}, .body_ = {}
    };
    exchange_ = client_.Start(platform_, request, {}, [this](const HttpResult& aResult) {
      exchange_.reset();
      receiver_(MakeItemsRead(aResult));
    });
  }

  [[nodiscard]] static ItemsRead MakeItemsRead(const HttpResult& aResult)
  {
    if (aResult.outcome_ != HttpOutcome::Complete) {
      return { .detail_ = aResult.detail_ };
    }
    return Protocol::Parse(aResult.response_);
  }

  HttpClient& client_;
  NodeAddress platform_;
  Receiver receiver_;
  std::optional<ClientExchangeId> exchange_;
};

} // namespace geraniumpin
