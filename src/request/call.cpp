#include "geraniumpin/request/call.hpp"

#include <array>
#include <charconv>
#include <xxhash.h>

namespace geraniumpin {

namespace impl {
namespace {

std::string
Hex(std::uint64_t aValue)
{
  std::array<char, 16> buffer{};
  const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), aValue, 16);
  return { buffer.data(), result.ptr };
}

} // namespace
} // namespace impl

std::uint64_t
MakeOrigin(const NodeAddress& aNode, std::uint64_t aIncarnation) noexcept
{
  return XXH3_64bits_withSeed(aNode.Text().data(), aNode.Text().size(), aIncarnation);
}

std::string
ToString(const CallId& aId)
{
  return impl::Hex(aId.origin_) + "-" + impl::Hex(aId.sequence_);
}

Body
MakeBody(std::string_view aText)
{
  return std::make_shared<const std::string>(aText);
}

} // namespace geraniumpin
