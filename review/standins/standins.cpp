/// \brief Stand-ins of the users' store, an instance and a consumer for the cases of this review.
///
/// They speak what the users' PROTOCOL.md says, with plain sockets and one thread a connection.
///
///     review-standin ports COUNT                          prints free ports
///     review-standin store ADDRESS...                     the platform's store
///     review-standin relay ADDRESS=TARGET...              a network; SIGUSR1: open connections go
///     silent review-standin put ADDRESS PATH [BODY]              a control call to the store
///     review-standin instance ADDRESS ID WORK_MS LOG      an instance; LOG gets what it runs
///     review-standin ready ADDRESS                        exits with 0 if the node is ready
///     review-standin send ADDRESS OPTIONS                 consumers; prints a line for each
///     request

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using std::chrono::milliseconds;
using Headers = std::map<std::string, std::string>;

constexpr int kBacklog = 512;
constexpr int kMaxPageItems = 500;
constexpr int kPollMs = 5;

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
Lower(std::string aText)
{
  for (auto& character : aText) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return aText;
}

sockaddr_in
ParseAddress(const std::string& aText)
{
  const auto colon = aText.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))));
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int
Listen(const std::string& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = ParseAddress(aAddress);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, kBacklog) != 0) {
    std::cerr << "cannot listen on " << aAddress << "\n";
    std::exit(2);
  }
  return fd;
}

