#pragma once

#include "event_loop.hpp"

#include <memory>
#include <utility>

namespace geraniumpin {

/// \brief Receives SIGTERM, SIGINT and SIGHUP on the event loop.
class SignalWatch
{
public:
  explicit SignalWatch(EventLoop& aLoop);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

  /// \brief Returns true if SIGHUP arrived since the last call.
  [[nodiscard]] bool TakeReloadRequest() noexcept { return std::exchange(reloadRequested_, false); }

  /// \brief Returns true once SIGTERM or SIGINT arrived.
  [[nodiscard]] bool StopRequested() const noexcept { return stopRequested_; }

private:
  int fd_;
  bool stopRequested_ = false;
  bool reloadRequested_ = false;
  std::unique_ptr<FdWatch> watch_;
};

} // namespace geraniumpin
