#pragma once

#include "event_loop.hpp"

#include <memory>

namespace geraniumpin {

/// \brief Notes SIGTERM and SIGINT on the event loop.
class SignalWatch
{
public:
  explicit SignalWatch(EventLoop& aLoop);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

  [[nodiscard]] bool StopRequested() const noexcept { return stopRequested_; }

private:
  int fd_;
  bool stopRequested_ = false;
  std::unique_ptr<FdWatch> watch_;
};

} // namespace geraniumpin
