#pragma once

#include <istream>
#include <string>
#include <vector>

namespace geraniumpin::cli {

/// \brief A log line of a request.
struct TraceLine
{
  std::string time_; ///< as logged, "2026-12-04T10:20:30.123Z"
  std::string from_; ///< prefix of the line, such as the node; the name of the log if there is none
  std::string text_; ///< from "event=" on

  auto operator<=>(const TraceLine&) const = default;
};

/// \brief Finds the lines of a request in the logs of several nodes.
///
/// A line with only a call id belongs to the request if another line has both ids.
///
/// \code
/// Trace trace("9c41d07be2a35f68");
/// trace.Read("node-1.log", file);
/// for (const auto& line : trace.Lines()) { ... }
/// \endcode
class Trace
{
public:
  explicit Trace(std::string aRequestId)
    : requestId_(std::move(aRequestId))
  {
  }

  /// \brief Reads the lines with a request id or a call id from a log.
  /// \param aName Source of the lines that have no prefix.
  void Read(const std::string& aName, std::istream& aLog);

  /// \brief Returns the lines of the request, sorted by time.
  [[nodiscard]] std::vector<TraceLine> Lines() const;

private:
  std::string requestId_;
  std::vector<TraceLine> lines_;
};

/// \brief Returns the value of a key in a log line; empty if it is missing.
[[nodiscard]] std::string
FindField(const std::string& aLine, const std::string& aKey);

/// \brief Describes in one sentence how the request ended, according to its last call_end line.
[[nodiscard]] std::string
DescribeOutcome(const std::vector<TraceLine>& aLines);

} // namespace geraniumpin::cli
