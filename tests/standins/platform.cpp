/// \brief Stand-in for the platform's read-and-watch configuration service.
///
/// Serves GET /v1/head, /v1/content/DIGEST and /v1/vms; a test steers it under /control.

#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/glog_log.hpp"
#include "../../src/adapters/process/signal_watch.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "../../src/adapters/version/document_json.hpp"

#include <CLI/CLI.hpp>
#include <deque>
#include <nlohmann/json.hpp>

namespace {

using namespace geraniumpin;
using nlohmann::json;

constexpr std::chrono::milliseconds kWatchTime{ 2000 };
constexpr std::chrono::milliseconds kSlowDelay{ 1500 };
constexpr std::size_t kMostBodyBytes = 64U << 20U;

struct Published
{
  std::uint64_t revision_ = 0;
  std::string text_;
};

class Platform
{
public:
  Platform(EventLoop& aLoop, const NodeAddress& aAddress, std::size_t aRate, Duration aVmLag)
    : rate_(aRate)
    , vmLag_(aVmLag)
    , server_(aLoop,
              aAddress,
              kMostBodyBytes,
              { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRequest(aId, aRequest); },
                [this](ExchangeId aId) { Forget(aId); } })
  {
    vms_.text_ = R"({"revision":0,"vms":[]})";
  }

