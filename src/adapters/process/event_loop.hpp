#pragma once

#include "geraniumpin/process/clock.hpp"

#include <functional>
#include <memory>

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace geraniumpin {

/// \brief The one loop on which all code of a process runs.
///
/// \code
/// EventLoop loop;
/// while (!done) { loop.RunOnce(node.NextDeadline()); node.OnTimer(); }
/// \endcode
class EventLoop
{
public:
  EventLoop();
  ~EventLoop() = default; // h2o 2.2 cannot destroy an epoll loop; the process ends with it
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Sleeps until something happens or the time has come, and handles what happened.
  void RunOnce(TimePoint aUntil);

  /// \brief Makes the next turn go on without sleep.
  ///
  /// Whoever uses a socket between two turns calls it: h2o finishes such work only after it has
  /// slept. Within a turn it does nothing.
  void SkipSleep();

  [[nodiscard]] st_h2o_evloop_t* Native() const noexcept { return loop_; }

private:
  st_h2o_evloop_t* loop_;
  bool isRunning_ = false;
  bool skipSleep_ = false;
};

/// \brief Watches a file descriptor that another library owns.
class FdWatch
{
public:
  /// \param aOnReadable Called whenever the descriptor is readable.
  FdWatch(EventLoop& aLoop, int aFd, std::function<void()> aOnReadable);
  ~FdWatch();
  FdWatch(const FdWatch&) = delete;
  FdWatch& operator=(const FdWatch&) = delete;

private:
  static void OnReadable(st_h2o_socket_t* aSocket, const char* aError);

  std::function<void()> onReadable_;
  st_h2o_socket_t* socket_;
};

} // namespace geraniumpin
