/// \brief Fake backend server with slots, cold start, shedding and cancellation.
///
/// A request takes the service time, multiplied when more requests run than the capacity. It is
/// refused before it starts if too many more run, if the server drains, if all connections are in
/// use, or if its deadline has passed. The server records each run; tests read the record and
/// change the server's behaviour under /control. With --log-runs it also prints each run at once,
/// so that the record outlives the process. GET /health returns the text that a test has set,
/// whether or not it is true. To the users' interface it states its name as the id of the instance,
/// and answers 421 to a request for another instance.

#include "../../src/adapters/connection/http_server.hpp"
#include "../../src/adapters/process/line_log.hpp"
#include "../../src/adapters/process/signal_watch.hpp"
#include "../../src/adapters/process/system_clock.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace {

using namespace geraniumpin;
using nlohmann::json;

constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr double kColdCapacityRatio = 0.25; // capacity of a cold server, relative to its slots
constexpr double kShedRatio = 2;            // running requests per capacity, above which it refuses
constexpr std::string_view kRequestId = "geraniumpin-request-id";
constexpr std::string_view kInstanceId = "geraniumpin-instance-id";
constexpr std::string_view kExpectedInstance = "geraniumpin-expected-instance";

struct Options
{
  std::string listen_;
  std::string name_;
  double slots_ = 9;
  std::size_t connections_ = 120;
  std::uint32_t serviceUs_ = 2000;
  std::uint32_t coldMs_ = 0;
  bool logsRuns_ = false;
};

class FakeBackendServer
{
public:
  FakeBackendServer(EventLoop& aLoop, const Options& aOptions)
    : options_(aOptions)
    , coldUntil_(clock_.Now() + std::chrono::milliseconds(aOptions.coldMs_))
    , server_(aLoop,
              NodeAddress::Parse(aOptions.listen_).value(),
              kMaxBodyBytes,
              { [this](ExchangeId aId, const HttpRequest& aRequest) { OnRequest(aId, aRequest); },
                [this](ExchangeId aId) { OnDisconnect(aId); } })
  {
  }

  void OnTimer()
  {
    while (!completions_.empty() && completions_.begin()->first <= clock_.Now()) {
      const auto id = completions_.begin()->second;
      completions_.erase(completions_.begin());
      Finish(id);
    }
  }

  [[nodiscard]] TimePoint NextDeadline() const
  {
    return completions_.empty() ? clock_.Now() + std::chrono::seconds(10)
                                : completions_.begin()->first;
  }

private:
  /// \brief Returns the number of requests that run at full speed.
  [[nodiscard]] double Capacity() const
  {
    return clock_.Now() < coldUntil_ ? options_.slots_ * kColdCapacityRatio : options_.slots_;
  }

  void OnRequest(ExchangeId aId, const HttpRequest& aRequest)
  {
    const auto path = aRequest.path_.substr(0, aRequest.path_.find('?'));
    if (path.starts_with("/control/")) {
      HandleControl(aId, path, aRequest);
      return;
    }
    if (path == "/health") {
      server_.Respond(aId,
                      { .status_ = 200,
                        .headers_ = { { std::string(kInstanceId), options_.name_ } },
                        .body_ = MakeBody(health_) });
      return;
    }
    const auto expected = FindHeader(aRequest.headers_, kExpectedInstance);
    if (!expected.empty() && expected != options_.name_) {
      HeaderFields headers{ { std::string(kInstanceId), options_.name_ } };
      AddRequestId(headers, aRequest);
      server_.Respond(aId, { .status_ = 421, .headers_ = std::move(headers), .body_ = {} });
      return;
    }
    const auto running = static_cast<double>(running_.size()) + 1;
    if (ShouldRefuse(running, aRequest)) {
      ++shed_;
      HeaderFields headers{ { "not-started", "true" }, { "geraniumpin-not-executed", "1" } };
      AddRequestId(headers, aRequest);
      server_.Respond(aId, { .status_ = 503, .headers_ = std::move(headers), .body_ = {} });
      return;
    }
    maxRunning_ = std::max(maxRunning_, running);
    overloaded_ += running > Capacity() ? 1 : 0;
    RecordRequest(aRequest);
    const auto requestedServiceUs = QueryParameter(aRequest.path_, "service_us");
    const double serviceUs =
      requestedServiceUs.empty() ? options_.serviceUs_ : std::stod(requestedServiceUs);
    const double overloadFactor = std::max(1.0, running / Capacity());
    const std::chrono::microseconds time(
      static_cast<std::int64_t>(serviceUs * overloadFactor * slowdown_));
    running_.emplace(aId, aRequest);
    if (time.count() == 0) {
      Finish(aId);
    } else if (!hanging_) {
      completions_.emplace(clock_.Now() + time, aId);
    }
  }

