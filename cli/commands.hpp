#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpin::cli {

/// \brief Options of the command line.
struct Options
{
  bool json_ = false;
  std::string document_;
  std::string platform_;
  std::string admin_;
  std::uint64_t version_ = 0;
  std::uint32_t deadlineMs_ = 8000;
  std::string method_ = "GET";
  std::string path_;
  std::string key_;
  std::string host_;
  std::string requestId_;
  std::vector<std::string> logs_;
};

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitNotMet = 1;
inline constexpr int kExitBadInput = 2;
inline constexpr int kExitNoAnswer = 3;

/// \brief Checks a document and prints each fault with its position.
[[nodiscard]] int
Validate(const Options& aOptions);

/// \brief Prints version, incarnation and state of each node that the platform lists.
[[nodiscard]] int
Status(const Options& aOptions);

/// \brief Waits until every listed node runs at least the version, and prints those that lag.
[[nodiscard]] int
Watch(const Options& aOptions);

/// \brief Prints the route, team and instance that a node would choose for a request.
[[nodiscard]] int
Explain(const Options& aOptions);

/// \brief Prints the lines of a request from the logs of several nodes, and how it ended.
[[nodiscard]] int
ShowTrace(const Options& aOptions);

/// \brief Prints the metrics of one node.
[[nodiscard]] int
ShowMetrics(const Options& aOptions);

} // namespace geraniumpin::cli
