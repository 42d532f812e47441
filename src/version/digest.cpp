#include "geraniumpin/version/digest.hpp"

#include <algorithm>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::optional<std::uint8_t>
HexValue(char aDigit) noexcept
{
  const auto position = kHexDigits.find(aDigit);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(position);
}

} // namespace
} // namespace impl

Digest
Digest::Compute(std::string_view aBytes) noexcept
{
  Digest digest;
  SHA256(
    reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(), digest.bytes_.data());
  return digest;
}

std::optional<Digest>
Digest::FromHex(std::string_view aHex) noexcept
{
  if (aHex.size() != 2 * kBytes) {
    return std::nullopt;
  }
  Digest digest;
  for (std::size_t i = 0; i < kBytes; ++i) {
    const auto high = impl::HexValue(aHex[2 * i]);
    const auto low = impl::HexValue(aHex[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    digest.bytes_[i] = static_cast<std::uint8_t>(*high * 16 + *low);
  }
  return digest;
}

std::optional<Digest>
Digest::FromBytes(std::string_view aBytes) noexcept
{
  if (aBytes.size() != kBytes) {
    return std::nullopt;
  }
  Digest digest;
  std::memcpy(digest.bytes_.data(), aBytes.data(), kBytes);
  return digest;
}

std::string
Digest::Hex() const
{
  std::string hex;
  hex.reserve(2 * kBytes);
  for (const auto byte : bytes_) {
    hex.push_back(impl::kHexDigits[byte / 16]);
    hex.push_back(impl::kHexDigits[byte % 16]);
  }
  return hex;
}

std::string_view
Digest::Bytes() const noexcept
{
  return { reinterpret_cast<const char*>(bytes_.data()), bytes_.size() };
}

bool
Digest::EqualsInConstantTime(const Digest& aOther) const noexcept
{
  return CRYPTO_memcmp(bytes_.data(), aOther.bytes_.data(), kBytes) == 0;
}

} // namespace geraniumpin

std::size_t
std::hash<geraniumpin::Digest>::operator()(const geraniumpin::Digest& aDigest) const noexcept
{
  std::size_t value = 0;
  std::memcpy(&value, aDigest.Bytes().data(), sizeof value);
  return value;
}
