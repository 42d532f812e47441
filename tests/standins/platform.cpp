/// \brief Fake of the platform's configuration service, which serves reads and watches.
///
/// Serves GET /v1/items and /v1/watch, see JsonPlatform; tests control it under /control. The items
/// are "document", in the format of the operators, and "vms". The revision grows by one with each
/// write of an item. /control/restore takes the platform back to an older copy of its content.

#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/line_log.hpp"
#include "../../src/adapters/process/signal_watch.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "../../src/adapters/version/document_json.hpp"

#include <CLI/CLI.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>

namespace {

using namespace geraniumpin;
using nlohmann::json;

constexpr std::chrono::milliseconds kWatchTimeout{ 2000 };
constexpr std::chrono::milliseconds kSlowDelay{ 1500 };
constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr std::size_t kMaxCopies = 1024;

class FakePlatform
{
public:
  FakePlatform(EventLoop& aLoop,
               const NodeAddress& aAddress,
               std::size_t aMaxReadsPerSecond,
               std::optional<std::uint64_t> aEra)
    : maxReadsPerSecond_(aMaxReadsPerSecond)
    , content_{ .era_ = aEra }
    , server_(aLoop,
              aAddress,
              kMaxBodyBytes,
              { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRequest(aId, aRequest); },
                [this](ExchangeId aId) { RemoveRead(aId); } })
  {
  }

