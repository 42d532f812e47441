#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <arpa/inet.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumpin::test {

/// \brief A TCP server that a test drives step by step, on an ephemeral loopback port.
///
/// It holds one connection at a time and never blocks.
class ScriptedServer
{
public:
  ScriptedServer()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    BOOST_REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    BOOST_REQUIRE(listen(listener_, 8) == 0);
    socklen_t length = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    address_ = *NodeAddress::Parse("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    fcntl(listener_, F_SETFL, O_NONBLOCK);
  }
  ~ScriptedServer()
  {
    close(listener_);
    CloseConnection();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] const NodeAddress& Address() const { return address_; }
  [[nodiscard]] int AcceptedCount() const { return acceptedCount_; }

  /// \brief Accepts the next connection, if one is pending, and closes the previous one.
  void Accept()
  {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd >= 0) {
      CloseConnection();
      connection_ = fd;
      const int on = 1; // the segments are those of the writes
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      fcntl(fd, F_SETFL, O_NONBLOCK);
      ++acceptedCount_;
    }
  }

  /// \brief Returns the bytes that have arrived, up to 65,536; empty if there are none.
  std::string Read()
  {
    std::string text(65536, '\0');
    const auto received = connection_ < 0 ? 0 : recv(connection_, text.data(), text.size(), 0);
    text.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    return text;
  }

  void Write(const std::string& aText)
  {
    BOOST_REQUIRE(send(connection_, aText.data(), aText.size(), 0) ==
                  static_cast<ssize_t>(aText.size()));
  }

  /// \brief Writes as much as the socket takes.
  /// \returns The number of bytes written; 0 if the socket takes none or the client has closed.
  std::size_t WriteSome(const std::string& aText)
  {
    const auto sent = connection_ < 0 ? 0 : send(connection_, aText.data(), aText.size(), 0);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }

  /// \brief Limits the bytes that wait in the sender's socket, so that bytes written are nearly
  /// those that the client has received.
  void LimitSendBuffer(int aBytes)
  {
    BOOST_REQUIRE(setsockopt(connection_, SOL_SOCKET, SO_SNDBUF, &aBytes, sizeof aBytes) == 0);
  }

  /// \brief Reads what has arrived and returns true if the client has closed the connection.
  [[nodiscard]] bool IsClosedByClient()
  {
    std::array<char, 65536> bytes{};
    ssize_t received = 1;
    while (received > 0) {
      received = recv(connection_, bytes.data(), bytes.size(), 0);
    }
    return received == 0 || errno != EAGAIN;
  }

  void CloseConnection()
  {
    if (connection_ >= 0) {
      close(connection_);
      connection_ = -1;
    }
  }

  /// \brief Ends the stream to the client in order; the server can still read.
  void EndStream() { BOOST_REQUIRE(shutdown(connection_, SHUT_WR) == 0); }

  /// \brief Closes the connection with a TCP reset.
  void ResetConnection()
  {
    const linger abortOnClose{ 1, 0 };
    setsockopt(connection_, SOL_SOCKET, SO_LINGER, &abortOnClose, sizeof abortOnClose);
    CloseConnection();
  }

private:
  int listener_;
  int connection_ = -1;
  int acceptedCount_ = 0;
  NodeAddress address_;
};

} // namespace geraniumpin::test
