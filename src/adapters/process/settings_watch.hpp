#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/settings.hpp"

#include <optional>
#include <string>

namespace geraniumpin {

/// \brief The content of a changed settings file: settings, or the faults found in it.
struct SettingsReload
{
  const std::optional<Settings> settings_;
  const Faults faults_;
};

/// \brief Detects changes of the settings file, on request and by polling.
class SettingsWatch
{
public:
  /// Polling period.
  static constexpr std::chrono::milliseconds kPeriod{ 5000 };

  SettingsWatch(std::string aPath, TimePoint aNow);

  /// \brief Reads the file.
  /// \returns Nothing if the file cannot be read, is unchanged or holds the current settings.
  [[nodiscard]] std::optional<SettingsReload> Check(const Settings& aCurrent, TimePoint aNow);

  [[nodiscard]] TimePoint NextDeadline() const noexcept { return next_; }

private:
  std::string path_;
  std::string lastText_;
  TimePoint next_;
};

} // namespace geraniumpin
