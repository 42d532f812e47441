/// \brief Fake of the users' metadata store, which can come back from an older copy.
///
/// Serves GET /-/kv-range and /-/kv-watch, see StoreProtocol. Tests control it at another address:
///
///     PUT /control/put?key=KEY        writes the body as value; the answer is the revision
///     PUT /control/delete?key=KEY     deletes an item
///     PUT /control/restore?ago_ms=N   the items and the revision of N ms ago; with raise_era=1 the
///                                     era of the answers rises
///     PUT /control/mode?mode=MODE     up; down: connections close without an answer; silent: no
///                                     answers

#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/line_log.hpp"
#include "../../src/adapters/process/signal_watch.hpp"
#include "../../src/adapters/process/system_clock.hpp"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <sys/socket.h>

namespace {

using namespace geraniumpin;
using nlohmann::json;

constexpr std::chrono::milliseconds kMaxWait{ 30'000 };
constexpr std::chrono::seconds kCopiesKept{ 60 };
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxBodyBytes = 4U << 20U;
constexpr std::uint64_t kFirstRevision = 100;

std::string
EncodeBase64(const std::string& aText)
{
  std::string encoded((aText.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                     reinterpret_cast<const unsigned char*>(aText.data()),
                                     static_cast<int>(aText.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
}

/// Shuts down the connections that this process has accepted at an address.
void
CloseConnections(const NodeAddress& aAddress)
{
  constexpr int kMaxDescriptors = 1024;
  for (int fd = 0; fd < kMaxDescriptors; ++fd) {
    sockaddr_in local{};
    socklen_t length = sizeof local;
    int listens = 0;
    socklen_t listensLength = sizeof listens;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &length) == 0 &&
        getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listensLength) == 0 && listens == 0 &&
        local.sin_family == AF_INET && ntohs(local.sin_port) == aAddress.Port()) {
      shutdown(fd, SHUT_RDWR);
    }
  }
}

class FakeStore
{
public:
  FakeStore(EventLoop& aLoop,
            const NodeAddress& aAddress,
            const NodeAddress& aControl,
            std::optional<std::uint64_t> aEra)
    : address_(aAddress)
    , era_(aEra)
    , copies_{ { clock_.Now(), content_ } }
    , server_(aLoop,
              aAddress,
              kMaxBodyBytes,
              { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRead(aId, aRequest); },
                [this](ExchangeId aId) { RemoveWatch(aId); } })
    , control_(
        aLoop,
        aControl,
        kMaxBodyBytes,
        { [this](ExchangeId aId, const HttpRequest& aRequest) { OnControl(aId, aRequest); }, {} })
  {
  }

  void OnTimer()
  {
    auto watches = std::exchange(watches_, {});
    for (auto& watch : watches) {
      AnswerOrDefer(watch);
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next = clock_.Now() + kMaxWait;
    for (const auto& watch : watches_) {
      next = std::min(next, watch.deadline_);
    }
    return next;
  }

private:
  struct Item
  {
    std::optional<std::string> value_; ///< nothing: deleted
    std::uint64_t revision_ = 0;
    std::uint64_t createdAt_ = 0;
  };

  /// The items at one revision.
  struct Content
  {
    std::uint64_t revision_ = kFirstRevision;
    std::map<std::string, Item> items_;
  };

  struct Watch
  {
    ExchangeId id_;
    std::string prefix_;
    std::uint64_t afterRevision_;
    TimePoint deadline_;
  };

  void OnRead(ExchangeId aId, const HttpRequest& aRequest)
  {
    if (mode_ != "up") {
      if (mode_ == "down") {
        CloseConnections(address_);
      }
      return; // the read is lost, also after the mode has changed
    }
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    const auto prefix = QueryParameter(aRequest.path_, "prefix");
    const auto after = QueryParameter(aRequest.path_, "after");
    if (path == "/-/kv-range") {
      AnswerRange(aId, prefix, after);
    } else if (path == "/-/kv-watch") {
      const std::chrono::milliseconds wait(std::stoll(QueryParameter(aRequest.path_, "wait_ms")));
      AnswerOrDefer({ aId, prefix, std::stoull(after), clock_.Now() + std::min(kMaxWait, wait) });
    } else {
      Respond(aId, 404, "");
    }
  }

  static json Encode(const std::string& aKey, const Item& aItem)
  {
    if (!aItem.value_) {
      return { { "key", aKey }, { "revision", aItem.revision_ }, { "deleted", true } };
    }
    return { { "key", aKey },
             { "value", EncodeBase64(*aItem.value_) },
             { "revision", aItem.revision_ },
             { "create_rev", aItem.createdAt_ },
             { "lease_id", 0 } };
  }

  void AnswerRange(ExchangeId aId, const std::string& aPrefix, const std::string& aAfterKey)
  {
    json items = json::array();
    bool hasMore = false;
    const auto& all = content_.items_;
    for (auto item = all.upper_bound(aAfterKey); item != all.end() && !hasMore; ++item) {
      if (item->first.starts_with(aPrefix) && item->second.value_) {
        hasMore = items.size() == kMaxPageItems;
        if (!hasMore) {
          items.push_back(Encode(item->first, item->second));
        }
      }
    }
    Respond(
      aId,
      200,
      json{ { "items", items }, { "has_more", hasMore }, { "at_rev", content_.revision_ } }.dump());
  }

  /// Answers a watch, or defers it until there is an event or its deadline has passed.
  void AnswerOrDefer(const Watch& aWatch)
  {
    if (aWatch.afterRevision_ > content_.revision_) {
      Respond(aWatch.id_, 410, "");
      return;
    }
    std::map<std::uint64_t, json> events;
    for (const auto& [key, item] : content_.items_) {
      if (item.revision_ > aWatch.afterRevision_ && key.starts_with(aWatch.prefix_)) {
        events.emplace(item.revision_, Encode(key, item));
      }
    }
    if (events.empty() && clock_.Now() < aWatch.deadline_) {
      watches_.push_back(aWatch);
      return;
    }
    json ordered = json::array();
    for (auto& [revision, event] : events) {
      ordered.push_back(std::move(event));
    }
    Respond(
      aWatch.id_, 200, json{ { "events", ordered }, { "at_rev", content_.revision_ } }.dump());
  }

  void RemoveWatch(ExchangeId aId)
  {
    std::erase_if(watches_, [&](const Watch& aWatch) { return aWatch.id_ == aId; });
  }

  void OnControl(ExchangeId aId, const HttpRequest& aRequest)
  {
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    const auto key = QueryParameter(aRequest.path_, "key");
    const bool isWrite = path == "/control/put" || path == "/control/delete";
    if (isWrite && mode_ != "up") {
      control_.Respond(aId, { .status_ = 503, .headers_ = {}, .body_ = {} });
      return;
    }
    if (isWrite) {
      Write(key, path == "/control/put" ? std::optional(*aRequest.body_) : std::nullopt);
    } else if (path == "/control/restore") {
      Restore(std::chrono::milliseconds(std::stoll(QueryParameter(aRequest.path_, "ago_ms"))),
              QueryParameter(aRequest.path_, "raise_era") == "1");
    } else if (path == "/control/mode") {
      mode_ = QueryParameter(aRequest.path_, "mode");
      if (mode_ == "down") {
        watches_.clear();
        CloseConnections(address_);
      }
    }
    control_.Respond(
      aId,
      { .status_ = 200, .headers_ = {}, .body_ = MakeBody(std::to_string(content_.revision_)) });
    OnTimer();
  }

  void Write(const std::string& aKey, std::optional<std::string> aValue)
  {
    const auto revision = ++content_.revision_;
    auto& item = content_.items_[aKey];
    const bool isNew = !item.value_;
    item = { std::move(aValue), revision, isNew ? revision : item.createdAt_ };
    copies_.push_back({ clock_.Now(), content_ });
    while (copies_.size() > 1 && copies_.front().first + kCopiesKept < clock_.Now()) {
      copies_.pop_front();
    }
  }

  /// Returns to the last content that was written before a time, or to the first one.
  void Restore(std::chrono::milliseconds aAgo, bool aRaisesEra)
  {
    while (copies_.size() > 1 && copies_.back().first > clock_.Now() - aAgo) {
      copies_.pop_back();
    }
    std::cout << "restored revision " << copies_.back().second.revision_ << " after "
              << content_.revision_ << std::endl;
    content_ = copies_.back().second;
    if (era_ && aRaisesEra) {
      ++*era_;
    }
  }

  void Respond(ExchangeId aId, int aStatus, const std::string& aText)
  {
    HeaderFields headers{ { "content-type", "application/json" } };
    if (era_) {
      headers.push_back({ "store-era", std::to_string(*era_) });
    }
    server_.Respond(
      aId, { .status_ = aStatus, .headers_ = std::move(headers), .body_ = MakeBody(aText) });
  }

  SystemClock clock_;
  NodeAddress address_;
  std::optional<std::uint64_t> era_;
  std::string mode_ = "up";
  Content content_;
  std::deque<std::pair<TimePoint, Content>> copies_; ///< oldest first
  std::vector<Watch> watches_;
  HttpServer server_;
  HttpServer control_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake metadata store of the users");
  std::string listen;
  std::string control;
  std::optional<std::uint64_t> era;
  app.add_option("--listen", listen)->required();
  app.add_option("--control", control, "address of the control calls")->required();
  app.add_option("--era", era, "era of the answers; without it they state none");
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  EventLoop loop;
  SignalWatch signals(loop);
  FakeStore store(
    loop, NodeAddress::Parse(listen).value(), NodeAddress::Parse(control).value(), era);
  while (!signals.StopRequested()) {
    loop.RunOnce(store.NextDeadline());
    store.OnTimer();
  }
}
