#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumpin::test {

/// \brief Returns a loopback address on which nothing listens.
inline NodeAddress
FindFreeAddress()
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  BOOST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return *NodeAddress::Parse("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
}

/// \brief A TCP connection to a server, which a test drives step by step; reads never block.
class ScriptedClient
{
public:
  explicit ScriptedClient(const NodeAddress& aServer)
    : connection_(socket(AF_INET, SOCK_STREAM, 0))
  {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aServer.Port());
    inet_pton(AF_INET, aServer.Ip().c_str(), &address.sin_addr);
    BOOST_REQUIRE(connect(connection_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    const int on = 1; // the segments are those of the writes
    setsockopt(connection_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(connection_, F_SETFL, O_NONBLOCK);
  }
  ~ScriptedClient() { Close(); }
  ScriptedClient(const ScriptedClient&) = delete;
  ScriptedClient& operator=(const ScriptedClient&) = delete;

  void Write(const std::string& aText)
  {
    BOOST_REQUIRE(send(connection_, aText.data(), aText.size(), 0) ==
                  static_cast<ssize_t>(aText.size()));
  }

  /// \brief Writes what the connection takes without blocking.
  /// \returns The number of bytes written.
  std::size_t TryWrite(std::string_view aText)
  {
    const auto written = send(connection_, aText.data(), aText.size(), 0);
    return written > 0 ? static_cast<std::size_t>(written) : 0;
  }

  /// \brief Returns the bytes that have arrived, up to 65,536; empty if there are none.
  std::string Read()
  {
    std::string text(65536, '\0');
    const auto received = recv(connection_, text.data(), text.size(), 0);
    text.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    return text;
  }

  /// \brief Returns true if the server has closed the connection and all bytes are read.
  [[nodiscard]] bool IsClosedByServer() const
  {
    char byte = 0;
    return recv(connection_, &byte, 1, MSG_PEEK) == 0;
  }

  /// \brief Ends the stream towards the server; responses can still be read.
  void CloseWriteSide() { shutdown(connection_, SHUT_WR); }

  void Close()
  {
    if (connection_ >= 0) {
      close(connection_);
      connection_ = -1;
    }
  }

  /// \brief Closes the connection with a TCP reset.
  void Reset()
  {
    const linger abortOnClose{ 1, 0 };
    setsockopt(connection_, SOL_SOCKET, SO_LINGER, &abortOnClose, sizeof abortOnClose);
    Close();
  }

private:
  int connection_;
};

} // namespace geraniumpin::test
