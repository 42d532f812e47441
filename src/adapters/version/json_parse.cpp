#include "json_parse.hpp"

namespace geraniumpin {

bool
IsNestedTooDeep(std::string_view aText, std::size_t aMaxDepth) noexcept
{
  std::size_t depth = 0;
  bool inString = false;
  bool escaped = false;
  for (const char character : aText) {
    if (inString) {
      inString = escaped || character != '"';
      escaped = !escaped && character == '\\';
    } else if (character == '"') {
      inString = true;
    } else if (character == '[' || character == '{') {
      depth += 1;
    } else if ((character == ']' || character == '}') && depth > 0) {
      depth -= 1;
    }
    if (depth > aMaxDepth) {
      return true;
    }
  }
  return false;
}

tl::expected<nlohmann::json, std::string>
ParseJson(std::string_view aText)
{
  if (IsNestedTooDeep(aText)) {
    return tl::make_unexpected("nested deeper than " + std::to_string(kMaxJsonDepth) + " levels");
  }
  try {
    return nlohmann::json::parse(aText);
  } catch (const nlohmann::json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

} // namespace geraniumpin