  void OnTimer()
  {
    const auto now = clock_.Now();
    while (!laggingVms_.empty() && laggingVms_.front().first <= now) {
      vms_ = laggingVms_.front().second;
      laggingVms_.pop_front();
    }
    auto waiting = std::exchange(waiting_, {});
    for (auto& item : waiting) {
      Serve(item);
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    auto next = clock_.Now() + kWatchTime;
    for (const auto& item : waiting_) {
      next = std::min(next, item.until_);
    }
    return laggingVms_.empty() ? next : std::min(next, laggingVms_.front().first);
  }

private:
  struct Waiting
  {
    ExchangeId id_;
    std::string path_;
    std::uint64_t after_;
    TimePoint until_;
    TimePoint notBefore_;
  };

  void OnRequest(ExchangeId aId, const HttpRequest& aRequest)
  {
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    if (path.starts_with("/control/")) {
      Control(aId, path, aRequest);
      return;
    }
    if (!Count() || mode_ == "down") {
      Respond(aId, 503, "");
      return;
    }
    std::uint64_t after = 0;
    const auto text = QueryParameter(aRequest.path_, "after");
    after = text.empty() ? 0 : std::stoull(text);
    const auto now = clock_.Now();
    const auto notBefore = mode_ == "slow" ? now + kSlowDelay : now;
    const auto until = after == 0 ? notBefore : std::max(notBefore, now + kWatchTime);
    Waiting item{ aId, path, after, until, notBefore };
    Serve(item);
  }

  /// Answers a read, or keeps it waiting for a newer revision.
  void Serve(const Waiting& aItem)
  {
    const auto now = clock_.Now();
    if (mode_ == "down") {
      Respond(aItem.id_, 503, "");
      return;
    }
    const auto& value = aItem.path_ == "/v1/vms" ? vms_ : (mode_ == "stale" ? staleHead_ : head_);
    const bool isContent = aItem.path_.starts_with("/v1/content/");
    const bool ready = isContent || value.revision_ > aItem.after_ || now >= aItem.until_;
    if (now < aItem.notBefore_ || !ready) {
      waiting_.push_back(aItem);
    } else if (isContent) {
      const auto found = contents_.find(aItem.path_.substr(std::string("/v1/content/").size()));
      Respond(aItem.id_,
              found == contents_.end() ? 404 : 200,
              found == contents_.end() ? "" : found->second);
    } else {
      Respond(aItem.id_, value.revision_ == 0 ? 404 : 200, value.text_, value.revision_);
    }
  }

  void Forget(ExchangeId aId)
  {
    std::erase_if(waiting_, [&](const Waiting& aItem) { return aItem.id_ == aId; });
  }

  /// \returns False if the rate of reads is exceeded.
  bool Count()
  {
    ++calls_;
    const auto now = clock_.Now();
    while (!recent_.empty() && recent_.front() <= now - std::chrono::seconds(1)) {
      recent_.pop_front();
    }
    recent_.push_back(now);
    peak_ = std::max(peak_, recent_.size());
    if (recent_.size() > rate_) {
      ++refused_;
      return false;
    }
    return true;
  }

  void Control(ExchangeId aId, const std::string& aPath, const HttpRequest& aRequest)
  {
    if (aPath == "/control/document") {
      PublishDocument(aId, *aRequest.body_, QueryParameter(aRequest.path_, "break"));
    } else if (aPath == "/control/vms") {
      PublishVms(aId, *aRequest.body_);
    } else if (aPath == "/control/mode") {
      mode_ = QueryParameter(aRequest.path_, "mode");
      staleHead_ = head_;
      Respond(aId, 200, mode_);
      OnTimer();
    } else if (aPath == "/control/count") {
      Respond(aId,
              200,
              json{ { "calls", calls_ }, { "peak_per_s", peak_ }, { "refused", refused_ } }.dump());
    } else {
      Respond(aId, 404, "");
    }
  }

  /// \param aBreak Name of a part whose content is replaced by an invalid one; may be empty.
  void PublishDocument(ExchangeId aId, const std::string& aText, const std::string& aBreak)
  {
    const auto encoded = EncodeDocument("document", aText);
    if (!encoded) {
      Respond(aId, 400, ToString(encoded.error().front()));
      return;
    }
    auto parts = encoded->parts_;
    if (!aBreak.empty()) {
      parts.at(aBreak) = std::make_shared<const std::string>(R"({"routes":[{"broken":true}]})");
    }
    const auto manifest = impl::ManifestOf(encoded->manifest_.number_, parts, {}, {});
    for (const auto& [name, bytes] : parts) {
      contents_[Digest::Of(*bytes).Hex()] = *bytes;
    }
    for (std::size_t shard = 0; shard < Manifest::kIndexShards; ++shard) {
      const auto text = EncodeIndexShard(manifest, shard);
      contents_[Digest::Of(text).Hex()] = text;
    }
    head_ = { ++revision_, EncodeHead(manifest) };
    Respond(aId, 200, IdOf(manifest).digest_.Hex());
    OnTimer();
  }

  void PublishVms(ExchangeId aId, const std::string& aText)
  {
    auto root = json::parse(aText);
    root["revision"] = ++revision_;
    laggingVms_.emplace_back(clock_.Now() + vmLag_, Published{ revision_, root.dump() });
    Respond(aId, 200, std::to_string(revision_));
    OnTimer();
  }

  void Respond(ExchangeId aId, int aStatus, const std::string& aText, std::uint64_t aRevision = 0)
  {
    HeaderFields headers;
    if (aRevision > 0) {
      headers.push_back({ "revision", std::to_string(aRevision) });
    }
    server_.Respond(aId, { .status_ = aStatus, .headers_ = headers, .body_ = MakeBody(aText) });
  }

  SystemClock clock_;
  std::size_t rate_;
  Duration vmLag_;
  std::string mode_ = "up";
  std::uint64_t revision_ = 0;
  Published head_;
  Published staleHead_;
  Published vms_;
  std::deque<std::pair<TimePoint, Published>> laggingVms_;
  std::map<std::string, std::string> contents_;
  std::vector<Waiting> waiting_;
  std::uint64_t calls_ = 0;
  std::uint64_t refused_ = 0;
  std::size_t peak_ = 0;
  std::deque<TimePoint> recent_;
  HttpServer server_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("stand-in for the platform");
  std::string listen;
  std::size_t rate = 2000;
  std::uint32_t vmLagMs = 0;
  app.add_option("--listen", listen)->required();
  app.add_option("--rate", rate, "reads per second that are answered");
  app.add_option("--vm-lag-ms", vmLagMs, "delay of the VM list");
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  EventLoop loop;
  SignalWatch signals(loop);
  Platform platform(
    loop, NodeAddress::Parse(listen).value(), rate, std::chrono::milliseconds(vmLagMs));
  while (!signals.StopRequested()) {
    loop.RunOnce(platform.NextDeadline());
    platform.OnTimer();
  }
}
