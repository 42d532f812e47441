#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief Returns a header field's name or token in lower case, for comparisons.
[[nodiscard]] inline std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return text;
}

} // namespace geraniumpin
