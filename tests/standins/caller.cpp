/// \brief Fake caller: sends a fixed number of requests and prints counts and latencies as JSON.

#include "../../src/adapters/connection/http_client.hpp"
#include "../../src/adapters/process/line_log.hpp"
#include "../../src/adapters/process/system_clock.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace geraniumpin;
using nlohmann::json;

constexpr std::uint64_t kMaxRequests = 1'000'000;

struct Options
{
  std::string target_;
  std::string method_ = "GET";
  std::string path_ = "/";
  std::string key_;
  std::string tagPrefix_;
  std::uint64_t count_ = 100;
  std::uint64_t concurrency_ = 1;
  double ratePerSecond_ = 0;
  std::size_t bodyBytes_ = 0;
};

class FakeCaller
{
public:
  FakeCaller(EventLoop& aLoop, const Options& aOptions)
    : options_(aOptions)
    , target_(NodeAddress::Parse(aOptions.target_).value())
    , client_(aLoop, { std::chrono::milliseconds(4000), 64U << 20U })
    , startedAt_(clock_.Now())
  {
  }

  [[nodiscard]] bool IsDone() const { return ended_ == options_.count_; }

  void OnTimer()
  {
    while (started_ < options_.count_ && started_ - ended_ < options_.concurrency_ &&
           clock_.Now() >= SendTime(started_)) {
      Send();
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    const bool isPaced = started_ < options_.count_ && options_.ratePerSecond_ > 0;
    const auto fallback = clock_.Now() + std::chrono::seconds(1);
    return isPaced && started_ - ended_ < options_.concurrency_
             ? std::min(fallback, SendTime(started_))
             : fallback;
  }

  [[nodiscard]] json MakeReport()
  {
    std::sort(latencies_.begin(), latencies_.end());
    const auto quantile = [&](double aFraction) {
      const auto index =
        static_cast<std::size_t>(aFraction * static_cast<double>(latencies_.size()));
      return latencies_.empty() ? 0 : latencies_[std::min(index, latencies_.size() - 1)];
    };
    const std::chrono::duration<double> elapsed = clock_.Now() - startedAt_;
    return { { "sent", started_ },           { "outcomes", outcomes_ },
             { "statuses", statuses_ },      { "answered_by", answeredBy_ },
             { "p50_us", quantile(0.5) },    { "p99_us", quantile(0.99) },
             { "seconds", elapsed.count() }, { "not_run_tags", notRunTags_ } };
  }

private:
  [[nodiscard]] TimePoint SendTime(std::uint64_t aIndex) const
  {
    if (options_.ratePerSecond_ <= 0) {
      return startedAt_;
    }
    const std::chrono::duration<double> offset(static_cast<double>(aIndex) /
                                               options_.ratePerSecond_);
    return startedAt_ + std::chrono::duration_cast<Duration>(offset);
  }

  void Send()
  {
    HeaderFields headers;
    if (!options_.key_.empty()) {
      headers.push_back({ "x-api-key", options_.key_ });
    }
    if (!options_.tagPrefix_.empty()) {
      headers.push_back({ "x-tag", options_.tagPrefix_ + std::to_string(started_) });
    }
    const auto index = started_++;
    const HttpRequest request{ .method_ = options_.method_,
                               .host_ = {},
                               .path_ = options_.path_,
                               .headers_ = headers,
                               .body_ = MakeBody(std::string(options_.bodyBytes_, 'x')) };
    const auto sentAt = clock_.Now();
    client_.Start(target_, request, {}, [this, sentAt, index](const HttpResult& aResult) {
      OnEnd(index, clock_.Now() - sentAt, aResult);
    });
  }

  void OnEnd(std::uint64_t aIndex, Duration aElapsed, const HttpResult& aResult)
  {
    ++ended_;
    const auto& response = aResult.response_;
    latencies_.push_back(std::chrono::duration_cast<std::chrono::microseconds>(aElapsed).count());
    std::string outcome(FindHeader(response.headers_, "geraniumpin-outcome"));
    const auto reason = FindHeader(response.headers_, "geraniumpin-reason");
    if (aResult.outcome_ != HttpOutcome::Complete) {
      outcome = aResult.outcome_ == HttpOutcome::ConnectFailed ? "connect_failed" : "broken";
    } else if (outcome.empty()) {
      outcome = "direct";
    }
    if (outcome == "not_run" && !options_.tagPrefix_.empty()) {
      notRunTags_.push_back(options_.tagPrefix_ + std::to_string(aIndex));
    }
    ++outcomes_[reason.empty() ? outcome : outcome + ":" + std::string(reason)];
    ++statuses_[std::to_string(response.status_)];
    const auto server = FindHeader(response.headers_, "x-backend-server");
    if (!server.empty()) {
      ++answeredBy_[std::string(server)];
    }
  }

  SystemClock clock_;
  Options options_;
  NodeAddress target_;
  HttpClient client_;
  TimePoint startedAt_;
  std::uint64_t started_ = 0;
  std::uint64_t ended_ = 0;
  std::vector<std::int64_t> latencies_;
  std::vector<std::string> notRunTags_;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> statuses_;
  std::map<std::string, std::uint64_t> answeredBy_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake caller");
  Options options;
  app.add_option("--target", options.target_)->required();
  app.add_option("--method", options.method_);
  app.add_option("--path", options.path_);
  app.add_option("--key", options.key_);
  app.add_option("--tag-prefix", options.tagPrefix_);
  app.add_option("--count", options.count_)->check(CLI::Range(std::uint64_t{ 1 }, kMaxRequests));
  app.add_option("--concurrency", options.concurrency_);
  app.add_option(
    "--rate", options.ratePerSecond_, "requests per second; 0: limited by the concurrency only");
  app.add_option("--body-bytes", options.bodyBytes_);
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  EventLoop loop;
  FakeCaller caller(loop, options);
  while (!caller.IsDone()) {
    caller.OnTimer();
    loop.RunOnce(caller.NextDeadline());
  }
  std::cout << caller.MakeReport().dump() << "\n";
}
