#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief A SHA-256 digest.
///
/// \code
/// const auto digest = Digest::Compute("hello");
/// assert(Digest::FromHex(digest.Hex()) == digest);
/// \endcode
class Digest
{
public:
  static constexpr std::size_t kBytes = 32;

  /// \brief Constructs the all-zero digest, which means "no content".
  Digest() noexcept = default;

  /// \brief Computes the SHA-256 of the bytes.
  [[nodiscard]] static Digest Compute(std::string_view aBytes) noexcept;

  /// \brief Parses 64 lower-case hexadecimal digits.
  /// \returns Nothing if the length or a character differs.
  [[nodiscard]] static std::optional<Digest> FromHex(std::string_view aHex) noexcept;

  /// \brief Makes a digest from its 32 bytes.
  /// \returns Nothing if the length differs.
  [[nodiscard]] static std::optional<Digest> FromBytes(std::string_view aBytes) noexcept;

  [[nodiscard]] std::string Hex() const;
  [[nodiscard]] std::string_view Bytes() const noexcept;

  /// \brief Compares in a time that does not depend on where the digests differ.
  [[nodiscard]] bool EqualsInConstantTime(const Digest& aOther) const noexcept;

  auto operator<=>(const Digest&) const = default;

private:
  std::array<std::uint8_t, kBytes> bytes_{};
};

} // namespace geraniumpin

template<>
struct std::hash<geraniumpin::Digest>
{
  std::size_t operator()(const geraniumpin::Digest& aDigest) const noexcept;
};
