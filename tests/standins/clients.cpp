/// \brief Fake clients on kept connections: prints how each request ended, one JSON object a line.
///
/// Each client has one connection at a time and sends one request after another on it, until the
/// server closes it. A share of the requests gets a shorter timeout or a longer service time, and a
/// share of the clients give up, by an orderly close or by a reset. After SIGTERM the clients wait
/// for their pending requests, then the process ends. The sockets are plain, independent of the
/// HTTP code of the nodes.

#include "../../src/adapters/process/system_clock.hpp"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

#include "geraniumpin/version/node_address.hpp"

namespace {

using namespace geraniumpin;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kConnectRetry{ 50 };
constexpr milliseconds kAnswerMargin{ 2000 }; // after the timeout, until a request counts as silent
constexpr milliseconds kMaxPoll{ 100 };
constexpr std::size_t kChunkBytes = 16U << 10U;
constexpr int kMaxShortTimeoutMs = 3000;
constexpr int kMinShortTimeoutMs = 300;
constexpr int kMinLongServiceMs = 200;
constexpr int kMaxLongServiceMs = 2000;
constexpr int kMinPatienceMs = 20;
constexpr int kMaxPatienceMs = 1000;

volatile std::sig_atomic_t gStopRequested = 0;

struct Options
{
  std::vector<std::string> targets_;
  std::string key_;
  std::string tagPrefix_ = "c-";
  std::uint64_t seed_ = 1;
  std::size_t clients_ = 4; ///< of each target
  int thinkMs_ = 100;
  int timeoutMs_ = 2000;
  double postShare_ = 0.5;
  double longShare_ = 0.05;
  double shortTimeoutShare_ = 0.1;
  double giveUpShare_ = 0.05;
  double resetShare_ = 0.5; ///< of those that give up
  double newConnectionShare_ = 0.1;
  std::uint64_t maxRequests_ = 0; ///< of each client; 0: no limit
};

/// What a client sends next; all random choices are made here.
struct PlannedRequest
{
  std::string tag_;
  bool isPost_ = false;
  int serviceMs_ = 0; ///< 0: the default of the backend server
  int timeoutMs_ = 0;
  bool statesTimeout_ = false;
  int patienceMs_ = 0; ///< 0: the client does not give up
  bool resets_ = false;
  bool closesAfterwards_ = false;
  int thinkMs_ = 0;
};

enum class ClientState
{
  Waiting, ///< until its next request
  Connecting,
  Pending
};

struct Client
{
  std::size_t index_ = 0;
  NodeAddress target_;
  std::mt19937_64 random_;
  ClientState state_ = ClientState::Waiting;
  int fd_ = -1;
  bool kept_ = false; ///< the connection has carried a request before
  std::uint64_t sent_ = 0;
  PlannedRequest request_;
  std::string input_;
  TimePoint nextAt_;
  TimePoint sentAt_;
};

class FakeClients
{
public:
  explicit FakeClients(const Options& aOptions)
    : options_(aOptions)
  {
    const auto total = aOptions.clients_ * aOptions.targets_.size();
    for (std::size_t i = 0; i < total; ++i) {
      Client client;
      client.index_ = i;
      client.target_ = NodeAddress::Parse(aOptions.targets_[i % aOptions.targets_.size()]).value();
      client.random_.seed(aOptions.seed_ * total + i);
      client.nextAt_ = clock_.Now() + milliseconds(Draw(client, 0, aOptions.thinkMs_));
      clients_.push_back(std::move(client));
    }
  }

  /// \brief Handles events for a short time.
  /// \returns False if no request is pending and none follows.
  bool RunOnce()
  {
    const auto now = clock_.Now();
    bool active = false;
    auto until = now + kMaxPoll;
    for (auto& client : clients_) {
      OnTimer(client, now);
      active = active || client.state_ != ClientState::Waiting || MaySend(client);
      if (client.state_ != ClientState::Pending) {
        until = std::min(until, std::max(client.nextAt_, now + milliseconds(1)));
      } else if (client.request_.patienceMs_ > 0) {
        until = std::min(until, client.sentAt_ + milliseconds(client.request_.patienceMs_));
      }
    }
    Poll(std::chrono::duration_cast<milliseconds>(until - now) + milliseconds(1));
    return active;
  }

