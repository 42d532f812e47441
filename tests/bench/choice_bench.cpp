/// \brief Compares policies to choose an instance while one instance is slow and one failure domain
/// goes out of service.

#include "benches.hpp"

#include "bench_support.hpp"
#include "geraniumpin/request/instance_choice.hpp"

#include <cstdio>
#include <random>

namespace geraniumpin::bench {

namespace {

constexpr std::size_t kInstances = 6;
constexpr double kSlots = 6;
constexpr double kServiceSeconds = 0.01;
constexpr double kRunSeconds = 20;
constexpr double kRatePerSecond = 1600; // all instances together can serve 3,600
constexpr double kReplyDelaySeconds = 0.001;

enum class Policy
{
  Random,
  RoundRobin,
  TwoChoices
};

struct Instance
{
  double running_ = 0;
  LoadReport loadReport_; ///< the last one that reached the entry node
};

class ChoiceSimulation
{
public:
  explicit ChoiceSimulation(Policy aPolicy)
    : policy_(aPolicy)
    , instances_(kInstances)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      servers_.push_back(
        { .name_ = std::to_string(i), .failureDomain_ = std::to_string(i / 2), .node_ = {} });
    }
  }

  std::vector<double> Run()
  {
    std::exponential_distribution<double> gap(kRatePerSecond);
    for (double at = gap(random_); at < kRunSeconds; at += gap(random_)) {
      timeline_.Schedule(TimePoint(Seconds(at)), [this] { OnArrival(); });
    }
    timeline_.Run();
    return latencies_;
  }

private:
  /// One failure domain is out of service in the third quarter.
  [[nodiscard]] bool InService(std::size_t aIndex) const
  {
    const double second = std::chrono::duration<double>(timeline_.Now().time_since_epoch()).count();
    const bool outOfService = second >= kRunSeconds / 2 && second < kRunSeconds * 3 / 4;
    return !outOfService || aIndex / 2 != 2;
  }

  [[nodiscard]] std::size_t Choose()
  {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (InService(i)) {
        candidates.push_back({ &servers_[i], instances_[i].loadReport_, true });
      }
    }
    if (policy_ == Policy::TwoChoices) {
      return static_cast<std::size_t>(ChooseInstance(candidates, 0, random_) - servers_.data());
    }
    const auto index = policy_ == Policy::Random ? DrawIndex(random_, candidates.size())
                                                 : ++roundRobinCounter_ % candidates.size();
    return static_cast<std::size_t>(candidates[index].backendServer_ - servers_.data());
  }

  void OnArrival()
  {
    const auto index = Choose();
    auto& instance = instances_[index];
    instance.running_ += 1;
    const double serviceTimeFactor = index == 0 ? 4 : 1;
    const double overloadFactor = std::max(1.0, instance.running_ / kSlots);
    const auto arrivedAt = timeline_.Now();
    const auto end = arrivedAt + Seconds(kServiceSeconds * serviceTimeFactor * overloadFactor);
    timeline_.Schedule(end, [this, index, arrivedAt] {
      auto& ended = instances_[index];
      ended.running_ -= 1;
      const double load = ended.running_ / kSlots;
      const std::chrono::duration<double, std::milli> elapsed = timeline_.Now() - arrivedAt;
      latencies_.push_back(elapsed.count());
      timeline_.Schedule(timeline_.Now() + Seconds(kReplyDelaySeconds), [this, index, load] {
        instances_[index].loadReport_ = { load, true };
      });
    });
  }

  Policy policy_;
  std::vector<Instance> instances_;
  std::vector<BackendServer> servers_;
  std::size_t roundRobinCounter_ = 0;
  Timeline timeline_;
  std::mt19937_64 random_{ 1 };
  std::vector<double> latencies_;
};

} // namespace

void
BenchChoice()
{
  std::printf(
    "6 instances, one four times slower, one failure domain out of service for a quarter\n");
  const auto best = Quantile(ChoiceSimulation(Policy::TwoChoices).Run(), 0.99);
  for (const auto& [name, policy] : { std::pair("random", Policy::Random),
                                      std::pair("round robin", Policy::RoundRobin),
                                      std::pair("two choices by load", Policy::TwoChoices) }) {
    const auto latencies = ChoiceSimulation(policy).Run();
    std::printf("  %-20s p50 %6.1f ms, p99 %7.1f ms (x%.2f of two choices)\n",
                name,
                Quantile(latencies, 0.5),
                Quantile(latencies, 0.99),
                Quantile(latencies, 0.99) / best);
  }
}

} // namespace geraniumpin::bench
