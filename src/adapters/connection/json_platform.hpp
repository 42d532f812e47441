#pragma once

#include "../request/http_message.hpp"
#include "geraniumpin/connection/config_watch.hpp"

#include <chrono>
#include <string>

namespace geraniumpin {

/// \brief The project's own platform protocol: items as JSON over HTTP; satisfies PlatformProtocol.
///
/// GET /v1/items?after=KEY lists items after the key; GET /v1/watch?after=REVISION&wait_ms=N waits
/// for changes. Both return {"revision": N, "more": false, "items": [{"key": K, "value": TEXT}]},
/// where an item without value was removed. Status 410 means that the changes after that revision
/// are no longer available.
struct JsonPlatform
{
  [[nodiscard]] static std::string PagePath(const std::string& aAfterKey);
  [[nodiscard]] static std::string WatchPath(std::uint64_t aRevision,
                                             std::chrono::milliseconds aWait);
  [[nodiscard]] static ItemsRead Parse(const HttpResponse& aResponse);
};

} // namespace geraniumpin
