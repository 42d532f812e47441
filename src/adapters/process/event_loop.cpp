#include "event_loop.hpp"

#include "system_clock.hpp"

#include <algorithm>
#include <fcntl.h>
#include <glog/logging.h>
#include <h2o.h>
#include <utility>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::chrono::milliseconds kMaxSleep{ 60000 };
constexpr std::chrono::milliseconds kClockResolution{ 1 }; // of h2o_now

std::chrono::milliseconds
ReadTimeOfDay()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace
} // namespace impl

EventLoop::EventLoop()
  : loop_(h2o_evloop_create())
  , beganAt_(SystemClock{}.Now())
  , beganTimeOfDay_(impl::ReadTimeOfDay())
  , previousWokeUpAt_(beganAt_)
{
}

void
EventLoop::RunOnce(TimePoint aUntil)
{
  previousWokeUpAt_ = wokeUpAt_.value_or(beganAt_);
  wokeUpAt_.reset();
  beganAt_ = SystemClock{}.Now();
  beganTimeOfDay_ = impl::ReadTimeOfDay();
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(aUntil - beganAt_);
  const auto bounded = std::clamp(wait, std::chrono::milliseconds(0), impl::kMaxSleep);
  const bool sleeps = !std::exchange(skipSleep_, false);
  isRunning_ = true;
  h2o_evloop_run(loop_, sleeps ? static_cast<std::int32_t>(bounded.count()) : 0);
  RecordWakeUp();
  isRunning_ = false;
}

void
EventLoop::SkipSleep()
{
  skipSleep_ = skipSleep_ || !isRunning_;
}

/// In a callback, h2o_now is the time of day at which the wait of the turn ended.
void
EventLoop::RecordWakeUp()
{
  if (!wokeUpAt_) {
    const Duration slept = std::chrono::milliseconds(h2o_now(loop_)) - beganTimeOfDay_;
    wokeUpAt_ = beganAt_ + std::clamp(slept, Duration{}, SystemClock{}.Now() - beganAt_);
  }
}

TimePoint
EventLoop::EarliestArrival()
{
  RecordWakeUp();
  return *wokeUpAt_ - beganAt_ > impl::kClockResolution ? *wokeUpAt_ : previousWokeUpAt_;
}

FdWatch::FdWatch(EventLoop& aLoop, int aFd, std::function<void()> aOnReadable)
  : FdWatch(aLoop, Duplicate(aFd), std::move(aOnReadable))
{
}

FdWatch::FdWatch(EventLoop& aLoop, OwnedFd aFd, std::function<void()> aOnReadable)
  : loop_(aLoop)
  , onReadable_(std::move(aOnReadable))
{
  PCHECK(aFd.fd_ >= 0) << "event=fd_watch_failed";
  socket_ = h2o_evloop_socket_create(aLoop.Native(), aFd.fd_, H2O_SOCKET_FLAG_DONT_READ);
  socket_->data = this;
  h2o_socket_read_start(socket_, OnReadable);
}

std::unique_ptr<FdWatch>
FdWatch::TryCreate(EventLoop& aLoop, int aFd, std::function<void()> aOnReadable)
{
  const auto fd = Duplicate(aFd);
  return std::unique_ptr<FdWatch>(fd.fd_ < 0 ? nullptr
                                             : new FdWatch(aLoop, fd, std::move(aOnReadable)));
}

/// h2o closes the descriptor of its socket, so it gets a duplicate.
FdWatch::OwnedFd
FdWatch::Duplicate(int aFd) noexcept
{
  return { fcntl(aFd, F_DUPFD_CLOEXEC, 0) };
}

FdWatch::~FdWatch()
{
  h2o_socket_close(socket_);
}

void
FdWatch::OnReadable(st_h2o_socket_t* aSocket, const char* /*aError*/)
{
  auto* watch = static_cast<FdWatch*>(aSocket->data);
  watch->loop_.RecordWakeUp();
  // Copied, since the callback may destroy the watch.
  const auto onReadable = watch->onReadable_;
  onReadable();
}

} // namespace geraniumpin