  [[nodiscard]] json MakeSummary() const { return { { "kinds", kinds_ } }; }

private:
  static int Draw(Client& aClient, int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, std::max(aMin, aMax))(aClient.random_);
  }

  static bool DrawShare(Client& aClient, double aShare)
  {
    return std::bernoulli_distribution(aShare)(aClient.random_);
  }

  [[nodiscard]] bool MaySend(const Client& aClient) const
  {
    return gStopRequested == 0 &&
           (options_.maxRequests_ == 0 || aClient.sent_ < options_.maxRequests_);
  }

  void OnTimer(Client& aClient, TimePoint aNow)
  {
    switch (aClient.state_) {
      case ClientState::Waiting:
        if (aNow >= aClient.nextAt_ && MaySend(aClient)) {
          Begin(aClient);
        }
        return;
      case ClientState::Connecting:
        if (aNow > aClient.nextAt_ + kAnswerMargin) {
          End(aClient, "connect_failed");
        }
        return;
      case ClientState::Pending:
        const auto& request = aClient.request_;
        const milliseconds patience(request.patienceMs_);
        if (patience.count() > 0 && aNow >= aClient.sentAt_ + patience) {
          GiveUp(aClient);
        } else if (aNow > aClient.sentAt_ + milliseconds(request.timeoutMs_) + kAnswerMargin) {
          End(aClient, "silent");
        }
        return;
    }
  }

  void Begin(Client& aClient)
  {
    PlannedRequest request;
    request.tag_ =
      options_.tagPrefix_ + std::to_string(aClient.index_) + "-" + std::to_string(aClient.sent_++);
    request.isPost_ = DrawShare(aClient, options_.postShare_);
    if (DrawShare(aClient, options_.longShare_)) {
      request.serviceMs_ = Draw(aClient, kMinLongServiceMs, kMaxLongServiceMs);
    }
    request.timeoutMs_ = options_.timeoutMs_;
    if (DrawShare(aClient, options_.shortTimeoutShare_)) {
      request.statesTimeout_ = true;
      request.timeoutMs_ =
        std::min(request.timeoutMs_, Draw(aClient, kMinShortTimeoutMs, kMaxShortTimeoutMs));
    }
    if (DrawShare(aClient, options_.giveUpShare_)) {
      request.patienceMs_ = Draw(aClient, kMinPatienceMs, kMaxPatienceMs);
      request.resets_ = DrawShare(aClient, options_.resetShare_);
    }
    request.closesAfterwards_ = DrawShare(aClient, options_.newConnectionShare_);
    request.thinkMs_ = Draw(aClient, options_.thinkMs_ / 2, options_.thinkMs_ * 3 / 2);
    aClient.request_ = request;
    aClient.nextAt_ = clock_.Now();
    if (aClient.fd_ >= 0) {
      Send(aClient);
    } else {
      Connect(aClient);
    }
  }

  void Connect(Client& aClient)
  {
    aClient.fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    aClient.kept_ = false;
    const int on = 1;
    setsockopt(aClient.fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aClient.target_.Port());
    inet_pton(AF_INET, aClient.target_.Ip().c_str(), &address.sin_addr);
    aClient.state_ = ClientState::Connecting;
    const int result =
      connect(aClient.fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
      End(aClient, "connect_failed");
    }
  }

  void OnConnected(Client& aClient)
  {
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(aClient.fd_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      End(aClient, "connect_failed");
    } else {
      Send(aClient);
    }
  }

