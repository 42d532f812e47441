#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/settings.hpp"

#include <optional>
#include <string>

namespace geraniumpin {

/// \brief What a changed settings file holds: settings, or the faults that speak against it.
struct SettingsReload
{
  const std::optional<Settings> settings_;
  const Faults faults_;
};

/// \brief Notices changes of the settings file, with or without a signal.
class SettingsWatch
{
public:
  /// Time between two looks at the file.
  static constexpr std::chrono::milliseconds kPeriod{ 5000 };

  SettingsWatch(std::string aPath, TimePoint aNow);

  /// \brief Reads the file.
  /// \returns Nothing if it says the same as before.
  [[nodiscard]] std::optional<SettingsReload> Check(const Settings& aCurrent, TimePoint aNow);

  [[nodiscard]] TimePoint NextDeadline() const noexcept { return next_; }

private:
  std::string path_;
  std::string lastText_;
  TimePoint next_;
};

} // namespace geraniumpin
