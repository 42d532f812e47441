#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief Compresses bytes in the zlib format; equal bytes give equal results.
[[nodiscard]] std::string
Deflate(std::string_view aBytes);

/// \brief Returns true if the bytes start with the zlib header that Deflate writes.
[[nodiscard]] bool
IsDeflated(std::string_view aBytes) noexcept;

/// \brief Decompresses the result of Deflate.
/// \param aMaxBytes Maximum size of the result.
/// \returns Nothing if the bytes are damaged or the result would be larger.
[[nodiscard]] std::optional<std::string>
Inflate(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace geraniumpin