  [[nodiscard]] bool ShouldRefuse(double aRunning, const HttpRequest& aRequest) const
  {
    const bool expired = FindHeader(aRequest.headers_, "geraniumpin-deadline-ms") == "0";
    return draining_ || expired || running_.size() >= options_.connections_ ||
           aRunning > kShedRatio * Capacity();
  }

  /// Prints the start or the end of a run.
  void LogRun(const std::string& aWhat, const HttpRequest& aRequest) const
  {
    const auto tag = FindHeader(aRequest.headers_, "x-tag");
    if (!tag.empty() && options_.logsRuns_) {
      const auto now =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now().time_since_epoch());
      std::cout << aWhat + " " + std::string(tag) + " " + std::to_string(now.count()) + "\n"
                << std::flush;
    }
  }

  void RecordRequest(const HttpRequest& aRequest)
  {
    ++runs_;
    const auto tag = FindHeader(aRequest.headers_, "x-tag");
    if (!tag.empty()) {
      ++runsByTag_[std::string(tag)];
    }
    LogRun("run", aRequest);
    for (const auto& field : aRequest.headers_) {
      headersSeen_.insert(field.name_);
    }
  }

  void Finish(ExchangeId aId)
  {
    const auto node = running_.extract(aId);
    if (node.empty()) {
      return;
    }
    const auto& request = node.mapped();
    LogRun("finished", request);
    const auto body =
      request.body_->empty() ? request.method_ + " " + request.path_ : *request.body_;
    HeaderFields headers{ { "x-backend-server", options_.name_ } };
    AddRequestId(headers, request);
    server_.Respond(aId,
                    { .status_ = 200, .headers_ = std::move(headers), .body_ = MakeBody(body) });
  }

  /// A node takes an answer without the id of its request for the answer of an earlier one.
  static void AddRequestId(HeaderFields& aHeaders, const HttpRequest& aRequest)
  {
    const auto id = FindHeader(aRequest.headers_, kRequestId);
    if (!id.empty()) {
      aHeaders.push_back({ std::string(kRequestId), std::string(id) });
    }
  }

  void OnDisconnect(ExchangeId aId)
  {
    if (const auto node = running_.extract(aId); !node.empty()) {
      LogRun("cancelled", node.mapped());
      ++cancelled_;
      std::erase_if(completions_,
                    [&](const auto& aCompletion) { return aCompletion.second == aId; });
    }
  }

  void HandleControl(ExchangeId aId, const std::string& aPath, const HttpRequest& aRequest)
  {
    if (aPath == "/control/cold") {
      coldUntil_ =
        clock_.Now() + std::chrono::milliseconds(std::stoul(QueryParameter(aRequest.path_, "ms")));
    } else if (aPath == "/control/slow") {
      slowdown_ = std::stod(QueryParameter(aRequest.path_, "factor"));
    } else if (aPath == "/control/drain") {
      draining_ = QueryParameter(aRequest.path_, "on") == "true";
    } else if (aPath == "/control/hang") {
      hanging_ = QueryParameter(aRequest.path_, "on") == "true";
    } else if (aPath == "/control/health") {
      health_ = QueryParameter(aRequest.path_, "says");
    }
    const json record{
      { "runs", runs_ },          { "runs_by_tag", runsByTag_ }, { "headers_seen", headersSeen_ },
      { "shed", shed_ },          { "overloaded", overloaded_ }, { "most_running", maxRunning_ },
      { "cancelled", cancelled_ }
    };
    server_.Respond(aId, { .status_ = 200, .headers_ = {}, .body_ = MakeBody(record.dump()) });
  }

  SystemClock clock_;
  Options options_;
  TimePoint coldUntil_;
  double slowdown_ = 1;
  bool draining_ = false;
  bool hanging_ = false; ///< new requests run until their client disconnects
  std::string health_ = "healthy";
  std::map<ExchangeId, HttpRequest> running_;
  std::set<std::pair<TimePoint, ExchangeId>> completions_;
  std::uint64_t runs_ = 0;
  std::map<std::string, std::uint64_t> runsByTag_;
  std::set<std::string> headersSeen_;
  std::uint64_t shed_ = 0;
  std::uint64_t overloaded_ = 0;
  double maxRunning_ = 0;
  std::uint64_t cancelled_ = 0;
  HttpServer server_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("fake backend server");
  Options options;
  app.add_option("--listen", options.listen_)->required();
  app.add_option("--name", options.name_)->required();
  app.add_option("--slots", options.slots_);
  app.add_option("--connections", options.connections_);
  app.add_option("--service-us", options.serviceUs_, "service time of a request");
  app.add_option("--cold-ms", options.coldMs_, "time of reduced capacity after the start");
  app.add_flag("--log-runs", options.logsRuns_, "print the start and the end of each run");
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  EventLoop loop;
  SignalWatch signals(loop);
  FakeBackendServer backendServer(loop, options);
  while (!signals.StopRequested()) {
    loop.RunOnce(backendServer.NextDeadline());
    backendServer.OnTimer();
  }
}
