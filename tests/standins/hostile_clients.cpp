/// \brief Fake clients that send bodies without their end or read no response, and stay connected.
///
/// Each client opens one connection, sends the header of a request and up to the stated bytes of a
/// body, and then does nothing until SIGTERM. "sent N closed M" is printed once, when all clients
/// have sent everything or were closed by the server. Unlike `clients`, none of them ever completes
/// a request, and no time is measured.

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "geraniumpin/version/node_address.hpp"

namespace {

using namespace geraniumpin;

constexpr int kPollMs = 100;
constexpr std::size_t kSendBytes = 64U << 10U;
// Small, so that a response stays with the sender and not in the receiver's socket.
constexpr int kUnreadBufferBytes = 4096;

volatile std::sig_atomic_t gStopRequested = 0;

struct Options
{
  std::string target_;
  std::string key_;
  std::size_t clients_ = 24;
  std::size_t statedBytes_ = 0; ///< content-length; 0: chunked
  std::size_t sentBytes_ = 0;   ///< of the body
  std::size_t pieceBytes_ = kSendBytes;
  std::size_t answerBytes_ = 0; ///< if set, a GET whose response is not read
};

struct Client
{
  int fd_ = -1;
  std::string output_; ///< taken but not sent
  std::size_t bodyBytes_ = 0;
  std::string status_; ///< first bytes of the response
  bool isDone_ = false;
  bool isClosed_ = false;
};

class HostileClients
{
public:
  explicit HostileClients(const Options& aOptions)
    : options_(aOptions)
  {
  }

  void RunOnce()
  {
    OpenNext();
    std::vector<pollfd> descriptors;
    for (const auto& client : clients_) {
      const bool sends = !client.isDone_ && !client.isClosed_;
      const bool reads = !client.isClosed_ && !(IsReader() && client.isDone_);
      const auto events = (sends && !IsReader() ? POLLOUT : 0) | (reads ? POLLIN : 0);
      descriptors.push_back({ client.isClosed_ ? -1 : client.fd_, static_cast<short>(events), 0 });
    }
    poll(descriptors.data(), descriptors.size(), kPollMs);
    for (std::size_t i = 0; i < descriptors.size(); ++i) {
      OnEvents(clients_[i], descriptors[i].revents);
    }
    PrintWhenDone();
  }

private:
  [[nodiscard]] bool IsReader() const { return options_.answerBytes_ > 0; }

  /// Clients that read no response start one after another, so that each response has reached the
  /// server before the next one is asked for.
  void OpenNext()
  {
    while (
      clients_.size() < options_.clients_ &&
      (!IsReader() || clients_.empty() || clients_.back().isDone_ || clients_.back().isClosed_)) {
      clients_.push_back(Open());
    }
  }

