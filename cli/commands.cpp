#include "commands.hpp"

#include "../src/adapters/connection/http_client.hpp"
#include "../src/adapters/connection/json_platform.hpp"
#include "../src/adapters/process/settings_json.hpp"
#include "../src/adapters/process/system_clock.hpp"
#include "../src/adapters/version/document_json.hpp"

#include "trace.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace geraniumpin::cli {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kAnswerTimeout{ 1000 };
constexpr std::chrono::milliseconds kPollPeriod{ 100 };
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
constexpr std::size_t kMaxConcurrentRequests = 256;

/// \brief Status of a listed node; nothing if it did not answer.
struct NodeReport
{
  ListedVm vm_;
  std::optional<json> status_;
};

/// \brief Sends requests to the platform and the nodes and waits for the answers.
class MeshClient
{
public:
  MeshClient()
    : client_(loop_, { kAnswerTimeout, kMaxAnswerBytes })
  {
  }

  std::optional<std::string> Get(const std::string& aAddress,
                                 const std::string& aPath,
                                 const HeaderFields& aHeaders = {})
  {
    const auto address = NodeAddress::Parse(aAddress);
    if (!address) {
      return std::nullopt;
    }
    bool done = false;
    std::optional<std::string> body;
    Start(*address, aPath, aHeaders, [&](std::optional<std::string> aBody) {
      body = std::move(aBody);
      done = true;
    });
    while (!done) {
      RunOnce(clock_.Now() + kAnswerTimeout);
    }
    return body;
  }

  std::optional<VmList> FetchVmList(const std::string& aPlatform)
  {
    const auto text = Get(aPlatform, JsonPlatform::PagePath(""));
    if (!text) {
      return std::nullopt;
    }
    const auto read = JsonPlatform::Parse({ .status_ = 200, .body_ = MakeBody(*text) });
    for (const auto& item : read.items_) {
      if (item.key_ == JsonItemDecoder::kVmListKey && item.value_) {
        return ParseVmList(*item.value_);
      }
    }
    return std::nullopt;
  }

  std::vector<NodeReport> FetchReports(const VmList& aList)
  {
    std::vector<NodeReport> reports;
    for (const auto& vm : aList.vms_) {
      reports.push_back({ vm, std::nullopt });
    }
    std::size_t started = 0;
    std::size_t ended = 0;
    while (ended < reports.size()) {
      for (; started < reports.size() && started - ended < kMaxConcurrentRequests; ++started) {
        auto& report = reports[started];
        Start(report.vm_.admin_, "/status", {}, [&](const std::optional<std::string>& aBody) {
          ++ended;
          auto status = json::parse(aBody.value_or(""), nullptr, false);
          if (status.is_object()) {
            report.status_ = std::move(status);
          }
        });
      }
      RunOnce(clock_.Now() + kPollPeriod);
    }
    return reports;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      RunOnce(end);
    }
  }

  [[nodiscard]] TimePoint Now() const { return clock_.Now(); }

private:
  using Receiver = std::function<void(std::optional<std::string>)>;

  /// A request in flight.
  struct PendingRequest
  {
    TimePoint deadline_;
    Receiver done_;
  };

  /// Handles events, and cancels requests without an answer within kAnswerTimeout.
  void RunOnce(TimePoint aUntil)
  {
    loop_.RunOnce(aUntil);
    const auto now = clock_.Now();
    while (!pendingRequests_.empty() && pendingRequests_.begin()->second.deadline_ <= now) {
      auto pendingRequest = pendingRequests_.extract(pendingRequests_.begin());
      client_.Cancel(pendingRequest.key());
      pendingRequest.mapped().done_(std::nullopt);
    }
  }

  void Start(const NodeAddress& aAddress,
             const std::string& aPath,
             const HeaderFields& aHeaders,
             Receiver aDone)
  {
    const HttpRequest request{
      .method_ = "GET", .host_ = {}, .path_ = aPath, .headers_ = aHeaders, .body_ = {}
    };
    const auto exchangeId = std::make_shared<ClientExchangeId>();
    *exchangeId =
      client_.Start(aAddress, request, {}, [this, exchangeId, aAddress](const HttpResult& aResult) {
        if (aResult.outcome_ == HttpOutcome::Broken) {
          std::cerr << aAddress.Text() << ": " << aResult.detail_ << "\n";
        }
        const bool good =
          aResult.outcome_ == HttpOutcome::Complete && aResult.response_.status_ == 200;
        auto pendingRequest = pendingRequests_.extract(*exchangeId);
        pendingRequest.mapped().done_(good ? std::optional(*aResult.response_.body_)
                                           : std::nullopt);
      });
    pendingRequests_.emplace(*exchangeId,
                             PendingRequest{ clock_.Now() + kAnswerTimeout, std::move(aDone) });
  }

  SystemClock clock_;
  EventLoop loop_;
  HttpClient client_;
  std::map<ClientExchangeId, PendingRequest> pendingRequests_;
};

