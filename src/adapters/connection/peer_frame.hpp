#pragma once

#include "geraniumpin/connection/message.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief Collects the messages to one peer in a frame, which has one authentication tag.
///
/// A frame is a byte 0, for each message its length (four bytes, the lowest first) and its
/// encoding, and the tag over all bytes before it. A frame whose last message has its body in a
/// part of its own is a byte 1, the size of the body (eight bytes), the messages, and the tag over
/// these and the body. No protobuf message begins with a byte 0 or 1, since fields have no number
/// 0, so a frame differs from a message without one.
///
/// \code
/// frame.Append(message);
/// Transmit(frame.Finish(peerKey));
/// \endcode
class FrameWriter
{
public:
  /// \brief Encodes a message behind those that the frame holds. If FindDetachableBody returns its
  /// body, the frame must be finished with it next.
  void Append(const Envelope& aMessage);

  /// \brief Number of messages in the frame.
  [[nodiscard]] std::size_t Count() const noexcept { return count_; }
  /// \brief Size of the frame without its tag, in bytes.
  [[nodiscard]] std::size_t Bytes() const noexcept { return bytes_.size(); }

  /// \brief Returns the frame with its tag, and begins an empty one.
  /// \param aBody Body of the last message that follows as a part of its own; null if none does.
  [[nodiscard]] std::string Finish(std::string_view aPeerKey, const Body& aBody = nullptr);

private:
  std::string bytes_;
  std::size_t count_ = 0;
};

/// \brief Returns true if bytes from a peer are a frame, authentic or not.
[[nodiscard]] bool
IsFrame(std::string_view aBytes) noexcept;

/// \brief Returns true if a body follows the frame as a part of its own.
[[nodiscard]] bool
HasDetachedBody(std::string_view aFrame) noexcept;

/// \brief Reads a frame.
/// \param aBody The part that followed; empty if none did.
/// \returns The encoded messages, which refer to aBytes; nothing if the frame is malformed or not
/// authentic.
[[nodiscard]] std::optional<std::vector<std::string_view>>
ReadFrame(std::string_view aBytes, std::string_view aBody, std::string_view aPeerKey);

} // namespace geraniumpin
