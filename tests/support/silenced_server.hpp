#pragma once

#include "geraniumpin/version/node_address.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace geraniumpin::test {

/// \brief An HTTP server on an ephemeral loopback port that answers each request with 200, and
/// whose open connections can become silent; it never blocks.
class SilencedServer
{
public:
  SilencedServer()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    BOOST_REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    BOOST_REQUIRE(listen(listener_, 64) == 0);
    socklen_t length = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    address_ = *NodeAddress::Parse("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    fcntl(listener_, F_SETFL, O_NONBLOCK);
  }
  ~SilencedServer()
  {
    close(listener_);
    for (const auto& connection : connections_) {
      close(connection.fd_);
    }
  }
  SilencedServer(const SilencedServer&) = delete;
  SilencedServer& operator=(const SilencedServer&) = delete;

  [[nodiscard]] const NodeAddress& Address() const { return address_; }
  [[nodiscard]] int AcceptedCount() const { return static_cast<int>(connections_.size()); }

  /// \brief Accepts connections and answers the requests that have arrived, except on silent ones.
  void Answer()
  {
    Accept();
    for (const auto& connection : connections_) {
      std::string request(4096, '\0');
      if (connection.isSilent_ || recv(connection.fd_, request.data(), request.size(), 0) <= 0) {
        continue;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
      (void)send(connection.fd_, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
  }

  /// \brief Accepts connections whose requests are never answered.
  void AcceptWithoutAnswer()
  {
    Accept();
    SilenceConnections();
  }

  /// \brief Neither reads nor writes any more on the open connections, without closing them.
  void SilenceConnections()
  {
    for (auto& connection : connections_) {
      connection.isSilent_ = true;
    }
  }

private:
  struct Connection
  {
    int fd_;
    bool isSilent_ = false;
  };

  void Accept()
  {
    for (int fd = accept(listener_, nullptr, nullptr); fd >= 0;
         fd = accept(listener_, nullptr, nullptr)) {
      fcntl(fd, F_SETFL, O_NONBLOCK);
      connections_.push_back({ fd });
    }
  }

  int listener_;
  std::vector<Connection> connections_;
  NodeAddress address_;
};

} // namespace geraniumpin::test
