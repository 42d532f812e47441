/// \brief Fake backend server that sends the bytes which a request asks for.
///
/// Fields of the request, or else options, set what follows its header:
///
///     x-answer     the bytes to send, percent-encoded; $ID is the id of the request
///     x-answer-bytes  number of bytes that follow them
///     x-read-body  number of bytes of the request body to read before; default: all
///     x-end        what happens to the connection: keep (default), end-stream, close, reset
///
/// It prints "run TAG CONNECTION" for each request, with its x-tag and the number of its
/// connection.

#include "../../src/adapters/request/http_message.hpp"
#include "../../src/adapters/request/lower_case.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <list>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace geraniumpin;

constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::size_t kReadBytes = 64U << 10U;

struct Options
{
  std::string listen_;
  std::string name_; ///< not used; backend servers are started with one
  std::string answer_;
  std::string end_ = "keep";
};

/// \brief A connection and the bytes of its request that have been read.
struct Connection
{
  int fd_ = -1;
  int number_ = 0;
  std::string received_;
  bool hasEnded_ = false; ///< its stream; what the client still sends is read and dropped
};

/// Parses the fields of a header, without the request line.
HeaderFields
ParseFields(const std::string& aHeader)
{
  HeaderFields fields;
  std::istringstream lines(aHeader);
  for (std::string line; std::getline(lines, line);) {
    const auto colon = line.find(": ");
    if (colon != std::string::npos) {
      fields.push_back(
        { LowerCase(line.substr(0, colon)), line.substr(colon + 2, line.find('\r') - colon - 2) });
    }
  }
  return fields;
}

std::size_t
ParseNumber(std::string_view aText, std::size_t aDefault)
{
  return aText.empty() ? aDefault : std::stoul(std::string(aText));
}

void
ReplaceId(std::string& aText, std::string_view aId)
{
  const auto at = aText.find("$ID");
  if (at != std::string::npos) {
    aText.replace(at, 3, aId);
  }
}

class RawServer
{
public:
  explicit RawServer(const Options& aOptions)
    : options_(aOptions)
    , listener_(Listen(NodeAddress::Parse(aOptions.listen_).value()))
  {
  }

  void RunOnce()
  {
    std::vector<pollfd> descriptors{ { listener_, POLLIN, 0 } };
    for (const auto& connection : connections_) {
      descriptors.push_back({ connection.fd_, POLLIN, 0 });
    }
    poll(descriptors.data(), descriptors.size(), -1);
    auto descriptor = descriptors.begin() + 1;
    for (auto connection = connections_.begin(); connection != connections_.end(); ++descriptor) {
      const bool ends = descriptor->revents != 0 && !OnReadable(*connection);
      connection = ends ? connections_.erase(connection) : std::next(connection);
    }
    if (descriptors.front().revents != 0) {
      connections_.push_back({ accept(listener_, nullptr, nullptr), ++accepted_ });
    }
  }

private:
  static int Listen(const NodeAddress& aAddress)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.Port());
    inet_pton(AF_INET, aAddress.Ip().c_str(), &address.sin_addr);
    constexpr int kBacklog = 64;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, kBacklog) != 0) {
      std::cerr << "cannot listen at " << aAddress.Text() << "\n";
      std::exit(1);
    }
    return fd;
  }

  /// Returns false if the connection has been closed.
  bool OnReadable(Connection& aConnection)
  {
    std::string bytes(kReadBytes, '\0');
    const auto received = recv(aConnection.fd_, bytes.data(), bytes.size(), 0);
    if (received <= 0) {
      close(aConnection.fd_);
      return false;
    }
    if (aConnection.hasEnded_) {
      return true;
    }
    aConnection.received_.append(bytes.data(), static_cast<std::size_t>(received));
    const auto headerEnd = aConnection.received_.find(kHeaderEnd);
    if (headerEnd == std::string::npos) {
      return true;
    }
    const auto bodyAt = headerEnd + kHeaderEnd.size();
    const auto fields = ParseFields(aConnection.received_.substr(0, bodyAt));
    const auto length = ParseNumber(FindHeader(fields, "content-length"), 0);
    const auto readBytes = ParseNumber(FindHeader(fields, "x-read-body"), length);
    if (aConnection.received_.size() < bodyAt + readBytes) {
      return true;
    }
    aConnection.received_.clear();
    return Respond(aConnection, fields);
  }

  bool Respond(Connection& aConnection, const HeaderFields& aFields)
  {
    std::cout << "run " << FindHeader(aFields, "x-tag") << " " << aConnection.number_ << std::endl;
    const auto stated = FindHeader(aFields, "x-answer");
    auto answer =
      QueryParameter("?x=" + (stated.empty() ? options_.answer_ : std::string(stated)), "x");
    ReplaceId(answer, FindHeader(aFields, "geraniumpin-request-id"));
    answer.append(ParseNumber(FindHeader(aFields, "x-answer-bytes"), 0), 'x');
    (void)send(aConnection.fd_, answer.data(), answer.size(), 0);
    const auto statedEnd = FindHeader(aFields, "x-end");
    const auto end = statedEnd.empty() ? std::string_view(options_.end_) : statedEnd;
    if (end == "end-stream") {
      shutdown(aConnection.fd_, SHUT_WR);
      aConnection.hasEnded_ = true;
    }
    if (end == "reset") {
      const linger abortOnClose{ 1, 0 };
      setsockopt(aConnection.fd_, SOL_SOCKET, SO_LINGER, &abortOnClose, sizeof abortOnClose);
    }
    if (end != "close" && end != "reset") {
      return true;
    }
    close(aConnection.fd_);
    return false;
  }

  Options options_;
  int listener_;
  int accepted_ = 0;
  std::list<Connection> connections_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake backend server that sends the bytes which a request asks for");
  Options options;
  app.add_option("--listen", options.listen_)->required();
  app.add_option("--name", options.name_);
  app.add_option("--answer", options.answer_, "bytes to send, percent-encoded");
  app.add_option("--end", options.end_, "keep, end-stream, close or reset");
  CLI11_PARSE(app, aCount, aArguments);

  std::signal(SIGPIPE, SIG_IGN);
  RawServer server(options);
  while (true) {
    server.RunOnce();
  }
}