  void OnTimer()
  {
    auto pendingReads = std::exchange(pendingReads_, {});
    for (auto& pending : pendingReads) {
      AnswerOrDefer(pending);
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next = clock_.Now() + kWatchTimeout;
    for (const auto& pending : pendingReads_) {
      next = std::min(next, pending.deadline_);
    }
    return next;
  }

private:
  struct Item
  {
    std::string value_;
    std::uint64_t revision_; ///< of its last write
  };

  /// The items at one revision.
  struct Content
  {
    std::optional<std::uint64_t> era_; ///< nothing: none is stated
    std::uint64_t revision_ = 0;
    std::map<std::string, Item> items_;
  };

  /// The content from a time on, until that of the next copy.
  struct Copy
  {
    TimePoint writtenAt_;
    Content content_;
  };

  struct PendingRead
  {
    ExchangeId id_;
    bool isWatch_;
    std::uint64_t afterRevision_;
    TimePoint deadline_;
    TimePoint notBefore_;
  };

  void OnRequest(ExchangeId aId, const HttpRequest& aRequest)
  {
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    if (path.starts_with("/control/")) {
      HandleControl(aId, path, aRequest);
      return;
    }
    if (!AdmitRead() || mode_ == "down") {
      Respond(aId, 503, "");
      return;
    }
    const bool isWatch = path == "/v1/watch";
    const auto after = isWatch ? std::stoull(QueryParameter(aRequest.path_, "after")) : 0;
    const auto now = clock_.Now();
    const auto notBefore = mode_ == "slow" ? now + kSlowDelay : now;
    const auto wait =
      isWatch
        ? std::min(kWatchTimeout,
                   std::chrono::milliseconds(std::stoll(QueryParameter(aRequest.path_, "wait_ms"))))
        : std::chrono::milliseconds(0);
    const auto until = std::max(notBefore, now + wait);
    AnswerOrDefer({ aId, isWatch, after, until, notBefore });
  }

  /// Answers a read, or defers it until there is a newer revision or its deadline has passed.
  void AnswerOrDefer(const PendingRead& aRead)
  {
    const auto now = clock_.Now();
    if (mode_ == "silent") {
      return; // the read is lost, also after the mode has changed
    }
    if (mode_ == "down") {
      Respond(aRead.id_, 503, "");
      return;
    }
    const auto& content = mode_ == "stale" ? stale_ : content_;
    const bool changed = !aRead.isWatch_ || content.revision_ > aRead.afterRevision_;
    const bool isGone = aRead.isWatch_ && aRead.afterRevision_ > content.revision_;
    if (now < aRead.notBefore_ || (!changed && !isGone && now < aRead.deadline_)) {
      pendingReads_.push_back(aRead);
      return;
    }
    if (isGone) {
      Respond(aRead.id_, 410, "");
      return;
    }
    json items = json::array();
    for (const auto& [key, item] : content.items_) {
      if (!aRead.isWatch_ || item.revision_ > aRead.afterRevision_) {
        items.push_back({ { "key", key }, { "value", item.value_ } });
      }
    }
    json answer{ { "revision", content.revision_ }, { "more", false }, { "items", items } };
    if (content.era_) {
      answer["era"] = *content.era_;
    }
    Respond(aRead.id_, 200, answer.dump());
  }

  void RemoveRead(ExchangeId aId)
  {
    std::erase_if(pendingReads_, [&](const PendingRead& aRead) { return aRead.id_ == aId; });
  }

  /// \brief Counts a read.
  /// \returns False if the rate of reads is exceeded.
  bool AdmitRead()
  {
    ++calls_;
    const auto now = clock_.Now();
    while (!recentReads_.empty() && recentReads_.front() <= now - std::chrono::seconds(1)) {
      recentReads_.pop_front();
    }
    recentReads_.push_back(now);
    peakPerSecond_ = std::max(peakPerSecond_, recentReads_.size());
    if (recentReads_.size() > maxReadsPerSecond_) {
      ++refused_;
      return false;
    }
    return true;
  }

  void HandleControl(ExchangeId aId, const std::string& aPath, const HttpRequest& aRequest)
  {
    if (aPath == "/control/document") {
      PublishDocument(aId, *aRequest.body_, QueryParameter(aRequest.path_, "break"));
    } else if (aPath == "/control/vms") {
      Write("vms", *aRequest.body_);
      Respond(aId, 200, "");
      OnTimer();
    } else if (aPath == "/control/item") {
      Write(QueryParameter(aRequest.path_, "key"), *aRequest.body_);
      Respond(aId, 200, "");
      OnTimer();
    } else if (aPath == "/control/restore") {
      Restore(std::chrono::milliseconds(std::stoll(QueryParameter(aRequest.path_, "ms"))),
              QueryParameter(aRequest.path_, "reads") == "lost");
      Respond(aId, 200, std::to_string(content_.revision_));
    } else if (aPath == "/control/mode") {
      mode_ = QueryParameter(aRequest.path_, "mode");
      stale_ = content_;
      Respond(aId, 200, mode_);
      OnTimer();
    } else if (aPath == "/control/count") {
      Respond(aId,
              200,
              json{ { "calls", calls_ }, { "peak_per_s", peakPerSecond_ }, { "refused", refused_ } }
                .dump());
    } else {
      Respond(aId, 404, "");
    }
  }

  /// \param aBrokenPart If not empty, the member of the document that gets an invalid value.
  void PublishDocument(ExchangeId aId, const std::string& aText, const std::string& aBrokenPart)
  {
    const auto encoded = EncodeDocument("document", aText);
    if (!encoded) {
      Respond(aId, 400, ToString(encoded.error().front()));
      return;
    }
    auto document = json::parse(aText);
    if (!aBrokenPart.empty()) {
      document[aBrokenPart] = json::array({ { { "broken", true } } });
    }
    Write("document", document.dump());
    Respond(aId, 200, MakeVersionId(encoded->manifest_).digest_.Hex());
    OnTimer();
  }

  void Write(const std::string& aKey, std::string aValue)
  {
    ++content_.revision_;
    content_.items_.insert_or_assign(aKey, Item{ std::move(aValue), content_.revision_ });
    AddCopy();
  }

  void AddCopy()
  {
    copies_.push_back({ clock_.Now(), content_ });
    if (copies_.size() > kMaxCopies) {
      copies_.pop_front();
    }
  }

  /// \brief Goes back to the content of an earlier time, or to the oldest copy.
  /// \param aLosesReads Whether pending reads get no answer; otherwise they fail.
  void Restore(std::chrono::milliseconds aAge, bool aLosesReads)
  {
    for (const auto& read : std::exchange(pendingReads_, {})) {
      if (!aLosesReads) {
        Respond(read.id_, 503, "");
      }
    }
    const auto time = clock_.Now() - aAge;
    auto era = content_.era_;
    for (auto copy = copies_.rbegin(); copy != copies_.rend(); ++copy) {
      content_ = copy->content_;
      if (copy->writtenAt_ <= time) {
        break;
      }
    }
    if (era) {
      content_.era_ = *era + 1;
    }
    stale_ = content_;
    AddCopy();
  }

  void Respond(ExchangeId aId, int aStatus, const std::string& aText)
  {
    server_.Respond(aId, { .status_ = aStatus, .headers_ = {}, .body_ = MakeBody(aText) });
  }

  SystemClock clock_;
  std::size_t maxReadsPerSecond_;
  std::string mode_ = "up";
  Content content_;
  Content stale_;
  std::deque<Copy> copies_; ///< by time
  std::vector<PendingRead> pendingReads_;
  std::uint64_t calls_ = 0;
  std::uint64_t refused_ = 0;
  std::size_t peakPerSecond_ = 0;
  std::deque<TimePoint> recentReads_;
  HttpServer server_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake platform");
  std::string listen;
  std::size_t rate = 2000;
  std::optional<std::uint64_t> era;
  app.add_option("--listen", listen)->required();
  app.add_option("--rate", rate, "reads per second that are answered; more are refused");
  app.add_option("--era", era, "era that answers state at first; it rises with each restore");
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  EventLoop loop;
  SignalWatch signals(loop);
  FakePlatform platform(loop, NodeAddress::Parse(listen).value(), rate, era);
  while (!signals.StopRequested()) {
    loop.RunOnce(platform.NextDeadline());
    platform.OnTimer();
  }
}