  static std::string MakePath(const PlannedRequest& aRequest)
  {
    std::string path = (aRequest.isPost_ ? "/laudos/" : "/arquivo/") + aRequest.tag_;
    if (aRequest.serviceMs_ > 0) {
      path += "?service_us=" + std::to_string(aRequest.serviceMs_ * 1000);
    }
    return path;
  }

  /// The backend server repeats the body, or the request line if there is none.
  static std::string ExpectedBody(const PlannedRequest& aRequest)
  {
    return aRequest.isPost_ ? "body of " + aRequest.tag_ : "GET " + MakePath(aRequest);
  }

  void Send(Client& aClient)
  {
    const auto& request = aClient.request_;
    std::string text = (request.isPost_ ? "POST " : "GET ") + MakePath(request) + " HTTP/1.1\r\n";
    text += "host: " + aClient.target_.Text() + "\r\nx-tag: " + request.tag_ +
            "\r\ngeraniumpin-request-id: " + request.tag_ + "\r\n";
    if (!options_.key_.empty()) {
      text += "x-api-key: " + options_.key_ + "\r\n";
    }
    if (request.statesTimeout_) {
      text += "geraniumpin-timeout-ms: " + std::to_string(request.timeoutMs_) + "\r\n";
    }
    if (request.isPost_) {
      const auto body = ExpectedBody(request);
      text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
      text += "\r\n";
    }
    aClient.state_ = ClientState::Pending;
    aClient.sentAt_ = clock_.Now();
    aClient.input_.clear();
    const auto sent = send(aClient.fd_, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(text.size())) {
      End(aClient, "unsent");
    }
  }

  void Poll(milliseconds aTimeout)
  {
    std::vector<pollfd> descriptors;
    std::vector<Client*> watched;
    for (auto& client : clients_) {
      if (client.fd_ >= 0) {
        const auto events = client.state_ == ClientState::Connecting ? POLLOUT : POLLIN;
        descriptors.push_back({ client.fd_, static_cast<short>(events), 0 });
        watched.push_back(&client);
      }
    }
    if (poll(descriptors.data(), descriptors.size(), static_cast<int>(aTimeout.count())) <= 0) {
      return;
    }
    for (std::size_t i = 0; i < descriptors.size(); ++i) {
      if (descriptors[i].revents == 0) {
        continue;
      }
      if (watched[i]->state_ == ClientState::Connecting) {
        OnConnected(*watched[i]);
      } else {
        OnReadable(*watched[i]);
      }
    }
  }

  void OnReadable(Client& aClient)
  {
    std::array<char, kChunkBytes> chunk{};
    const auto received = recv(aClient.fd_, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (received < 0 && errno == EAGAIN) {
      return;
    }
    if (aClient.state_ == ClientState::Waiting) {
      if (received > 0) {
        Print(aClient, "bytes_without_request", {});
      }
      Close(aClient);
      return;
    }
    if (received <= 0) {
      End(aClient, "closed");
      return;
    }
    aClient.input_.append(chunk.data(), static_cast<std::size_t>(received));
    ParseResponse(aClient);
  }

  static std::string FindField(const std::string& aHead, const std::string& aName)
  {
    std::string lower(aHead);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
    const auto at = lower.find("\r\n" + aName + ":");
    if (at == std::string::npos) {
      return {};
    }
    const auto begin = aHead.find_first_not_of(' ', at + aName.size() + 3);
    return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
  }

  void ParseResponse(Client& aClient)
  {
    const auto headEnd = aClient.input_.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
      return;
    }
    const auto head = aClient.input_.substr(0, headEnd + 2);
    const auto length = FindField(head, "content-length");
    const auto total = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
    if (aClient.input_.size() < total) {
      return;
    }
    constexpr std::size_t kStatusOffset = 9; // after "HTTP/1.1 "
    const auto status = std::stoi(head.substr(kStatusOffset, 3));
    const auto body = aClient.input_.substr(headEnd + 4, total - headEnd - 4);
    auto kind = FindField(head, "geraniumpin-outcome");
    const auto& request = aClient.request_;
    if (FindField(head, "geraniumpin-request-id") != request.tag_ ||
        (kind == "answered" && body != ExpectedBody(request))) {
      kind = kind.empty() ? "no_outcome" : "wrong";
    }
    if (aClient.input_.size() > total) {
      kind = "bytes_without_request";
    }
    const bool closes =
      FindField(head, "connection") == "close" || aClient.request_.closesAfterwards_;
    Print(aClient,
          kind.empty() ? "no_outcome" : kind,
          { { "status", status }, { "reason", FindField(head, "geraniumpin-reason") } });
    aClient.kept_ = true;
    Finish(aClient, milliseconds(aClient.request_.thinkMs_), closes);
  }

