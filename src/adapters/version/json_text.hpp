#pragma once

#include "geraniumpin/version/fault.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace valijson {
class Schema;
}

namespace geraniumpin {

/// \brief A JSON schema, parsed once.
class JsonSchema
{
public:
  /// \param aText A valid schema of draft 7; anything else is a programming error.
  explicit JsonSchema(std::string_view aText);

  [[nodiscard]] const nlohmann::json& Root() const noexcept { return root_; }
  [[nodiscard]] const valijson::Schema& Parsed() const noexcept { return *parsed_; }

private:
  nlohmann::json root_;
  std::shared_ptr<const valijson::Schema> parsed_;
};

/// \brief A JSON text that can locate each of its values.
///
/// \code
/// const auto text = JsonText::Parse("node.json", bytes);
/// const auto faults = text->Check(schema);
/// \endcode
class JsonText
{
public:
  /// \brief Parses a JSON text.
  /// \param aSource File or part name that faults report.
  /// \returns The text, or a fault with the position of the syntax error.
  [[nodiscard]] static tl::expected<JsonText, Faults> Parse(std::string aSource,
                                                            std::string_view aText);

  [[nodiscard]] const nlohmann::json& Root() const noexcept { return root_; }

  /// \brief Checks the text against a schema.
  /// \returns All violations, with position, expectation and the value found.
  [[nodiscard]] Faults Check(const JsonSchema& aSchema) const;

  /// \brief Makes a fault with the position of the value at a JSON pointer.
  [[nodiscard]] Fault MakeFaultAt(const std::string& aPath, std::string aDescription) const;

private:
  JsonText() = default;

  std::string source_;
  std::string text_;
  nlohmann::json root_;
};

} // namespace geraniumpin
