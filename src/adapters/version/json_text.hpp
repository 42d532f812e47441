#pragma once

#include "geraniumpin/version/fault.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief A JSON schema, parsed once.
class JsonSchema
{
public:
  /// \param aText A valid schema of draft 7; anything else is a broken invariant.
  explicit JsonSchema(std::string_view aText);

  [[nodiscard]] const nlohmann::json& Root() const noexcept { return root_; }

private:
  nlohmann::json root_;
};

/// \brief A JSON text that remembers where each of its values stands.
///
/// \code
/// const auto text = JsonText::Parse("node.json", bytes);
/// const auto faults = text->Check(schema);
/// \endcode
class JsonText
{
public:
  /// \param aSource File or part name, for faults.
  [[nodiscard]] static tl::expected<JsonText, Faults> Parse(std::string aSource,
                                                            std::string_view aText);

  [[nodiscard]] const nlohmann::json& Root() const noexcept { return root_; }

  /// \brief Checks the text against a schema.
  /// \returns All violations, with position, expectation and the value found.
  [[nodiscard]] Faults Check(const JsonSchema& aSchema) const;

  /// \brief Makes a fault that points to the value at a JSON pointer.
  [[nodiscard]] Fault FaultAt(const std::string& aPath, std::string aDescription) const;

private:
  JsonText() = default;

  std::string source_;
  nlohmann::json root_;
  std::map<std::string, std::size_t> offsets_;
  std::vector<std::size_t> lineStarts_;
};

} // namespace geraniumpin
