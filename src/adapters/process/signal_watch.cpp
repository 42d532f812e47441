#include "signal_watch.hpp"

#include <csignal>
#include <glog/logging.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace geraniumpin {

SignalWatch::SignalWatch(EventLoop& aLoop)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  fd_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  PCHECK(fd_ >= 0) << "event=signalfd_failed";
  watch_ = std::make_unique<FdWatch>(aLoop, fd_, [this, &aLoop] {
    signalfd_siginfo info{};
    while (read(fd_, &info, sizeof info) == sizeof info) {
      const bool reload = info.ssi_signo == SIGHUP;
      reloadRequested_ = reloadRequested_ || reload;
      if (!reload && !stopRequestedAt_) {
        stopRequestedAt_ = aLoop.EarliestArrival();
      }
    }
  });
}

SignalWatch::~SignalWatch()
{
  watch_.reset();
  close(fd_);
}

} // namespace geraniumpin
