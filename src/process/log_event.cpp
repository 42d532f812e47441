#include "geraniumpin/process/log_event.hpp"

#include <algorithm>
#include <cctype>

namespace geraniumpin {

namespace impl {
namespace {

bool
NeedsQuotes(std::string_view aValue) noexcept
{
  return aValue.empty() || std::any_of(aValue.begin(), aValue.end(), [](unsigned char aCharacter) {
           return aCharacter <= ' ' || aCharacter >= 0x7f || aCharacter == '"' ||
                  aCharacter == '=' || aCharacter == '\\';
         });
}

std::string
Quote(std::string_view aValue)
{
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted.push_back('\\');
    }
    quoted.push_back(std::iscntrl(static_cast<unsigned char>(character)) != 0 ? '?' : character);
  }
  return quoted + "\"";
}

} // namespace
} // namespace impl

LogEvent&
LogEvent::With(std::string_view aKey, std::string_view aValue)
{
  line_ += " ";
  line_ += aKey;
  line_ += "=";
  line_ += impl::NeedsQuotes(aValue) ? impl::Quote(aValue) : std::string(aValue);
  return *this;
}

} // namespace geraniumpin
