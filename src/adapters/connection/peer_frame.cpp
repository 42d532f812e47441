#include "peer_frame.hpp"

#include "peer_codec.hpp"

#include <cstdint>
#include <utility>

namespace geraniumpin {

namespace impl {
namespace {

constexpr char kFrameMark = '\0';
constexpr char kBodyFrameMark = '\1';
constexpr std::size_t kBodySizeBytes = 8;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTagBytes = 32; // HMAC-SHA256
constexpr unsigned kBitsPerByte = 8;

void
WriteLength(std::size_t aLength, std::size_t aBytes, char* aTo) noexcept
{
  for (std::size_t i = 0; i < aBytes; ++i) {
    aTo[i] = static_cast<char>((aLength >> (kBitsPerByte * i)) & 0xffU);
  }
}

std::size_t
ReadLength(std::string_view aBytes) noexcept
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    length |= std::size_t{ static_cast<unsigned char>(aBytes[i]) } << (kBitsPerByte * i);
  }
  return length;
}

} // namespace
} // namespace impl

void
FrameWriter::Append(const Envelope& aMessage)
{
  if (bytes_.empty()) {
    bytes_.push_back(impl::kFrameMark);
  }
  const auto lengthAt = bytes_.size();
  const auto messageAt = lengthAt + impl::kLengthBytes;
  bytes_.resize(messageAt);
  AppendEnvelope(aMessage, BodyPlace::Detached, bytes_);
  impl::WriteLength(bytes_.size() - messageAt, impl::kLengthBytes, bytes_.data() + lengthAt);
  ++count_;
}

std::string
FrameWriter::Finish(std::string_view aPeerKey, const Body& aBody)
{
  count_ = 0;
  auto frame = std::exchange(bytes_, {});
  if (aBody) {
    // The size is at a fixed place, so that the tag also covers where the body begins.
    frame.front() = impl::kBodyFrameMark;
    frame.insert(1, impl::kBodySizeBytes, '\0');
    impl::WriteLength(aBody->size(), impl::kBodySizeBytes, frame.data() + 1);
    frame += ComputeAuthenticationTag(frame, *aBody, aPeerKey);
  } else {
    frame += ComputeAuthenticationTag(frame, aPeerKey);
  }
  return frame;
}

bool
IsFrame(std::string_view aBytes) noexcept
{
  return !aBytes.empty() &&
         (aBytes.front() == impl::kFrameMark || aBytes.front() == impl::kBodyFrameMark);
}

bool
HasDetachedBody(std::string_view aFrame) noexcept
{
  return !aFrame.empty() && aFrame.front() == impl::kBodyFrameMark;
}

std::optional<std::vector<std::string_view>>
ReadFrame(std::string_view aBytes, std::string_view aBody, std::string_view aPeerKey)
{
  const bool hasBody = HasDetachedBody(aBytes);
  const auto headBytes = 1 + (hasBody ? impl::kBodySizeBytes : 0);
  if (!IsFrame(aBytes) || aBytes.size() < headBytes + impl::kTagBytes) {
    return std::nullopt;
  }
  const auto tag = aBytes.substr(aBytes.size() - impl::kTagBytes);
  aBytes.remove_suffix(impl::kTagBytes);
  const auto expected = hasBody ? ComputeAuthenticationTag(aBytes, aBody, aPeerKey)
                                : ComputeAuthenticationTag(aBytes, aPeerKey);
  const auto bodySize = hasBody ? impl::ReadLength(aBytes.substr(1, impl::kBodySizeBytes)) : 0;
  if (bodySize != aBody.size() || !AreEqualTags(tag, expected)) {
    return std::nullopt;
  }
  std::vector<std::string_view> messages;
  for (aBytes.remove_prefix(headBytes); !aBytes.empty();) {
    if (aBytes.size() < impl::kLengthBytes) {
      return std::nullopt;
    }
    const auto length = impl::ReadLength(aBytes.substr(0, impl::kLengthBytes));
    aBytes.remove_prefix(impl::kLengthBytes);
    if (length > aBytes.size()) {
      return std::nullopt;
    }
    messages.push_back(aBytes.substr(0, length));
    aBytes.remove_prefix(length);
  }
  return messages;
}

} // namespace geraniumpin
