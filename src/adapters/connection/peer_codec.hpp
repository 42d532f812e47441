#pragma once

#include "geraniumpin/connection/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief Encodes a message for the wire.
[[nodiscard]] std::string
EncodeEnvelope(const Envelope& aEnvelope);

/// \brief Size in bytes from which a body travels as a part of its own. Below it, a copy costs less
/// than a further part.
constexpr std::size_t kMinDetachedBodyBytes = 16U << 10U;

/// \brief Returns the body of a message if it can travel as a part of its own, else null.
[[nodiscard]] Body
FindDetachableBody(const Payload& aPayload);

/// \brief Where the body of a message is encoded.
enum class BodyPlace
{
  Inside,
  Detached ///< left out if FindDetachableBody returns it
};

/// \brief Appends a message, encoded for the wire.
void
AppendEnvelope(const Envelope& aEnvelope, BodyPlace aBodyPlace, std::string& aBytes);

/// \brief A message and what its encoding states about its sender.
struct DecodedEnvelope
{
  const Envelope envelope_;
  const bool acceptsFrames_ = false; ///< false: the sender is of an earlier release
};

/// \brief Decodes a message together with what its encoding states.
/// \param aDetachedBody The body that travelled as a part of its own; null if none did.
/// \returns Nothing if the bytes are malformed, incomplete or hold values out of range.
[[nodiscard]] std::optional<DecodedEnvelope>
DecodeWithFeatures(std::string_view aBytes, const Body& aDetachedBody = nullptr);

/// \brief Decodes a message.
/// \returns Nothing if the bytes are malformed, incomplete or hold values out of range.
[[nodiscard]] std::optional<Envelope>
DecodeEnvelope(std::string_view aBytes);

/// \brief Computes the authentication tag (HMAC-SHA256) of an encoded message.
[[nodiscard]] std::string
ComputeAuthenticationTag(std::string_view aBytes, std::string_view aPeerKey);

/// \brief Computes the authentication tag of two parts, one after the other, without joining them.
/// \returns An empty tag, which is never valid, if the library fails.
[[nodiscard]] std::string
ComputeAuthenticationTag(std::string_view aFirst,
                         std::string_view aSecond,
                         std::string_view aPeerKey);

/// \brief Checks an authentication tag in constant time.
[[nodiscard]] bool
IsAuthentic(std::string_view aBytes, std::string_view aTag, std::string_view aPeerKey);

/// \brief Compares a received tag with the computed one in constant time.
[[nodiscard]] bool
AreEqualTags(std::string_view aReceived, std::string_view aComputed);

} // namespace geraniumpin
