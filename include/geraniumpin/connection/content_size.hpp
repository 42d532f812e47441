#pragma once

#include "geraniumpin/connection/message.hpp"

#include <cstddef>

namespace geraniumpin {

/// \brief Returns the size of a body in bytes; 0 for a null one.
[[nodiscard]] inline std::size_t
BodyBytes(const Body& aBody) noexcept
{
  return aBody ? aBody->size() : 0;
}

/// \brief Returns the bytes of a message that may be many: bodies and parts of a version.
[[nodiscard]] std::size_t
ContentBytes(const Payload& aPayload) noexcept;

} // namespace geraniumpin
