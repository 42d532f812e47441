#pragma once

#include <istream>
#include <string>
#include <vector>

namespace geraniumpin::cli {

/// \brief One log line that concerns a request.
struct TraceLine
{
  std::string time_; ///< as logged, "2026-12-04T10:20:30.123Z"
  std::string from_; ///< what stood before the line, usually the node; or the file's name
  std::string text_; ///< from "event=" on

  auto operator<=>(const TraceLine&) const = default;
};

/// \brief Finds the lines of a request in the logs of several nodes.
///
/// Lines that name only the call belong to the request too, if another line joins the two.
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

  /// \param aName Names the source in the lines that do not name their node.
  void Read(const std::string& aName, std::istream& aLog);

  /// \brief The lines of the request in the order of time.
  [[nodiscard]] std::vector<TraceLine> Lines() const;

private:
  std::string requestId_;
  std::vector<TraceLine> lines_;
};

/// \brief Returns the value of a key in a log line; empty if it is missing.
[[nodiscard]] std::string
FindField(const std::string& aLine, const std::string& aKey);

/// \brief Says in a sentence how the request ended, from its last line at the entry node.
[[nodiscard]] std::string
DescribeOutcome(const std::vector<TraceLine>& aLines);

} // namespace geraniumpin::cli
