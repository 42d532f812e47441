#include "json_platform.hpp"

#include "../version/json_parse.hpp"

#include <nlohmann/json.hpp>

namespace geraniumpin {

std::string
JsonPlatform::PagePath(const std::string& aAfterKey)
{
  return "/v1/items?after=" + aAfterKey;
}

std::string
JsonPlatform::WatchPath(std::uint64_t aRevision, std::chrono::milliseconds aWait)
{
  return "/v1/watch?after=" + std::to_string(aRevision) +
         "&wait_ms=" + std::to_string(aWait.count());
}

ItemsRead
JsonPlatform::Parse(const HttpResponse& aResponse)
{
  if (aResponse.status_ == 410) {
    return { .result_ = ReadResult::HistoryGone };
  }
  if (aResponse.status_ != 200) {
    return { .detail_ = "status " + std::to_string(aResponse.status_) };
  }
  const auto parsed = ParseJson(*aResponse.body_);
  if (!parsed) {
    return { .detail_ = parsed.error() };
  }
  const auto& root = *parsed;
  try {
    ItemsRead read{ .result_ = ReadResult::Complete,
                    .hasMore_ = root.at("more").get<bool>(),
                    .revision_ = root.at("revision").get<std::uint64_t>() };
    if (root.contains("era")) {
      if (!root.at("era").is_number_unsigned()) {
        return { .detail_ = "malformed era" };
      }
      read.era_ = root.at("era").get<std::uint64_t>();
    }
    for (const auto& item : root.at("items")) {
      const bool removed = !item.contains("value");
      read.items_.push_back(
        { .key_ = item.at("key"),
          .value_ = removed ? std::nullopt : std::optional(item.at("value").get<std::string>()) });
    }
    return read;
  } catch (const nlohmann::json::exception& error) {
    return { .detail_ = error.what() };
  }
}

} // namespace geraniumpin
