#pragma once

#include "geraniumpin/process/log_event.hpp"

namespace geraniumpin {

/// \brief Starts glog so that it writes to standard error.
void
StartLogging(const char* aProgram);

/// \brief Writes events through glog, one line each; satisfies Log.
class GlogLog
{
public:
  void Write(const LogEvent& aEvent);
};

} // namespace geraniumpin