  [[nodiscard]] Client Open() const
  {
    const auto address = NodeAddress::Parse(options_.target_).value();
    Client client;
    client.fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (IsReader()) {
      setsockopt(client.fd_, SOL_SOCKET, SO_RCVBUF, &kUnreadBufferBytes, sizeof kUnreadBufferBytes);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.Port());
    inet_pton(AF_INET, address.Ip().c_str(), &to.sin_addr);
    if (connect(client.fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      std::cerr << "cannot connect to " << options_.target_ << "\n";
      std::exit(1);
    }
    fcntl(client.fd_, F_SETFL, O_NONBLOCK);
    client.output_ = MakeHeader();
    if (IsReader()) {
      (void)send(client.fd_, client.output_.data(), client.output_.size(), 0);
    }
    return client;
  }

  [[nodiscard]] std::string MakeHeader() const
  {
    const std::string fields =
      " HTTP/1.1\r\nhost: a.example\r\nx-api-key: " + options_.key_ + "\r\n";
    if (IsReader()) {
      // Percent-encoded for the fake instance: the header of its response.
      return "GET /arquivo/large" + fields +
             "x-answer: HTTP/1.1%20200%20OK%0D%0Ageraniumpin-request-id:%20$ID%0D%0A"
             "content-length:%20" +
             std::to_string(options_.answerBytes_) +
             "%0D%0A%0D%0A\r\nx-answer-bytes: " + std::to_string(options_.answerBytes_) +
             "\r\n\r\n";
    }
    return "POST /laudos/x" + fields +
           (options_.statedBytes_ > 0
              ? "content-length: " + std::to_string(options_.statedBytes_) + "\r\n\r\n"
              : "transfer-encoding: chunked\r\n\r\n");
  }

  void OnEvents(Client& aClient, short aEvents)
  {
    if (aClient.isClosed_ || aEvents == 0) {
      return;
    }
    if ((aEvents & POLLIN) != 0 && IsReader()) {
      aClient.isDone_ = true; // the response has begun, and is not read
      return;
    }
    std::array<char, 4096> discarded{};
    const bool hasEnded =
      (aEvents & (POLLERR | POLLHUP)) != 0 ||
      ((aEvents & POLLIN) != 0 && recv(aClient.fd_, discarded.data(), discarded.size(), 0) <= 0);
    if (hasEnded) {
      aClient.isClosed_ = true;
      close(aClient.fd_);
    } else if ((aEvents & POLLOUT) != 0) {
      SendMore(aClient);
    }
  }

  /// Sends pieces of a body with a length one by one, and many chunks at once.
  void SendMore(Client& aClient)
  {
    const bool isChunked = options_.statedBytes_ == 0;
    const auto wanted = isChunked ? kSendBytes : options_.pieceBytes_;
    while (aClient.output_.size() < wanted && aClient.bodyBytes_ < options_.sentBytes_) {
      const auto bytes = std::min(options_.pieceBytes_, options_.sentBytes_ - aClient.bodyBytes_);
      aClient.bodyBytes_ += bytes;
      if (isChunked) {
        std::array<char, 32> size{};
        (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
        aClient.output_ += size.data();
      }
      aClient.output_.append(bytes, 'x');
      aClient.output_ += isChunked ? "\r\n" : "";
    }
    const auto sent =
      send(aClient.fd_, aClient.output_.data(), aClient.output_.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aClient.output_.erase(0, static_cast<std::size_t>(sent));
    }
    aClient.isDone_ = aClient.output_.empty() && aClient.bodyBytes_ == options_.sentBytes_;
  }

  void PrintWhenDone()
  {
    std::size_t closed = 0;
    std::map<std::string, std::size_t> statuses;
    for (const auto& client : clients_) {
      if (!client.isDone_ && !client.isClosed_) {
        return;
      }
      closed += client.isClosed_ ? 1 : 0;
      ++statuses[client.status_];
    }
    if (!hasPrinted_ && clients_.size() == options_.clients_) {
      hasPrinted_ = true;
      std::cout << "sent " << clients_.size() - closed << " closed " << closed;
      for (const auto& [status, count] : statuses) {
        std::cout << (status.empty() ? "" : "; " + status + ": " + std::to_string(count));
      }
      std::cout << std::endl;
    }
  }

  Options options_;
  std::vector<Client> clients_;
  bool hasPrinted_ = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake clients that never complete a request");
  Options options;
  app.add_option("--target", options.target_)->required();
  app.add_option("--key", options.key_)->required();
  app.add_option("--clients", options.clients_);
  app.add_option("--stated-bytes", options.statedBytes_, "content-length; 0: chunked");
  app.add_option("--sent-bytes", options.sentBytes_, "bytes of the body that are sent");
  app.add_option("--piece-bytes", options.pieceBytes_, "bytes of a chunk or of one write");
  app.add_option("--answer-bytes", options.answerBytes_, "size of a response that is not read");
  CLI11_PARSE(app, aCount, aArguments);

  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { gStopRequested = 1; });
  HostileClients clients(options);
  while (gStopRequested == 0) {
    clients.RunOnce();
  }
}
