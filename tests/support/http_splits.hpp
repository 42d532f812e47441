#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace geraniumpin::test {

/// \brief Returns every way to send a text in segments of interest: in two at each place, and with
/// each byte in a segment of its own between the others.
inline std::vector<std::vector<std::string>>
SplitEverywhere(const std::string& aText)
{
  std::vector<std::vector<std::string>> splits;
  for (std::size_t at = 1; at < aText.size(); ++at) {
    splits.push_back({ aText.substr(0, at), aText.substr(at) });
    if (at + 1 < aText.size()) {
      splits.push_back({ aText.substr(0, at), aText.substr(at, 1), aText.substr(at + 1) });
    }
  }
  return splits;
}

/// \brief Returns the segments with a bar between them, for messages.
inline std::string
JoinSegments(const std::vector<std::string>& aSegments)
{
  std::string text;
  for (const auto& segment : aSegments) {
    text += (text.empty() ? "" : "|") + segment;
  }
  return text;
}

} // namespace geraniumpin::test
