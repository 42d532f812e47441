/// \brief Measures time, bytes and memory that configuration takes, by number of instances.

#include "benches.hpp"

#include "../../src/adapters/connection/peer_codec.hpp"
#include "../support/documents.hpp"
#include "geraniumpin/process/dissemination.hpp"
#include "geraniumpin/process/placement_hash.hpp"

#include <chrono>
#include <cstdio>
#include <malloc.h>

namespace geraniumpin::bench {

namespace {

using namespace geraniumpin::test;
using nlohmann::json;

constexpr int kInstancesPerService = 39; // 18,000 instances in 460 services
constexpr int kDomains = 15;
constexpr int kChanges = 30;

std::string
MakeAddress(int aIndex)
{
  return "10." + std::to_string(aIndex / 65025) + "." + std::to_string(aIndex / 255 % 255) + "." +
         std::to_string(aIndex % 255 + 1) + ":7000";
}

json
MakeLargeDocument(int aInstances)
{
  auto document = MakeDocument({ .domains_ = kDomains, .nodesPerDomain_ = 0 });
  for (int service = 0; service * kInstancesPerService < aInstances; ++service) {
    json servers = json::array();
    for (int i = 0; i < kInstancesPerService; ++i) {
      const int index = service * kInstancesPerService + i;
      servers.push_back(
        { { "name", "service-" + std::to_string(service) + "-" + std::to_string(i) },
          { "failure_domain", "zone-" + std::to_string(index % kDomains + 1) },
          { "node", MakeAddress(index) } });
    }
    document["services"].push_back({ { "name", "service-" + std::to_string(service) },
                                     { "slots", 9 },
                                     { "connections", 120 },
                                     { "backend_servers", servers } });
  }
  return document;
}

double
AllocatedMegabytes()
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

double
MillisecondsSince(std::chrono::steady_clock::time_point aSince)
{
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - aSince)
    .count();
}

struct Measurement
{
  double applyAllMs_ = 0;
  double applyChangeMs_ = 0;
  double pushBytes_ = 0;
  double treeMs_ = 0;
  double megabytes_ = 0;
};

Measurement
Measure(int aInstances)
{
  auto document = MakeLargeDocument(aInstances);
  const auto first = Encode(document);
  Measurement measurement;
  // Never freed, so that the measured memory is what a node keeps.
  auto& store = *new VersionStore;
  const auto before = AllocatedMegabytes();
  const auto startedAt = std::chrono::steady_clock::now();
  const JsonPartCodec codec;
  (void)store.Apply(MakeFullDelta(first), codec).value();
  measurement.applyAllMs_ = MillisecondsSince(startedAt);
  measurement.megabytes_ = AllocatedMegabytes() - before;
  for (int change = 0; change < kChanges; ++change) {
    const auto base = store.CurrentId();
    document["version"] = change + 2;
    document["services"][1]["slots"] = 10 + change;
    const auto next = Encode(document);
    const Delta delta{ .from_ = base,
                       .to_ = MakeVersionId(next.manifest_),
                       .changed_ = { { "service/service-0", next.parts_.at("service/service-0") } },
                       .removed_ = {} };
    const Envelope envelope{ .sender_ = NodeAt(1, 1),
                             .senderIncarnation_ = 1,
                             .receiverIncarnation_ = 1,
                             .senderVersion_ = delta.to_,
                             .payload_ = VersionPush{ delta, true } };
    measurement.pushBytes_ = static_cast<double>(EncodeEnvelope(envelope).size());
    const auto changeStartedAt = std::chrono::steady_clock::now();
    const auto decoded = *DecodeEnvelope(EncodeEnvelope(envelope));
    (void)store.Apply(std::get<VersionPush>(decoded.payload_).delta_, codec).value();
    measurement.applyChangeMs_ += MillisecondsSince(changeStartedAt) / kChanges;
  }
  std::vector<NodeAddress> members;
  members.reserve(static_cast<std::size_t>(aInstances / kDomains));
  for (int i = 0; i < aInstances / kDomains; ++i) {
    members.push_back(*NodeAddress::Parse(MakeAddress(i)));
  }
  const auto treeStartedAt = std::chrono::steady_clock::now();
  for (std::uint64_t version = 1; version <= kChanges; ++version) {
    (void)TreeChildren(kPushTree, version, members.front(), members);
  }
  measurement.treeMs_ = MillisecondsSince(treeStartedAt) / kChanges;
  return measurement;
}

} // namespace

void
BenchConfiguration()
{
  std::printf("configuration by number of instances (39 per service, 15 failure domains)\n");
  std::printf("  %9s %13s %15s %12s %12s %12s\n",
              "instances",
              "apply all ms",
              "apply change ms",
              "push bytes",
              "tree ms",
              "memory MB");
  for (const int instances : { 2250, 4500, 9000, 18000 }) {
    const auto measurement = Measure(instances);
    std::printf("  %9d %13.1f %15.2f %12.0f %12.3f %12.1f\n",
                instances,
                measurement.applyAllMs_,
                measurement.applyChangeMs_,
                measurement.pushBytes_,
                measurement.treeMs_,
                measurement.megabytes_);
  }
}

} // namespace geraniumpin::bench
