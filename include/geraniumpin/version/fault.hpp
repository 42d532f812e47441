#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief A line and a column in a source text, both from 1; 0 means unknown.
struct SourcePosition
{
  const std::size_t line_ = 0;
  const std::size_t column_ = 0;

  auto operator<=>(const SourcePosition&) const = default;
};

/// \brief One reason why a settings file, document or part was refused.
struct Fault
{
  const std::string source_;      ///< file or part name
  const std::string path_;        ///< JSON pointer of the value
  const SourcePosition position_; ///< where the value starts
  const std::string description_; ///< what was expected
  const std::string found_;       ///< the value that was found, shortened; may be empty

  auto operator<=>(const Fault&) const = default;
};

/// \brief All faults of one source; never empty when returned as an error.
using Faults = std::vector<Fault>;

/// \brief Formats a fault as one line: "file:line:column: /path: description, found value".
[[nodiscard]] std::string
ToString(const Fault& aFault);

} // namespace geraniumpin