json
ToJson(const NodeReport& aReport)
{
  if (aReport.status_) {
    return *aReport.status_;
  }
  return { { "node", aReport.vm_.node_.Text() },
           { "failure_domain", aReport.vm_.failureDomain_ },
           { "state", "no_answer" } };
}

void
PrintStatus(const NodeReport& aReport)
{
  std::cout << std::left << std::setw(22) << aReport.vm_.node_.Text() << std::setw(12)
            << aReport.vm_.failureDomain_;
  if (!aReport.status_) {
    std::cout << "no answer\n";
    return;
  }
  const auto& status = *aReport.status_;
  std::cout << "version " << std::setw(8) << status.value("version", 0) << std::setw(18)
            << status.value("state", "") << "incarnation "
            << status.value("incarnation", std::uint64_t{ 0 }) << "\n";
}

std::uint64_t
ReportedVersion(const NodeReport& aReport)
{
  return aReport.status_ ? aReport.status_->value("version", std::uint64_t{ 0 }) : 0;
}

int
PrintNoAnswer(const std::string& aTarget)
{
  std::cerr << aTarget << ": no answer\n";
  return kExitNoAnswer;
}

/// Encodes a path as the value of a query parameter.
std::string
PercentEncode(const std::string& aText)
{
  std::ostringstream encoded;
  encoded << std::hex << std::uppercase << std::setfill('0');
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (std::isalnum(code) != 0 || character == '/' || character == '-') {
      encoded << character;
    } else {
      encoded << '%' << std::setw(2) << static_cast<int>(code);
    }
  }
  return encoded.str();
}

/// \brief Progress of a version: the nodes on which it is not yet in force.
struct Progress
{
  std::vector<std::string> lagging_;
  std::size_t inForce_ = 0;
};

Progress
FetchProgress(MeshClient& aClient, const VmList& aList, std::uint64_t aVersion)
{
  Progress progress;
  for (const auto& report : aClient.FetchReports(aList)) {
    if (ReportedVersion(report) >= aVersion) {
      ++progress.inForce_;
    } else {
      progress.lagging_.push_back(report.vm_.node_.Text());
    }
  }
  return progress;
}

void
PrintProgress(const Options& aOptions, const Progress& aProgress, std::int64_t aElapsedMs)
{
  if (aOptions.json_) {
    std::cout << json{
      { "version", aOptions.version_ },
      { "in_force", aProgress.inForce_ },
      { "lagging", aProgress.lagging_ },
      { "elapsed_ms", aElapsedMs }
    }.dump() << "\n";
    return;
  }
  std::cout << "version " << aOptions.version_ << " in force on " << aProgress.inForce_ << " of "
            << aProgress.inForce_ + aProgress.lagging_.size() << " nodes after " << aElapsedMs
            << " ms\n";
  for (const auto& node : aProgress.lagging_) {
    std::cout << "  lagging: " << node << "\n";
  }
}

} // namespace

int
Validate(const Options& aOptions)
{
  const auto text = ReadFile(aOptions.document_);
  if (!text) {
    std::cerr << aOptions.document_ << ": cannot be read\n";
    return kExitBadInput;
  }
  const auto encoded = EncodeDocument(aOptions.document_, *text);
  json faults = json::array();
  if (!encoded) {
    for (const auto& fault : encoded.error()) {
      faults.push_back({ { "path", fault.path_ },
                         { "line", fault.position_.line_ },
                         { "column", fault.position_.column_ },
                         { "description", fault.description_ },
                         { "found", fault.found_ } });
      if (!aOptions.json_) {
        std::cout << ToString(fault) << "\n";
      }
    }
  }
  if (aOptions.json_) {
    std::cout << json{ { "valid", encoded.has_value() }, { "faults", faults } }.dump() << "\n";
  } else if (encoded) {
    std::cout << aOptions.document_ << ": valid, version " << encoded->manifest_.number_.document_
              << ", " << encoded->parts_.size() << " parts\n";
  }
  return encoded ? kExitSuccess : kExitBadInput;
}

int
Status(const Options& aOptions)
{
  MeshClient client;
  const auto list = client.FetchVmList(aOptions.platform_);
  if (!list) {
    return PrintNoAnswer("platform " + aOptions.platform_);
  }
  json all = json::array();
  bool complete = true;
  for (const auto& report : client.FetchReports(*list)) {
    complete = complete && report.status_.has_value();
    all.push_back(ToJson(report));
    if (!aOptions.json_) {
      PrintStatus(report);
    }
  }
  if (aOptions.json_) {
    std::cout << all.dump() << "\n";
  }
  return complete ? kExitSuccess : kExitNotMet;
}