int
Connect(const std::string& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = ParseAddress(aAddress);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Returns true if the peer has closed or reset the connection.
bool
HasClosed(int aFd)
{
  pollfd state{ .fd = aFd, .events = POLLIN | POLLRDHUP, .revents = 0 };
  if (poll(&state, 1, 0) <= 0) {
    return false;
  }
  return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct Message
{
  std::string startLine_;
  Headers headers_;
  std::string body_;
};

/// Reads messages with a length from a connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd_(aFd)
  {
  }

  /// \param aUntilMs Time of day after which nothing is waited for; 0: none.
  std::optional<Message> Read(std::int64_t aUntilMs = 0)
  {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntilMs)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::getline(head, message.startLine_);
    message.startLine_.pop_back();
    for (std::string line; std::getline(head, line);) {
      line.pop_back();
      const auto colon = line.find(':');
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers_[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    const auto stated = message.headers_.find("content-length");
    const auto length =
      stated == message.headers_.end() ? 0 : static_cast<std::size_t>(std::stoul(stated->second));
    while (buffer_.size() < length) {
      if (!Fill(aUntilMs)) {
        return std::nullopt;
      }
    }
    message.body_ = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

private:
  bool Fill(std::int64_t aUntilMs)
  {
    if (aUntilMs > 0) {
      pollfd state{ .fd = fd_, .events = POLLIN, .revents = 0 };
      const auto left = std::max<std::int64_t>(0, aUntilMs - NowMs());
      if (poll(&state, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    std::array<char, 65536> bytes{};
    const auto count = recv(fd_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

std::string
EncodeResponse(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Base64(const std::string& aText)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8U | (i + k < aText.size() ? static_cast<unsigned char>(aText[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool isPadding = i + k > aText.size();
      encoded += isPadding ? '=' : kDigits[bits >> (18 - 6 * k) & 63U];
    }
  }
  return encoded;
}

std::string
QueryValue(const std::string& aPath, const std::string& aName)
{
  const auto question = aPath.find('?');
  std::istringstream query(question == std::string::npos ? "" : aPath.substr(question + 1));
  for (std::string pair; std::getline(query, pair, '&');) {
    if (pair.starts_with(aName + "=")) {
      std::string value;
      for (std::size_t i = aName.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
  }
  return {};
}

/// The platform's store: items, one revision counter, watches. It turns away the machines of an
/// address with 503 if it is told so.
class Store
{
public:
  std::string Answer(const std::string& aAddress, const Message& aMessage)
  {
    std::istringstream line(aMessage.startLine_);
    std::string method;
    std::string path;
    line >> method >> path;
    std::unique_lock lock(mutex_);
    if (path.starts_with("/control/")) {
      return Control(path, aMessage.body_);
    }
    if (denied_.contains(aAddress)) {
      return EncodeResponse(503, "", "");
    }
    const auto prefix = QueryValue(path, "prefix");
    if (path.starts_with("/-/kv-range")) {
      return Range(prefix, QueryValue(path, "after"));
    }
    if (path.starts_with("/-/kv-watch")) {
      const auto after = std::stoull(QueryValue(path, "after"));
      const auto wait = milliseconds(std::stoll(QueryValue(path, "wait_ms")));
      changed_.wait_for(
        lock, wait, [&] { return revision_ > after || denied_.contains(aAddress); });
      return denied_.contains(aAddress) ? EncodeResponse(503, "", "") : Watch(prefix, after);
    }
    return EncodeResponse(404, "", "");
  }

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t createdAt_ = 0;
    bool isDeleted_ = false;
  };

  std::string Control(const std::string& aPath, const std::string& aBody)
  {
    const auto key = QueryValue(aPath, "key");
    if (aPath.starts_with("/control/put")) {
      ++revision_;
      auto& item = items_[key];
      const bool isNew = item.revision_ == 0 || item.isDeleted_;
      item = { aBody, revision_, isNew ? revision_ : item.createdAt_, false };
    } else if (aPath.starts_with("/control/delete")) {
      ++revision_;
      items_[key] = { "", revision_, 0, true };
    } else if (aPath.starts_with("/control/deny")) {
      denied_.insert(QueryValue(aPath, "address"));
    } else if (aPath.starts_with("/control/allow")) {
      denied_.erase(QueryValue(aPath, "address"));
    }
    changed_.notify_all();
    return EncodeResponse(200, "", std::to_string(revision_));
  }

  static std::string Encode(const std::string& aKey, const Item& aItem)
  {
    const auto head =
      "{\"key\":\"" + aKey + "\",\"revision\":" + std::to_string(aItem.revision_) + ",";
    return aItem.isDeleted_
             ? head + "\"deleted\":true}"
             : head + "\"value\":\"" + Base64(aItem.value_) +
                 "\",\"create_rev\":" + std::to_string(aItem.createdAt_) + ",\"lease_id\":0}";
  }

  std::string Respond(const std::string& aName, const std::string& aItems, bool aHasMore) const
  {
    return EncodeResponse(200,
                          "Content-Type: application/json\r\n",
                          "{\"" + aName + "\":[" + aItems +
                            "],\"has_more\":" + (aHasMore ? "true" : "false") +
                            ",\"at_rev\":" + std::to_string(revision_) + "}");
  }

  [[nodiscard]] std::string Range(const std::string& aPrefix, const std::string& aAfter) const
  {
    std::string items;
    int count = 0;
    for (auto item = items_.upper_bound(aAfter); item != items_.end(); ++item) {
      if (!item->first.starts_with(aPrefix) || item->second.isDeleted_) {
        continue;
      }
      if (++count > kMaxPageItems) {
        break;
      }
      items += (items.empty() ? "" : ",") + Encode(item->first, item->second);
    }
    return Respond("items", items, count > kMaxPageItems);
  }

  [[nodiscard]] std::string Watch(const std::string& aPrefix, std::uint64_t aAfter) const
  {
    std::map<std::uint64_t, std::string> events;
    for (const auto& [key, item] : items_) {
      if (item.revision_ > aAfter && key.starts_with(aPrefix)) {
        events.emplace(item.revision_, Encode(key, item));
      }
    }
    std::string text;
    for (const auto& [revision, event] : events) {
      text += (text.empty() ? "" : ",") + event;
    }
    return Respond("events", text, false);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, Item> items_;
  std::set<std::string> denied_;
};

/// Serves the connections of a listener, one thread each.
template<class Handler>
void
Serve(const std::string& aAddress, const Handler& aHandler)
{
  const int listener = Listen(aAddress);
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd < 0) {
      continue;
    }
    std::thread([fd, &aHandler] {
      aHandler(fd);
      close(fd);
    }).detach();
  }
}

int
RunStore(const std::vector<std::string>& aAddresses)
{
  static Store store;
  std::vector<std::thread> listeners;
  listeners.reserve(aAddresses.size());
  for (const auto& address : aAddresses) {
    listeners.emplace_back([address] {
      Serve(address, [address](int aFd) {
        Reader reader(aFd);
        while (const auto message = reader.Read()) {
          if (!SendAll(aFd, store.Answer(address, *message))) {
            return;
          }
        }
      });
    });
  }
  for (auto& listener : listeners) {
    listener.join();
  }
  return 0;
}

/// Raised by SIGUSR1; connections that were opened before carry no bytes any more.
std::atomic<int> silences{ 0 };
/// Odd during the cut.
std::atomic<int> cuts{ 0 };
std::set<std::string> cutMachines;
constexpr int kCutPollMs = 20;

std::string
IpOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.find(':'));
}

/// The nodes connect to each other from their own IP, and to the store from any.
std::string
FindClient(int aFd, const std::string& aListenAddress)
{
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  getpeername(aFd, reinterpret_cast<sockaddr*>(&peer), &length);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
  const std::string ip(text.data());
  return ip == "127.0.0.1" ? IpOf(aListenAddress) : ip;
}

void
WaitWhileCut(bool aCrosses)
{
  while (aCrosses && cuts % 2 == 1) {
    std::this_thread::sleep_for(milliseconds(kCutPollMs));
  }
}

/// Passes on what a connection has received. Returns false once it has ended.
bool
PassOn(int aFrom, int aTo)
{
  std::array<char, 65536> bytes{};
  const auto count = recv(aFrom, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count < 0) {
    return errno == EAGAIN;
  }
  return count > 0 && SendAll(aTo, std::string(bytes.data(), static_cast<std::size_t>(count)));
}

void
Relay(int aFd, const std::string& aListenAddress, const std::string& aTarget)
{
  const int openedAt = silences;
  const bool crosses =
    cutMachines.contains(FindClient(aFd, aListenAddress)) != cutMachines.contains(IpOf(aTarget));
  WaitWhileCut(crosses);
  const int target = Connect(aTarget);
  if (target < 0) {
    return;
  }
  const int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (true) {
    WaitWhileCut(crosses);
    if (silences != openedAt) {
      std::this_thread::sleep_for(milliseconds(1000)); // silent for good, without a reset
      continue;
    }
    std::array<pollfd, 2> ends{ { { aFd, POLLIN, 0 }, { target, POLLIN, 0 } } };
    const bool isReadable = poll(ends.data(), ends.size(), kCutPollMs) > 0;
    if (isReadable && silences == openedAt && !(crosses && cuts % 2 == 1) &&
        !(PassOn(aFd, target) && PassOn(target, aFd))) {
      break;
    }
  }
  close(target);
}

int
RunRelay(const std::vector<std::string>& aLinks)
{
  std::signal(SIGUSR1, [](int) { ++silences; });
  std::signal(SIGUSR2, [](int) { ++cuts; });
  const auto cut = std::find(aLinks.begin(), aLinks.end(), "cut");
  if (cut != aLinks.end()) {
    cutMachines.insert(cut + 1, aLinks.end());
  }
  std::vector<std::thread> listeners;
  listeners.reserve(aLinks.size());
  for (auto link = aLinks.begin(); link != cut; ++link) {
    const auto equals = link->find('=');
    listeners.emplace_back([address = link->substr(0, equals), target = link->substr(equals + 1)] {
      Serve(address, [address, target](int aFd) { Relay(aFd, address, target); });
    });
  }
  for (auto& listener : listeners) {
    listener.join();
  }
  return 0;
}

/// An instance: refuses requests for another one with 421, drops a request when its connection
/// closes, stops at the time limit with 504.
class Instance
{
public:
  Instance(std::string aId, milliseconds aWork, const std::string& aLog)
    : id_(std::move(aId))
    , work_(aWork)
    , log_(aLog, std::ios::app)
  {
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    while (const auto message = reader.Read()) {
      if (!SendAll(aFd, Answer(aFd, *message))) {
        return;
      }
    }
  }

private:
  std::string Answer(int aFd, const Message& aMessage)
  {
    const auto find = [&](const std::string& aName) {
      const auto found = aMessage.headers_.find(aName);
      return found == aMessage.headers_.end() ? std::string() : found->second;
    };
    const auto request = find("geraniumpin-request-id");
    const auto echo = request.empty() ? "" : "Geraniumpin-Request-Id: " + request + "\r\n";
    if (aMessage.startLine_.starts_with("GET /health ")) {
      return EncodeResponse(200, "Geraniumpin-Instance-Id: " + id_ + "\r\n", "");
    }
    const auto expected = find("geraniumpin-expected-instance");
    if (!expected.empty() && expected != id_) {
      return EncodeResponse(421, echo + "Geraniumpin-Instance-Id: " + id_ + "\r\n", "");
    }
    if (request.empty()) {
      return EncodeResponse(400, "Geraniumpin-Not-Executed: 1\r\n", "");
    }
    const auto limitText = find("geraniumpin-deadline-ms");
    const auto limit =
      limitText.empty() ? milliseconds(60000) : milliseconds(std::stoll(limitText));
    const auto tenant = find("geraniumpin-tenant");
    Log("run", request, tenant);
    const auto startedAt = NowMs();
    while (NowMs() - startedAt < std::min(work_, limit).count()) {
      if (HasClosed(aFd)) {
        Log("dropped", request, tenant);
        return {};
      }
      std::this_thread::sleep_for(milliseconds(kPollMs));
    }
    const bool isDone = work_ <= limit;
    Log(isDone ? "done" : "over", request, tenant);
    return EncodeResponse(isDone ? 200 : 504,
                          echo + "Geraniumpin-Response-Seal: " + id_ + "." + request + "\r\n",
                          "ok");
  }

  void Log(const std::string& aWhat, const std::string& aRequest, const std::string& aTenant)
  {
    const std::lock_guard lock(mutex_);
    log_ << NowMs() << " " << id_ << " " << aWhat << " " << aRequest << " "
         << (aTenant.empty() ? "-" : aTenant) << std::endl;
  }

  std::string id_;
  milliseconds work_;
  std::mutex mutex_;
  std::ofstream log_;
};

struct SendOptions
{
  std::string address_;
  std::string name_ = "r"; ///< begins the ids of the requests
  std::string method_ = "GET";
  std::string host_ = "shop.example";
  std::string path_ = "/";
  std::string key_;
  int count_ = 1;         ///< consumers, each with a connection of its own
  int requests_ = 1;      ///< of one consumer, one after the other on its connection
  int intervalMs_ = 50;   ///< between the starts of two requests
  int deadlineMs_ = 3000; ///< how long a consumer waits
  int bodyBytes_ = 0;
  int headBytes_ = 0;  ///< length of the head, filled up by a User-Agent; 0: as it is
  int writeBytes_ = 0; ///< the request is written in pieces of this size; 0: at once
  int gapMs_ = 20;     ///< between two pieces
};

std::mutex printMutex;

std::string
MakeRequest(const SendOptions& aOptions, const std::string& aId)
{
  std::string head = aOptions.method_ + " " + aOptions.path_ + " HTTP/1.1\r\n" +
                     "Host: " + aOptions.host_ + "\r\nGeraniumpin-Request-Id: " + aId +
                     "\r\nGeraniumpin-Deadline-Ms: " + std::to_string(aOptions.deadlineMs_) +
                     "\r\n";
  if (!aOptions.key_.empty()) {
    head += "Geraniumpin-Key: " + aOptions.key_ + "\r\n";
  }
  if (aOptions.method_ != "GET") {
    head += "Content-Length: " + std::to_string(aOptions.bodyBytes_) + "\r\n";
  }
  const std::string agent = "User-Agent: ";
  const auto headBytes = static_cast<std::size_t>(aOptions.headBytes_);
  const auto fixedBytes = head.size() + agent.size() + 4; // two line ends
  if (headBytes > fixedBytes) {
    head += agent + std::string(headBytes - fixedBytes, 'a') + "\r\n";
  }
  return head + "\r\n" + std::string(static_cast<std::size_t>(aOptions.bodyBytes_), 'x');
}

/// How a request ended.
struct End
{
  std::string kind_ = "no-connection";
  std::string status_ = "-";
  std::string seal_ = "-";
  std::int64_t sentAt_ = 0;
};

/// Sends a request and waits for its answer, or for the end of the time limit.
End
Exchange(const SendOptions& aOptions, const std::string& aId, int aFd, Reader& aReader)
{
  End end;
  const auto beganAt = NowMs();
  const auto request = MakeRequest(aOptions, aId);
  const auto piece =
    aOptions.writeBytes_ > 0 ? static_cast<std::size_t>(aOptions.writeBytes_) : request.size();
  for (std::size_t at = 0; at < request.size(); at += piece) {
    if (at > 0) {
      std::this_thread::sleep_for(milliseconds(aOptions.gapMs_));
    }
    SendAll(aFd, request.substr(at, piece));
  }
  end.sentAt_ = NowMs();
  const auto until = beganAt + aOptions.deadlineMs_;
  const auto answer = aReader.Read(until);
  if (!answer) {
    end.kind_ = NowMs() >= until ? "unanswered" : "closed";
    return end;
  }
  end.kind_ = "answered";
  end.status_ = answer->startLine_.substr(9, 3);
  const auto seal = answer->headers_.find("geraniumpin-response-seal");
  end.seal_ = seal == answer->headers_.end() ? "-" : seal->second;
  return end;
}

/// A consumer on a connection of its own; prints id, kind of end, status, seal and times of each
/// request.
void
RunConsumer(const SendOptions& aOptions, int aIndex)
{
  const int fd = Connect(aOptions.address_);
  Reader reader(fd);
  for (int i = 1; i <= aOptions.requests_; ++i) {
    const auto id = aOptions.name_ + "-" + std::to_string(aIndex) +
                    (aOptions.requests_ > 1 ? "-" + std::to_string(i) : "");
    const auto beganAt = NowMs();
    const auto end = fd < 0 ? End{ .sentAt_ = beganAt } : Exchange(aOptions, id, fd, reader);
    const std::lock_guard lock(printMutex);
    std::cout << beganAt << " " << id << " " << end.kind_ << " " << end.status_ << " " << end.seal_
              << " sent_ms " << end.sentAt_ - beganAt << " ms " << NowMs() - beganAt << std::endl;
    if (end.kind_ != "answered") {
      break;
    }
  }
  if (fd >= 0) {
    close(fd);
  }
}

int
RunSend(const std::vector<std::string>& aArguments)
{
  SendOptions options;
  options.address_ = aArguments.at(0);
  for (std::size_t i = 1; i + 1 < aArguments.size(); i += 2) {
    const auto& name = aArguments[i];
    const auto& value = aArguments[i + 1];
    const std::map<std::string, std::string*> texts{ { "--name", &options.name_ },
                                                     { "--method", &options.method_ },
                                                     { "--host", &options.host_ },
                                                     { "--path", &options.path_ },
                                                     { "--key", &options.key_ } };
    const std::map<std::string, int*> numbers{ { "--count", &options.count_ },
                                               { "--requests", &options.requests_ },
                                               { "--interval-ms", &options.intervalMs_ },
                                               { "--deadline-ms", &options.deadlineMs_ },
                                               { "--body", &options.bodyBytes_ },
                                               { "--head-bytes", &options.headBytes_ },
                                               { "--write-bytes", &options.writeBytes_ },
                                               { "--gap-ms", &options.gapMs_ } };
    if (texts.contains(name)) {
      *texts.at(name) = value;
    } else {
      *numbers.at(name) = std::stoi(value);
    }
  }
  std::vector<std::thread> consumers;
  consumers.reserve(static_cast<std::size_t>(options.count_));
  for (int i = 1; i <= options.count_; ++i) {
    consumers.emplace_back(RunConsumer, options, i);
    std::this_thread::sleep_for(milliseconds(options.intervalMs_));
  }
  for (auto& consumer : consumers) {
    consumer.join();
  }
  return 0;
}

std::optional<Message>
Call(const std::string& aAddress, const std::string& aStartLine, const std::string& aBody)
{
  const int fd = Connect(aAddress);
  if (fd < 0) {
    return std::nullopt;
  }
  SendAll(fd,
          aStartLine + " HTTP/1.1\r\nHost: " + aAddress +
            "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  auto answer = Reader(fd).Read(NowMs() + 1000);
  close(fd);
  return answer;
}

int
PrintPorts(int aCount)
{
  std::set<int> ports;
  std::mt19937 random(std::random_device{}());
  while (static_cast<int>(ports.size()) < aCount) {
    const int port = 12000 + static_cast<int>(random() % 18000);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = ParseAddress("127.0.0.1:" + std::to_string(port));
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
      ports.insert(port);
    }
    close(fd);
  }
  for (const int port : ports) {
    std::cout << port << " ";
  }
  std::cout << std::endl;
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
  const auto& role = arguments.at(0);
  if (role == "ports") {
    return PrintPorts(std::stoi(rest.at(0)));
  }
  if (role == "store") {
    return RunStore(rest);
  }
  if (role == "relay") {
    return RunRelay(rest);
  }
  if (role == "put") {
    const auto answer =
      Call(rest.at(0), "PUT " + rest.at(1), rest.size() > 2 ? rest.at(2) : std::string());
    std::cout << (answer ? answer->body_ : "no answer") << std::endl;
    return answer ? 0 : 2;
  }
  if (role == "instance") {
    Instance instance(rest.at(1), milliseconds(std::stoi(rest.at(2))), rest.at(3));
    Serve(rest.at(0), [&instance](int aFd) { instance.Serve(aFd); });
    return 0;
  }
  if (role == "ready") {
    const auto answer = Call(rest.at(0), "GET /-/ready", "");
    return answer && answer->startLine_.substr(9, 3) == "200" ? 0 : 1;
  }
  return role == "send" ? RunSend(rest) : 2;
}
