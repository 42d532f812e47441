#include "platform_client.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::string_view kRevisionHeader = "revision";

std::uint64_t
RevisionOf(const HttpResponse& aResponse) noexcept
{
  const auto text = FindHeader(aResponse.headers_, kRevisionHeader);
  std::uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

} // namespace
} // namespace impl

std::optional<VmList>
ParseVmList(std::string_view aText)
{
  const auto root = nlohmann::json::parse(aText, nullptr, false);
  if (!root.is_object() || !root.value("vms", nlohmann::json()).is_array()) {
    return std::nullopt;
  }
  VmList list{ .revision_ = root.value("revision", std::uint64_t{ 0 }) };
  for (const auto& item : root.at("vms")) {
    const auto node = NodeAddress::Parse(item.value("node", std::string()));
    if (!node) {
      return std::nullopt;
    }
    const auto admin = NodeAddress::Parse(item.value("admin", std::string()));
    list.vms_.push_back({ .node_ = *node,
                          .admin_ = admin.value_or(NodeAddress{}),
                          .failureDomain_ = item.value("failure_domain", std::string()),
                          .leaving_ = item.value("state", std::string("live")) == "leaving" });
  }
  return list;
}

PlatformClient::PlatformClient(HttpClient& aClient, NodeAddress aPlatform, PlatformEvents aEvents)
  : client_(aClient)
  , platform_(std::move(aPlatform))
  , events_(std::move(aEvents))
{
}

void
PlatformClient::Get(const std::string& aPath, std::function<void(const HttpResponse*)> aDone)
{
  const HttpRequest request{ .method_ = "GET", .path_ = aPath, .headers_ = {}, .body_ = {} };
  client_.Start(platform_, request, [done = std::move(aDone)](const HttpResult& aResult) {
    const bool good = aResult.end_ == HttpEnd::Complete && aResult.response_.status_ == 200;
    done(good ? &aResult.response_ : nullptr);
  });
}

void
PlatformClient::FetchHead(std::uint64_t aAfterRevision)
{
  Get("/v1/head?after=" + std::to_string(aAfterRevision), [this](const HttpResponse* aResponse) {
    if (aResponse == nullptr) {
      events_.onHead_({});
    } else {
      events_.onHead_({ .text_ = *aResponse->body_, .revision_ = impl::RevisionOf(*aResponse) });
    }
  });
}

void
PlatformClient::FetchContent(const Digest& aDigest)
{
  Get("/v1/content/" + aDigest.Hex(), [this, aDigest](const HttpResponse* aResponse) {
    if (aResponse == nullptr) {
      events_.onContent_({ .digest_ = aDigest, .bytes_ = std::nullopt });
    } else {
      events_.onContent_({ .digest_ = aDigest, .bytes_ = *aResponse->body_ });
    }
  });
}

void
PlatformClient::FetchVmList(std::uint64_t aAfterRevision)
{
  Get("/v1/vms?after=" + std::to_string(aAfterRevision), [this](const HttpResponse* aResponse) {
    events_.onVmList_(
      { .list_ = aResponse == nullptr ? std::nullopt : ParseVmList(*aResponse->body_) });
  });
}

} // namespace geraniumpin
