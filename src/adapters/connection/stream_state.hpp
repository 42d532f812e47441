#pragma once

namespace geraniumpin {

/// \brief What can be read from a connection.
enum class StreamState
{
  Empty,
  Unread, ///< bytes
  Closed  ///< closed or reset by the peer, perhaps behind unread bytes
};

/// \brief Finds what can be read from a connection, without reading it.
/// \param aFd A connected stream socket.
[[nodiscard]] StreamState
FindStreamState(int aFd) noexcept;

/// \brief Returns true if a connection was reset or timed out, also if that error has been
/// reported.
///
/// The kernel reports the error once, to a read or to a write; a read after a failed write returns
/// the end of the stream.
/// \param aFd A connected stream socket whose sending side has not been shut down.
[[nodiscard]] bool
IsReset(int aFd) noexcept;

/// \brief Reads away what a client has sent behind its last request.
///
/// The kernel resets a connection that is closed with unread bytes and drops the rest of the
/// response.
void
DiscardUnread(int aFd) noexcept;

} // namespace geraniumpin
