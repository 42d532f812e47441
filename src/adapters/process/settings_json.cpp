#include "settings_json.hpp"

#include "../version/json_text.hpp"

#include <fstream>
#include <sstream>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::string_view kSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["peer_address", "caller_address", "admin_address", "failure_domain",
               "backend_server", "platform", "peer_key"],
  "properties": {
    "peer_address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "peer_listen": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "caller_address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "admin_address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "failure_domain": { "type": "string", "minLength": 1, "maxLength": 63 },
    "backend_server": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "platform": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "seeds": { "type": "array", "items": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" } },
    "interface": { "type": "string", "enum": ["own", "users"] },
    "platform_is_linearizable": { "type": "boolean" },
    "limit_tolerance": { "type": "number", "minimum": 0, "maximum": 1 },
    "limit_slack": { "type": "number", "minimum": 0, "maximum": 1000 },
    "ready_address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
    "service": { "type": "string", "maxLength": 63 },
    "failure_domains": { "type": "array", "items": { "type": "string", "minLength": 1 } },
    "peer_key": { "type": "string", "minLength": 16 },
    "max_body_bytes": { "type": "integer", "minimum": 1024, "maximum": 67108864 },
    "pipelined_requests": { "type": "integer", "minimum": 1, "maximum": 256 },
    "pipelined_bytes": { "type": "integer", "minimum": 0, "maximum": 67108864 },
    "body_timeout_ms": { "type": "integer", "minimum": 1000, "maximum": 600000 },
    "min_body_bytes_per_s": { "type": "integer", "minimum": 0, "maximum": 67108864 },
    "apply_bound_ms": { "type": "integer", "minimum": 500, "maximum": 600000 },
    "contact_bound_ms": { "type": "integer", "minimum": 500, "maximum": 600000 },
    "retry_ratio": { "type": "number", "minimum": 0, "maximum": 1 },
    "platform_bounds": { "type": "array", "items": { "type": "string" } },
    "balancing": { "type": "string", "enum": ["load", "completion"] },
    "fleet_admission": { "type": "boolean" },
    "hedge_ratio": { "type": "number", "minimum": 0, "maximum": 0.2 },
    "overload_control": { "type": "boolean" },
    "memory_mb": { "type": "integer", "minimum": 0, "maximum": 1048576 },
    "max_descriptors": { "type": "integer", "minimum": 0, "maximum": 1048576 },
    "link_mbps": { "type": "number", "minimum": 0, "maximum": 1000000 },
    "receive_window_ms": { "type": "integer", "minimum": 0, "maximum": 10000 },
    "processor_share": { "type": "number", "minimum": 0, "maximum": 1024 },
    "drain_timeout_ms": { "type": "integer", "minimum": 0, "maximum": 600000 }
  }
})json";

/// Parses addresses and records a fault for each that is not an IP address with a port.
class AddressReader
{
public:
  explicit AddressReader(const JsonText& aText)
    : text_(aText)
  {
  }

  NodeAddress Read(const std::string& aPath)
  {
    const auto pointer = nlohmann::json::json_pointer(aPath);
    auto address = NodeAddress::Parse(text_.Root().at(pointer).get<std::string>());
    if (!address) {
      faults_.push_back(text_.MakeFaultAt(aPath, "expected an IP address and a port"));
      return {};
    }
    return *address;
  }

  [[nodiscard]] const Faults& FoundFaults() const noexcept { return faults_; }

private:
  const JsonText& text_;
  Faults faults_;
};

MachineLimits
ReadMachineLimits(const nlohmann::json& aRoot)
{
  constexpr std::size_t kMegabyte = 1U << 20U;
  constexpr double kMegabit = 1e6;
  return { .memoryBytes_ = aRoot.value("memory_mb", std::size_t{ 0 }) * kMegabyte,
           .maxDescriptors_ = aRoot.value("max_descriptors", std::size_t{ 0 }),
           .linkBitsPerSecond_ =
             static_cast<std::uint64_t>(aRoot.value("link_mbps", 0.0) * kMegabit),
           .processorShare_ = aRoot.value("processor_share", 0.0) };
}

