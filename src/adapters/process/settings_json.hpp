#pragma once

#include "geraniumpin/process/settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace geraniumpin {

/// \brief Parses the settings of a node from JSON.
/// \param aSource File name that faults report.
/// \returns The settings, or every fault with its position.
[[nodiscard]] tl::expected<Settings, Faults>
ParseSettings(const std::string& aSource, std::string_view aText);

/// \brief Reads a whole file.
/// \returns Nothing if it cannot be read.
[[nodiscard]] std::optional<std::string>
ReadFile(const std::string& aPath);

} // namespace geraniumpin
