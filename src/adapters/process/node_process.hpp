#pragma once

#include "geraniumpin/process/settings.hpp"

#include <memory>

namespace geraniumpin {

/// \brief A node with its real outside: event loop, sockets, clock and log.
///
/// \code
/// NodeProcess process(settings);
/// return process.Run();
/// \endcode
class NodeProcess
{
public:
  explicit NodeProcess(const Settings& aSettings);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// \brief Runs until SIGTERM or SIGINT, finishes what runs, and returns the exit code.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace geraniumpin