SettingsBuilder
MakeSettingsBuilder(const std::string& aSource, const nlohmann::json& aRoot, AddressReader& aReader)
{
  SettingsBuilder builder(aSource);
  builder.PeerAddress(aReader.Read("/peer_address"))
    .CallerAddress(aReader.Read("/caller_address"))
    .AdminAddress(aReader.Read("/admin_address"))
    .BackendServerAddress(aReader.Read("/backend_server"))
    .PlatformAddress(aReader.Read("/platform"))
    .FailureDomainName(aRoot.at("failure_domain"))
    .PeerKey(aRoot.at("peer_key"));
  if (aRoot.contains("peer_listen")) {
    builder.PeerListenAddress(aReader.Read("/peer_listen"));
  }
  if (aRoot.contains("ready_address")) {
    builder.ReadyAddress(aReader.Read("/ready_address"));
  }
  builder
    .InterfaceKind(aRoot.value("interface", "own") == "users" ? Interface::Users : Interface::Own)
    .PlatformIsLinearizable(aRoot.value("platform_is_linearizable", false))
    .LimitTolerance(aRoot.value("limit_tolerance", 0.0))
    .LimitSlack(aRoot.value("limit_slack", 0.0))
    .OwnService(aRoot.value("service", std::string()))
    .FailureDomainNames(aRoot.value("failure_domains", std::vector<std::string>{}));
  std::vector<NodeAddress> seeds;
  if (aRoot.contains("seeds")) {
    for (std::size_t i = 0; i < aRoot.at("seeds").size(); ++i) {
      seeds.push_back(aReader.Read("/seeds/" + std::to_string(i)));
    }
  }
  builder.Seeds(std::move(seeds));
  if (aRoot.contains("max_body_bytes")) {
    builder.MaxBodyBytes(aRoot.at("max_body_bytes"));
  }
  builder.Pipelining(
    { .maxRequests_ = aRoot.value("pipelined_requests", PipelineLimits::kDefaultMaxRequests),
      .maxResponseBytes_ =
        aRoot.value("pipelined_bytes", PipelineLimits::kDefaultMaxResponseBytes) });
  builder.BodyProgress({ .bodyTimeout_ = std::chrono::milliseconds(aRoot.value(
                           "body_timeout_ms", ProgressLimits::kDefaultBodyTimeout.count())),
                         .minBytesPerSecond_ = aRoot.value(
                           "min_body_bytes_per_s", ProgressLimits::kDefaultMinBytesPerSecond) });
  if (aRoot.contains("drain_timeout_ms")) {
    builder.DrainTimeout(std::chrono::milliseconds(aRoot.at("drain_timeout_ms")));
  }
  if (aRoot.contains("receive_window_ms")) {
    builder.ReceiveWindowTime(std::chrono::milliseconds(aRoot.at("receive_window_ms")));
  }
  if (aRoot.contains("apply_bound_ms")) {
    builder.ApplyBound(std::chrono::milliseconds(aRoot.at("apply_bound_ms")));
  }
  if (aRoot.contains("contact_bound_ms")) {
    builder.ContactBound(std::chrono::milliseconds(aRoot.at("contact_bound_ms")));
  }
  builder.RetryRatio(aRoot.value("retry_ratio", RetryBudget::kRetriesPerRequest))
    .PlatformBounds(aRoot.value("platform_bounds", std::vector<std::string>{}))
    .Machine(ReadMachineLimits(aRoot))
    .FleetAdmission(aRoot.value("fleet_admission", false))
    .HedgeRatio(aRoot.value("hedge_ratio", 0.0))
    .BalancingMode(aRoot.value("balancing", "load") == "completion" ? Balancing::Completion
                                                                    : Balancing::Load)
    .OverloadControl(aRoot.value("overload_control", false));
  return builder;
}

} // namespace
} // namespace impl

tl::expected<Settings, Faults>
ParseSettings(const std::string& aSource, std::string_view aText)
{
  static const JsonSchema kSchema(impl::kSettingsSchema);
  const auto text = JsonText::Parse(aSource, aText);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  auto faults = text->Check(kSchema);
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  impl::AddressReader reader(*text);
  const auto builder = impl::MakeSettingsBuilder(aSource, text->Root(), reader);
  if (!reader.FoundFaults().empty()) {
    return tl::make_unexpected(reader.FoundFaults());
  }
  auto settings = builder.Build();
  if (settings) {
    return settings;
  }
  Faults located;
  for (const auto& fault : settings.error()) {
    located.push_back(text->MakeFaultAt(fault.path_, "expected " + fault.description_));
  }
  return tl::make_unexpected(std::move(located));
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

} // namespace geraniumpin
