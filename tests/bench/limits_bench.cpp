/// \brief Compares how many conforming requests team limits refuse: leases between nodes, a static
/// division, and one central bucket, which has no protection against failures.

#include "benches.hpp"

#include "../support/fake_mesh.hpp"
#include "bench_support.hpp"

#include <cstdio>

namespace geraniumpin::bench {

namespace {

using namespace geraniumpin::test;

constexpr double kRatePerSecond = 90;
constexpr int kBurst = 45;
constexpr int kRunSeconds = 40;

struct Arrival
{
  Duration at_;
  std::size_t node_;
};

/// Returns arrivals that one bucket for all nodes would accept in full.
///
/// \param aLoad Arrivals before the bucket, as a fraction of the rate.
/// \param aSkew Fraction of the arrivals that go to the first failure domain only.
std::vector<Arrival>
MakeConformingArrivals(double aLoad, double aSkew, std::size_t aNodes, std::mt19937_64& aRandom)
{
  std::vector<Arrival> arrivals;
  std::exponential_distribution<double> gap(kRatePerSecond * aLoad);
  TokenBucket bucket(kRatePerSecond, kBurst);
  for (double at = gap(aRandom); at < kRunSeconds; at += gap(aRandom)) {
    const bool skewed = DrawFraction(aRandom) < aSkew;
    const auto node = skewed ? DrawIndex(aRandom, aNodes / 3) : DrawIndex(aRandom, aNodes);
    if (bucket.TryTake(TimePoint(Seconds(at)))) {
      arrivals.push_back({ Seconds(at), node });
    }
  }
  return arrivals;
}

double
ComputeStaticRefusalRatio(const std::vector<Arrival>& aArrivals, std::size_t aNodes)
{
  const auto nodeCount = static_cast<double>(aNodes);
  std::vector<TokenBucket> buckets(aNodes,
                                   TokenBucket(kRatePerSecond / nodeCount, kBurst / nodeCount));
  std::size_t refused = 0;
  for (const auto& arrival : aArrivals) {
    refused += buckets[arrival.node_].TryTake(TimePoint(arrival.at_)) ? 0 : 1;
  }
  return static_cast<double>(refused) / static_cast<double>(aArrivals.size());
}

double
ComputeLeaseRefusalRatio(const std::vector<Arrival>& aArrivals, std::uint64_t aSeed)
{
  FakeMesh mesh(aSeed);
  const auto nodes = StartAll(mesh,
                              { .domains_ = 3,
                                .nodesPerDomain_ = 3,
                                .rate_ = kRatePerSecond,
                                .burst_ = kBurst,
                                .slots_ = 1000 });
  mesh.Run(std::chrono::seconds(5));
  std::vector<CallId> ids;
  for (const auto& arrival : aArrivals) {
    mesh.At(arrival.at_, [&mesh, &nodes, &ids, arrival] {
      ids.push_back(mesh.Call(nodes[arrival.node_], "small", "GET"));
    });
  }
  mesh.Run(std::chrono::seconds(kRunSeconds + 3));
  std::size_t refused = 0;
  for (const auto& id : ids) {
    refused += mesh.answers_.at(id).outcome_ == Outcome::Answered ? 0 : 1;
  }
  return static_cast<double>(refused) / static_cast<double>(ids.size());
}

} // namespace

void
BenchLimits()
{
  std::printf(
    "refused fraction of requests inside the rate (9 nodes in 3 failure domains; a central "
    "bucket refuses none of them)\n");
  std::printf("  %-34s %10s %10s\n", "arrivals", "leases", "static");
  for (const double load : { 0.1, 0.6, 0.95 }) {
    for (const double skew : { 0.0, 0.9 }) {
      std::mt19937_64 random(1);
      const auto arrivals = MakeConformingArrivals(load, skew, 9, random);
      std::printf("  %.2f of the rate, %.0f%% at one domain %9.4f %10.4f\n",
                  load,
                  100 * (skew + (1 - skew) / 3),
                  ComputeLeaseRefusalRatio(arrivals, 1),
                  ComputeStaticRefusalRatio(arrivals, 9));
    }
  }
}

} // namespace geraniumpin::bench
