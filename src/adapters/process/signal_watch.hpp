#pragma once

#include "event_loop.hpp"
#include "geraniumpin/process/clock.hpp"

#include <memory>
#include <optional>
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
  [[nodiscard]] bool StopRequested() const noexcept { return stopRequestedAt_.has_value(); }

  /// \brief Returns the earliest time at which SIGTERM or SIGINT can have arrived; only after it
  /// was noticed.
  [[nodiscard]] TimePoint StopRequestedAt() const { return stopRequestedAt_.value(); }

private:
  int fd_;
  std::optional<TimePoint> stopRequestedAt_;
  bool reloadRequested_ = false;
  std::unique_ptr<FdWatch> watch_;
};

} // namespace geraniumpin
