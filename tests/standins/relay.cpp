/// \brief Fake network: forwards TCP streams between nodes and simulates partitions.
///
/// Each --link LISTEN=TARGET forwards connections. /cut and /heal start and end a partition between
/// two groups of addresses: it stops the bytes in both directions and keeps the connections open.
/// /reset resets the open connections between them, /delay holds back their bytes by a time, /rate
/// bounds the bytes to a group of addresses from all others together.

#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/line_log.hpp"
#include "../../src/adapters/process/signal_watch.hpp"
#include "../../src/adapters/process/system_clock.hpp"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <deque>
#include <glog/logging.h>
#include <list>
#include <map>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace geraniumpin;

constexpr std::size_t kChunkBytes = 64U << 10U;

/// The link of a group of addresses, which the connections to them share equally.
struct Link
{
  double bytesPerSecond_ = 0;
  double share_ = 0; ///< bytes that each connection may forward in this turn
  TimePoint updatedAt_;
};

/// One direction of a forwarded connection.
struct Pipe
{
  int from_ = -1;
  int to_ = -1;
  std::deque<std::pair<TimePoint, std::string>> delayed_; ///< bytes and when to forward them
  std::string buffer_;
  bool ended_ = false;
};

struct Connection
{
  std::string source_;
  std::string target_;
  std::string listenAddress_; ///< the address that the source connected to
  Pipe clientToServer_;
  Pipe serverToClient_;
  std::unique_ptr<FdWatch> clientWatch_;
  std::unique_ptr<FdWatch> serverWatch_;
};

int
OpenSocket()
{
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

sockaddr_in
SocketAddress(const NodeAddress& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.Port());
  inet_pton(AF_INET, aAddress.Ip().c_str(), &address.sin_addr);
  return address;
}

class Relay
{
public:
  explicit Relay(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  void AddLink(const std::string& aLink)
  {
    const auto equals = aLink.find('=');
    const auto listenAddress = aLink.substr(0, equals);
    const auto listen = SocketAddress(*NodeAddress::Parse(listenAddress));
    const auto target = *NodeAddress::Parse(aLink.substr(equals + 1));
    const int fd = OpenSocket();
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    PCHECK(bind(fd, reinterpret_cast<const sockaddr*>(&listen), sizeof listen) == 0) << aLink;
    PCHECK(::listen(fd, 256) == 0);
    listeners_.push_back(std::make_unique<FdWatch>(
      loop_, fd, [this, fd, target, listenAddress] { Accept(fd, target, listenAddress); }));
  }

  /// \brief Starts or ends a partition.
  /// \param aSource Prefix of the source addresses.
  /// \param aTarget Prefix of the target addresses, or of the addresses that the relay listens on.
  /// \param aPartitioned True starts the partition.
  void SetPartition(const std::string& aSource, const std::string& aTarget, bool aPartitioned)
  {
    if (aPartitioned) {
      partitions_.emplace(aSource, aTarget);
    } else {
      partitions_.erase({ aSource, aTarget });
    }
    for (auto& connection : connections_) {
      UpdateWatches(connection);
    }
    ForwardAll();
  }

  /// \brief Delays the bytes between two groups of addresses; zero ends the delay.
  void SetDelay(const std::string& aSource, const std::string& aTarget, Duration aDelay)
  {
    delays_.erase({ aSource, aTarget });
    if (aDelay > Duration{}) {
      delays_.emplace(std::pair(aSource, aTarget), aDelay);
    }
  }

  /// \brief Bounds the rate of the bytes to a group of addresses; zero ends the bound.
  void SetRate(const std::string& aTarget, double aBytesPerSecond)
  {
    links_.erase(aTarget);
    if (aBytesPerSecond > 0) {
      links_.emplace(aTarget,
                     Link{ .bytesPerSecond_ = aBytesPerSecond, .updatedAt_ = clock_.Now() });
    }
  }

  /// \brief Resets the open connections from one group of addresses to another.
  void ResetConnections(const std::string& aSource, const std::string& aTarget)
  {
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      if (!Matches(*connection, aSource, aTarget)) {
        ++connection;
        continue;
      }
      const linger reset{ 1, 0 };
      for (const int fd : { connection->clientToServer_.from_, connection->clientToServer_.to_ }) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      }
      connection = Close(connection);
    }
  }

  /// \brief Forwards pending bytes of all connections and closes those that ended.
  void ForwardAll()
  {
    for (auto& connection : connections_) {
      if (!IsPartitioned(connection)) {
        const auto delay = FindDelay(connection);
        Receive(connection.clientToServer_, delay);
        Receive(connection.serverToClient_, delay);
      }
    }
    UpdateAllowances();
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      if (!IsPartitioned(*connection)) {
        Send(connection->clientToServer_, FindLink(*connection));
        Send(connection->serverToClient_, nullptr);
      }
      const bool ended = connection->clientToServer_.ended_ || connection->serverToClient_.ended_;
      connection = ended ? Close(connection) : std::next(connection);
    }
  }

  /// \brief Returns true if received bytes wait to be sent on a connection outside a partition.
  [[nodiscard]] bool HasBacklog() const
  {
    return std::any_of(connections_.begin(), connections_.end(), [this](const auto& aConnection) {
      return !IsPartitioned(aConnection) &&
             (HasBacklog(aConnection.clientToServer_) || HasBacklog(aConnection.serverToClient_));
    });
  }

