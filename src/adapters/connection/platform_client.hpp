#pragma once

#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/process/platform_reader.hpp"
#include "http_client.hpp"

#include <functional>
#include <string_view>

namespace geraniumpin {

/// \brief Receives what the platform answered.
struct PlatformEvents
{
  std::function<void(const HeadRead&)> onHead_;
  std::function<void(const ContentRead&)> onContent_;
  std::function<void(const VmListRead&)> onVmList_;
};

/// \brief Reads the platform's configuration service over HTTP; satisfies ConfigSource.
class PlatformClient
{
public:
  PlatformClient(HttpClient& aClient, NodeAddress aPlatform, PlatformEvents aEvents);

  void FetchHead(std::uint64_t aAfterRevision);
  void FetchContent(const Digest& aDigest);
  void FetchVmList(std::uint64_t aAfterRevision);

private:
  void Get(const std::string& aPath, std::function<void(const HttpResponse*)> aDone);

  HttpClient& client_;
  NodeAddress platform_;
  PlatformEvents events_;
};

/// \brief Decodes the platform's list of VMs.
/// \returns Nothing if the text is malformed.
[[nodiscard]] std::optional<VmList>
ParseVmList(std::string_view aText);

} // namespace geraniumpin
