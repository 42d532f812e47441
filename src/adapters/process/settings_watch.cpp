#include "settings_watch.hpp"

#include "settings_json.hpp"

namespace geraniumpin {

SettingsWatch::SettingsWatch(std::string aPath, TimePoint aNow)
  : path_(std::move(aPath))
  , lastText_(ReadFile(path_).value_or(""))
  , next_(aNow + kPeriod)
{
}

std::optional<SettingsReload>
SettingsWatch::Check(const Settings& aCurrent, TimePoint aNow)
{
  next_ = aNow + kPeriod;
  const auto text = ReadFile(path_);
  if (!text || *text == lastText_) {
    return std::nullopt;
  }
  lastText_ = *text;
  const auto settings = ParseSettings(path_, *text);
  if (!settings) {
    return SettingsReload{ std::nullopt, settings.error() };
  }
  if (*settings == aCurrent) {
    return std::nullopt;
  }
  return SettingsReload{ *settings, {} };
}

} // namespace geraniumpin