private:
  void Accept(int aListener, const NodeAddress& aTarget, const std::string& aListenAddress)
  {
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    const int client =
      accept4(aListener, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (client < 0) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    const int server = OpenSocket();
    const auto address = SocketAddress(aTarget);
    (void)connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    connections_.push_back({ .source_ = text.data(),
                             .target_ = aTarget.Text(),
                             .listenAddress_ = aListenAddress,
                             .clientToServer_ = { .from_ = client, .to_ = server },
                             .serverToClient_ = { .from_ = server, .to_ = client } });
    UpdateWatches(connections_.back());
  }

  void UpdateWatches(Connection& aConnection)
  {
    const bool partitioned = IsPartitioned(aConnection);
    aConnection.clientWatch_.reset();
    aConnection.serverWatch_.reset();
    if (!partitioned) {
      // The main loop forwards after each iteration, so the callback needs to do nothing.
      const auto noAction = [] {};
      aConnection.clientWatch_ =
        std::make_unique<FdWatch>(loop_, aConnection.clientToServer_.from_, noAction);
      aConnection.serverWatch_ =
        std::make_unique<FdWatch>(loop_, aConnection.serverToClient_.from_, noAction);
    }
  }

  [[nodiscard]] bool IsPartitioned(const Connection& aConnection) const
  {
    return std::any_of(partitions_.begin(), partitions_.end(), [&](const auto& aPartition) {
      return Matches(aConnection, aPartition.first, aPartition.second);
    });
  }

  static bool Matches(const Connection& aConnection,
                      const std::string& aSource,
                      const std::string& aTarget)
  {
    return aConnection.source_.starts_with(aSource) &&
           (aConnection.target_.starts_with(aTarget) ||
            aConnection.listenAddress_.starts_with(aTarget));
  }

  [[nodiscard]] Duration FindDelay(const Connection& aConnection) const
  {
    for (const auto& [addresses, delay] : delays_) {
      if (Matches(aConnection, addresses.first, addresses.second)) {
        return delay;
      }
    }
    return {};
  }

  static bool HasBacklog(const Pipe& aPipe)
  {
    return !aPipe.buffer_.empty() || !aPipe.delayed_.empty();
  }

  Link* FindLink(const Connection& aConnection)
  {
    for (auto& [target, link] : links_) {
      if (Matches(aConnection, "", target)) {
        return &link;
      }
    }
    return nullptr;
  }

  /// Shares out what each link with a bound forwards in this turn.
  void UpdateAllowances()
  {
    constexpr std::chrono::milliseconds kPeriod{ 4 }; // shorter than a wait of the main loop
    constexpr double kMaxSeconds = 0.01;
    const auto now = clock_.Now();
    for (auto& entry : links_) {
      auto& link = entry.second;
      link.share_ = 0;
      if (now - link.updatedAt_ < kPeriod) {
        continue;
      }
      const std::chrono::duration<double> elapsed = now - std::exchange(link.updatedAt_, now);
      const auto waiting =
        std::count_if(connections_.begin(), connections_.end(), [&](const Connection& aConnection) {
          return FindLink(aConnection) == &link && HasBacklog(aConnection.clientToServer_);
        });
      link.share_ = link.bytesPerSecond_ * std::min(elapsed.count(), kMaxSeconds) /
                    static_cast<double>(std::max<std::ptrdiff_t>(waiting, 1));
    }
  }

  void Receive(Pipe& aPipe, Duration aDelay) const
  {
    const auto now = clock_.Now();
    std::array<char, kChunkBytes> chunk{};
    while (aPipe.buffer_.size() < kChunkBytes) {
      const auto received = recv(aPipe.from_, chunk.data(), chunk.size(), MSG_DONTWAIT);
      if (received > 0) {
        const auto size = static_cast<std::size_t>(received);
        aPipe.delayed_.emplace_back(now + aDelay, std::string(chunk.data(), size));
        if (aDelay > Duration{}) {
          break;
        }
        MoveDueBytes(aPipe, now);
        continue;
      }
      const bool wouldBlock = received < 0 && (errno == EAGAIN || errno == ENOTCONN);
      aPipe.ended_ = !wouldBlock;
      break;
    }
    MoveDueBytes(aPipe, now);
  }

  /// \param aLink Null if the rate has no bound.
  static void Send(Pipe& aPipe, const Link* aLink)
  {
    const auto bytes = aPipe.buffer_.size();
    const auto size =
      aLink == nullptr ? bytes : std::min(bytes, static_cast<std::size_t>(aLink->share_));
    const auto sent = send(aPipe.to_, aPipe.buffer_.data(), size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      aPipe.buffer_.erase(0, static_cast<std::size_t>(sent));
    }
  }

  static void MoveDueBytes(Pipe& aPipe, TimePoint aNow)
  {
    while (!aPipe.delayed_.empty() && aPipe.delayed_.front().first <= aNow) {
      aPipe.buffer_ += aPipe.delayed_.front().second;
      aPipe.delayed_.pop_front();
    }
  }

  std::list<Connection>::iterator Close(std::list<Connection>::iterator aConnection)
  {
    aConnection->clientWatch_.reset();
    aConnection->serverWatch_.reset();
    close(aConnection->clientToServer_.from_);
    close(aConnection->clientToServer_.to_);
    return connections_.erase(aConnection);
  }

  EventLoop& loop_;
  SystemClock clock_;
  std::vector<std::unique_ptr<FdWatch>> listeners_;
  std::list<Connection> connections_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::map<std::pair<std::string, std::string>, Duration> delays_;
  std::map<std::string, Link> links_; ///< with a bound, by target
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake network between nodes");
  std::string control;
  std::vector<std::string> links;
  app.add_option("--control", control)->required();
  app.add_option("--link", links, "LISTEN=TARGET")->required();
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  EventLoop loop;
  SignalWatch signals(loop);
  Relay relay(loop);
  for (const auto& link : links) {
    relay.AddLink(link);
  }
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
    loop,
    NodeAddress::Parse(control).value(),
    1024,
    HttpHandlers{ [&](ExchangeId aId, const HttpRequest& aRequest) {
                   const auto source = QueryParameter(aRequest.path_, "from");
                   const auto target = QueryParameter(aRequest.path_, "to");
                   if (aRequest.path_.starts_with("/reset")) {
                     relay.ResetConnections(source, target);
                   } else if (aRequest.path_.starts_with("/rate")) {
                     constexpr double kBytesPerMegabit = 125'000;
                     const auto rate = std::stod(QueryParameter(aRequest.path_, "mbps"));
                     relay.SetRate(target, rate * kBytesPerMegabit);
                   } else if (aRequest.path_.starts_with("/delay")) {
                     const auto delay = std::stoi(QueryParameter(aRequest.path_, "ms"));
                     relay.SetDelay(source, target, std::chrono::milliseconds(delay));
                   } else {
                     relay.SetPartition(source, target, aRequest.path_.starts_with("/cut"));
                   }
                   server->Respond(aId, {});
                 },
                  {} });
  SystemClock clock;
  while (!signals.StopRequested()) {
    const auto wait =
      relay.HasBacklog() ? std::chrono::milliseconds(5) : std::chrono::milliseconds(1000);
    loop.RunOnce(clock.Now() + wait);
    relay.ForwardAll();
  }
}
