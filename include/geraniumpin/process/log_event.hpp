#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief Severity of a log event.
enum class Severity
{
  Routine, ///< regular progress of a request
  Info,    ///< start, stop or change of the state of a node
  Warning,
  Error
};

/// \brief Builds one log line of key=value pairs.
///
/// Values with spaces, quotes or control characters are quoted; control characters become "?", so
/// that each event stays on one line.
///
/// \code
/// log.Write(LogEvent("route").With("team", "t1").With("candidates", 3));
/// \endcode
class LogEvent
{
public:
  explicit LogEvent(std::string_view aName, Severity aSeverity = Severity::Info)
    : severity_(aSeverity)
    , line_("event=" + std::string(aName))
  {
  }

  LogEvent& With(std::string_view aKey, std::string_view aValue);
  LogEvent& With(std::string_view aKey, const char* aValue)
  {
    return With(aKey, std::string_view(aValue));
  }
  LogEvent& With(std::string_view aKey, const std::string& aValue)
  {
    return With(aKey, std::string_view(aValue));
  }
  template<class Number>
  requires std::integral<Number> || std::floating_point<Number> LogEvent& With(
    std::string_view aKey,
    Number aValue)
  {
    return With(aKey, std::string_view(std::to_string(aValue)));
  }

  [[nodiscard]] const std::string& Line() const noexcept { return line_; }
  [[nodiscard]] Severity Level() const noexcept { return severity_; }

private:
  Severity severity_;
  std::string line_;
};

/// \brief A sink for log events.
template<class L>
concept Log = requires(L& aLog, const LogEvent& aEvent)
{
  aLog.Write(aEvent);
};

} // namespace geraniumpin
