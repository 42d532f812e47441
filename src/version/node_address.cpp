#include "geraniumpin/version/node_address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace geraniumpin {

namespace impl {
namespace {

std::optional<std::uint16_t>
ParsePort(std::string_view aText) noexcept
{
  std::uint16_t port = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, port);
  if (result.ec != std::errc{} || result.ptr != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

} // namespace
} // namespace impl

std::optional<NodeAddress>
NodeAddress::Parse(std::string_view aText)
{
  const auto colon = aText.find(':');
  if (colon == std::string_view::npos || !impl::ParsePort(aText.substr(colon + 1))) {
    return std::nullopt;
  }
  in_addr ignored{};
  if (inet_pton(AF_INET, std::string(aText.substr(0, colon)).c_str(), &ignored) != 1) {
    return std::nullopt;
  }
  return NodeAddress(aText);
}

std::string
NodeAddress::Ip() const
{
  return text_.substr(0, text_.find(':'));
}

std::uint16_t
NodeAddress::Port() const noexcept
{
  const auto colon = text_.find(':');
  if (colon == std::string::npos) {
    return 0;
  }
  return impl::ParsePort(std::string_view(text_).substr(colon + 1)).value_or(0);
}

} // namespace geraniumpin
