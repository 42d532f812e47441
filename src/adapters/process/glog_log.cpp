#include "glog_log.hpp"

#include <glog/logging.h>

namespace geraniumpin {

void
StartLogging(const char* aProgram)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aProgram);
}

void
GlogLog::Write(const LogEvent& aEvent)
{
  switch (aEvent.Level()) {
    case Severity::Info:
      LOG(INFO) << aEvent.Line();
      return;
    case Severity::Warning:
      LOG(WARNING) << aEvent.Line();
      return;
    case Severity::Error:
      LOG(ERROR) << aEvent.Line();
      return;
  }
}

} // namespace geraniumpin
