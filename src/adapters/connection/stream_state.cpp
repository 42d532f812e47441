#include "stream_state.hpp"

#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace geraniumpin {

namespace impl {
namespace {

constexpr int kMaxDiscardReads = 16;

} // namespace
} // namespace impl

StreamState
FindStreamState(int aFd) noexcept
{
  pollfd connection{ .fd = aFd, .events = POLLIN | POLLRDHUP, .revents = 0 };
  if (poll(&connection, 1, 0) <= 0) {
    return StreamState::Empty;
  }
  if ((static_cast<unsigned>(connection.revents) & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    return StreamState::Closed;
  }
  char byte = 0;
  const auto received = recv(aFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return StreamState::Unread;
  }
  return received < 0 && errno == EAGAIN ? StreamState::Empty : StreamState::Closed;
}

bool
IsReset(int aFd) noexcept
{
  // POLLHUP: both directions are closed. The end of the peer's stream closes one of them.
  pollfd connection{ .fd = aFd, .events = 0, .revents = 0 };
  return poll(&connection, 1, 0) > 0 &&
         (static_cast<unsigned>(connection.revents) & (POLLHUP | POLLERR)) != 0;
}

void
DiscardUnread(int aFd) noexcept
{
  std::array<char, 4096> buffer{};
  for (int i = 0;
       i < impl::kMaxDiscardReads && recv(aFd, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0;
       ++i) {
  }
}

} // namespace geraniumpin
