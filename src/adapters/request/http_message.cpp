#include "http_message.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::array<std::string_view, 10> kHopByHop{
  "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
  "upgrade",    "host",       "transfer-encoding",  "content-length"
};

std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned value = 0;
    const bool isEscape = aText[i] == '%' && i + 2 < aText.size();
    if (isEscape &&
        std::from_chars(&aText[i + 1], &aText[i + 1] + 2, value, 16).ec == std::errc{}) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(aText[i]);
    }
  }
  return decoded;
}

} // namespace
} // namespace impl

bool
IsValidField(std::string_view aName, std::string_view aValue) noexcept
{
  // A token is a list with itself as the only element.
  const boost::beast::string_view name(aName.data(), aName.size());
  const boost::beast::http::opt_token_list tokens(name);
  return boost::beast::http::validate_list(tokens) && tokens.begin() != tokens.end() &&
         *tokens.begin() == name && std::none_of(aValue.begin(), aValue.end(), IsControlByte);
}

std::string_view
FindHeader(const HeaderFields& aFields, std::string_view aName) noexcept
{
  const auto found = std::find_if(aFields.begin(), aFields.end(), [&](const HeaderField& aField) {
    return aField.name_ == aName;
  });
  return found == aFields.end() ? std::string_view{} : std::string_view(found->value_);
}

bool
IsHopByHop(std::string_view aName) noexcept
{
  return std::find(impl::kHopByHop.begin(), impl::kHopByHop.end(), aName) != impl::kHopByHop.end();
}

const char*
ReasonPhrase(int aStatus) noexcept
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string
QueryParameter(std::string_view aPath, std::string_view aName)
{
  const auto question = aPath.find('?');
  auto query = question == std::string_view::npos ? std::string_view{} : aPath.substr(question + 1);
  while (!query.empty()) {
    const auto pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return impl::PercentDecode(pair.substr(equals + 1));
    }
  }
  return {};
}

} // namespace geraniumpin