  void GiveUp(Client& aClient)
  {
    if (aClient.request_.resets_) {
      const linger reset{ 1, 0 };
      setsockopt(aClient.fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    End(aClient, aClient.request_.resets_ ? "gave_up_reset" : "gave_up_close");
  }

  /// Ends a request without an answer.
  void End(Client& aClient, const std::string& aKind)
  {
    Print(aClient, aKind, { { "partial", !aClient.input_.empty() } });
    Finish(aClient, kConnectRetry, true);
  }

  void Finish(Client& aClient, milliseconds aPause, bool aCloses)
  {
    if (aCloses) {
      Close(aClient);
    }
    aClient.state_ = ClientState::Waiting;
    aClient.nextAt_ = clock_.Now() + aPause;
  }

  static void Close(Client& aClient)
  {
    if (aClient.fd_ >= 0) {
      close(aClient.fd_);
    }
    aClient.fd_ = -1;
  }

  void Print(const Client& aClient, const std::string& aKind, json aFields)
  {
    const auto toMs = [](TimePoint aTime) {
      return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch()).count();
    };
    const bool wasSent = aClient.state_ == ClientState::Pending;
    ++kinds_[aKind];
    aFields.update({ { "tag", aClient.request_.tag_ },
                     { "kind", aKind },
                     { "target", aClient.target_.Text() },
                     { "post", aClient.request_.isPost_ },
                     { "kept", aClient.kept_ },
                     { "timeout_ms", aClient.request_.timeoutMs_ },
                     { "sent_ms", toMs(wasSent ? aClient.sentAt_ : aClient.nextAt_) },
                     { "end_ms", toMs(clock_.Now()) } });
    std::cout << aFields.dump() << std::endl;
  }

  Options options_;
  SystemClock clock_;
  std::vector<Client> clients_;
  std::map<std::string, std::uint64_t> kinds_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake clients");
  Options options;
  app.add_option("--target", options.targets_)->required();
  app.add_option("--key", options.key_);
  app.add_option("--tag-prefix", options.tagPrefix_);
  app.add_option("--seed", options.seed_);
  app.add_option("--clients", options.clients_, "connections to each target");
  app.add_option("--think-ms", options.thinkMs_, "mean pause of a client between its requests");
  app.add_option("--timeout-ms", options.timeoutMs_, "timeout of the routes");
  app.add_option("--post-share", options.postShare_);
  app.add_option("--long-share", options.longShare_);
  app.add_option("--short-timeout-share", options.shortTimeoutShare_);
  app.add_option("--give-up-share", options.giveUpShare_);
  app.add_option("--reset-share", options.resetShare_, "share of those that give up by a reset");
  app.add_option("--new-connection-share", options.newConnectionShare_);
  app.add_option("--max-requests", options.maxRequests_, "of each client; 0: no limit");
  CLI11_PARSE(app, aCount, aArguments);

  (void)std::signal(SIGTERM, [](int) { gStopRequested = 1; });
  FakeClients clients(options);
  while (clients.RunOnce()) {
  }
  std::cout << clients.MakeSummary().dump() << std::endl;
}