int
Watch(const Options& aOptions)
{
  MeshClient client;
  const auto list = client.FetchVmList(aOptions.platform_);
  if (!list) {
    return PrintNoAnswer("platform " + aOptions.platform_);
  }
  const auto startedAt = client.Now();
  std::optional<std::size_t> lastInForce;
  while (true) {
    const auto progress = FetchProgress(client, *list, aOptions.version_);
    const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(client.Now() - startedAt);
    const bool late = elapsed.count() >= aOptions.deadlineMs_;
    if (progress.lagging_.empty() || late) {
      PrintProgress(aOptions, progress, elapsed.count());
      return progress.lagging_.empty() ? kExitSuccess : kExitNotMet;
    }
    if (progress.inForce_ != lastInForce) {
      PrintProgress(aOptions, progress, elapsed.count());
      lastInForce = progress.inForce_;
    }
    client.RunFor(kPollPeriod);
  }
}

int
ShowTrace(const Options& aOptions)
{
  Trace trace(aOptions.requestId_);
  if (aOptions.logs_.empty()) {
    trace.Read("-", std::cin);
  }
  for (const auto& path : aOptions.logs_) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << path << ": cannot be read\n";
      return kExitBadInput;
    }
    trace.Read(path, file);
  }
  const auto lines = trace.Lines();
  if (lines.empty()) {
    std::cerr
      << aOptions.requestId_
      << ": not found in these logs; pass the log of the request's entry node, and check it "
         "for event=log_dropped\n";
    return kExitNotMet;
  }
  json all = json::array();
  for (const auto& line : lines) {
    all.push_back({ { "time", line.time_ }, { "from", line.from_ }, { "line", line.text_ } });
    if (!aOptions.json_) {
      std::cout << line.time_ << " " << line.from_ << " " << line.text_ << "\n";
    }
  }
  if (aOptions.json_) {
    std::cout << json{ { "lines", all }, { "verdict", DescribeOutcome(lines) } }.dump() << "\n";
  } else {
    std::cout << DescribeOutcome(lines) << "\n";
  }
  return kExitSuccess;
}

int
Explain(const Options& aOptions)
{
  MeshClient client;
  HeaderFields headers;
  if (!aOptions.key_.empty()) {
    headers.push_back({ "x-api-key", aOptions.key_ });
  }
  const auto text = client.Get(aOptions.admin_,
                               "/explain?host=" + aOptions.host_ + "&method=" + aOptions.method_ +
                                 "&path=" + PercentEncode(aOptions.path_),
                               headers);
  if (!text) {
    return PrintNoAnswer("node " + aOptions.admin_);
  }
  const auto answer = json::parse(*text);
  if (aOptions.json_) {
    std::cout << answer.dump() << "\n";
  } else if (answer.contains("refused")) {
    std::cout << "refused as not run: " << answer.at("refused").get<std::string>() << "\n";
  } else {
    std::cout << "version " << answer.at("version") << ", route " << answer.at("route") << ", team "
              << answer.at("team") << ", service " << answer.at("service") << "\n";
    for (const auto& candidate : answer.at("candidates")) {
      std::cout << "  " << candidate.at("backend_server").get<std::string>()
                << (candidate.at("local").get<bool>() ? " local" : " remote") << ", load "
                << candidate.at("load") << "\n";
    }
    std::cout << "chosen: " << answer.at("chosen").get<std::string>()
              << " (the less loaded of two candidates drawn at random)\n";
  }
  return answer.contains("refused") ? kExitNotMet : kExitSuccess;
}

int
ShowMetrics(const Options& aOptions)
{
  MeshClient client;
  const auto text = client.Get(aOptions.admin_, "/metrics");
  if (!text) {
    return PrintNoAnswer("node " + aOptions.admin_);
  }
  const auto metrics = json::parse(*text);
  if (aOptions.json_) {
    std::cout << metrics.dump() << "\n";
    return kExitSuccess;
  }
  for (const auto* group : { "counters", "transport" }) {
    for (const auto& [name, value] : metrics.at(group).items()) {
      std::cout << std::left << std::setw(36) << name << value << "\n";
    }
  }
  for (const auto& [name, summary] : metrics.at("durations_ms").items()) {
    std::cout << std::left << std::setw(36) << name << summary.dump() << "\n";
  }
  return kExitSuccess;
}

} // namespace geraniumpin::cli
