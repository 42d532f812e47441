#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Maximum depth of nested arrays and objects in a text of another process.
///
/// The JSON library compares, copies and prints values recursively.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// \brief Returns true if arrays and objects are nested deeper than the maximum.
[[nodiscard]] bool
IsNestedTooDeep(std::string_view aText, std::size_t aMaxDepth = kMaxJsonDepth) noexcept;

/// \brief Parses a JSON text of another process.
/// \returns The value, or what is wrong with the text: its syntax, or a depth above kMaxJsonDepth.
[[nodiscard]] tl::expected<nlohmann::json, std::string>
ParseJson(std::string_view aText);

} // namespace geraniumpin
