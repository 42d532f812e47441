#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief The IPv4 address and port of a node, such as "127.1.0.1:7000".
///
/// \code
/// const auto node = NodeAddress::Parse("127.1.0.1:7000");
/// assert(node && node->Port() == 7000);
/// \endcode
class NodeAddress
{
public:
  NodeAddress() = default;

  /// \brief Parses an IPv4 address and a port.
  /// \returns Nothing for host names, missing ports and ports out of range.
  [[nodiscard]] static std::optional<NodeAddress> Parse(std::string_view aText);

  [[nodiscard]] const std::string& Text() const noexcept { return text_; }
  [[nodiscard]] std::string Ip() const;
  [[nodiscard]] std::uint16_t Port() const noexcept;
  [[nodiscard]] bool Empty() const noexcept { return text_.empty(); }

  auto operator<=>(const NodeAddress&) const = default;

private:
  explicit NodeAddress(std::string_view aText)
    : text_(aText)
  {
  }

  std::string text_;
};

} // namespace geraniumpin
