#pragma once

#include "geraniumpin/process/clock.hpp"

#include <functional>
#include <memory>
#include <optional>

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace geraniumpin {

/// \brief The event loop; all code of a process runs on its thread.
///
/// \code
/// EventLoop loop;
/// while (!done) { loop.RunOnce(node.NextDeadline()); node.OnTimer(); }
/// \endcode
class EventLoop
{
public:
  EventLoop();
  ~EventLoop() = default; // leaked: h2o 2.2 cannot destroy an epoll loop
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Waits for events, until the given time at the latest, and handles them.
  void RunOnce(TimePoint aUntil);

  /// \brief Makes the next RunOnce poll for events without waiting.
  ///
  /// Required after each use of a socket outside RunOnce, since h2o completes such operations only
  /// after its wait. Has no effect inside RunOnce.
  void SkipSleep();

  /// \brief Records when this turn woke up, in its first callback.
  void RecordWakeUp();

  /// \brief Returns the earliest time at which data that is read in this turn can have arrived.
  ///
  /// For the load pattern "saturated node": data that arrives while a turn handles events stays
  /// unread until the next one. If the loop has slept, it is the time at which it woke up.
  [[nodiscard]] TimePoint EarliestArrival();

  [[nodiscard]] st_h2o_evloop_t* Native() const noexcept { return loop_; }

private:
  st_h2o_evloop_t* loop_;
  bool isRunning_ = false;
  bool skipSleep_ = false;
  TimePoint beganAt_;                          ///< of this turn
  std::chrono::milliseconds beganTimeOfDay_{}; ///< the same since the epoch
  std::optional<TimePoint> wokeUpAt_;          ///< in this turn; nothing before its first callback
  TimePoint previousWokeUpAt_;                 ///< in the turn before
};

/// \brief Watches a file descriptor that another library owns.
class FdWatch
{
public:
  /// \brief Starts to watch; terminates the process if no descriptor is left for the watch.
  /// \param aOnReadable Called whenever the descriptor is readable.
  FdWatch(EventLoop& aLoop, int aFd, std::function<void()> aOnReadable);
  ~FdWatch();
  FdWatch(const FdWatch&) = delete;
  FdWatch& operator=(const FdWatch&) = delete;

  /// \brief Starts to watch; returns null if no descriptor is left for the watch.
  [[nodiscard]] static std::unique_ptr<FdWatch> TryCreate(EventLoop& aLoop,
                                                          int aFd,
                                                          std::function<void()> aOnReadable);

private:
  /// A descriptor that the watch closes.
  struct OwnedFd
  {
    int fd_;
  };

  FdWatch(EventLoop& aLoop, OwnedFd aFd, std::function<void()> aOnReadable);
  [[nodiscard]] static OwnedFd Duplicate(int aFd) noexcept;
  static void OnReadable(st_h2o_socket_t* aSocket, const char* aError);

  EventLoop& loop_;
  std::function<void()> onReadable_;
  st_h2o_socket_t* socket_;
};

} // namespace geraniumpin
