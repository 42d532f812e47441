#include "geraniumpin/connection/content_size.hpp"

namespace geraniumpin {

std::size_t
ContentBytes(const Payload& aPayload) noexcept
{
  if (const auto* request = std::get_if<CallRequest>(&aPayload)) {
    return BodyBytes(request->body_);
  }
  if (const auto* reply = std::get_if<CallReply>(&aPayload)) {
    return BodyBytes(reply->answer_.body_);
  }
  std::size_t bytes = 0;
  if (const auto* push = std::get_if<VersionPush>(&aPayload)) {
    for (const auto& [name, part] : push->delta_.changed_) {
      bytes += BodyBytes(part);
    }
  }
  return bytes;
}

} // namespace geraniumpin
