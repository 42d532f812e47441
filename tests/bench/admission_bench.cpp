/// \brief Compares concurrency controllers on a cold backend server, and queue disciplines with a
/// team that exceeds its rate.

#include "benches.hpp"

#include "bench_support.hpp"
#include "geraniumpin/process/admission.hpp"

#include <cstdio>
#include <map>
#include <random>
#include <set>

namespace geraniumpin::bench {

namespace {

constexpr double kSlots = 9;
constexpr double kColdCapacityRatio = 0.25;
constexpr double kServiceSeconds = 0.01;
constexpr double kRunSeconds = 30;

/// Baseline: the limit always equals the slots of the document.
class FixedController
{
public:
  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] FixedController After(const WorkSample& /*aSample*/) const noexcept
  {
    return *this;
  }
  [[nodiscard]] FixedController WithCeiling(std::uint32_t aMax) const noexcept
  {
    auto next = *this;
    next.limit_ = aMax;
    return next;
  }

private:
  double limit_ = 1;
};

/// A backend server that is cold after the start and once more later, without reporting it.
struct ColdServer
{
  /// \brief Returns the number of requests that it runs at full speed, at a time in seconds.
  [[nodiscard]] static double Capacity(double aSecond)
  {
    const bool cold = aSecond < 4 || (aSecond >= 15 && aSecond < 19);
    return cold ? kSlots * kColdCapacityRatio : kSlots;
  }
};

struct Arrival
{
  std::string team_;
  TimePoint arrivedAt_;
};

struct Result
{
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::size_t shed_ = 0;
  std::size_t startedOverCapacity_ = 0; ///< started while more requests ran than the capacity
  std::size_t started_ = 0;
  std::map<std::string, std::vector<double>> latenciesByTeam_;
  std::map<std::string, std::size_t> offeredByTeam_;
  std::map<std::string, std::size_t> answeredByTeam_;
};

/// Sends Poisson arrivals of each team through an admission to one backend server.
template<class Controller>
class AdmissionSimulation
{
public:
  AdmissionSimulation(std::map<std::string, double> aRates, bool aCold)
    : rates_(std::move(aRates))
    , cold_(aCold)
    , admission_(static_cast<std::uint32_t>(kSlots))
  {
  }

  /// \param aSharedQueue True if all teams share one first-in, first-out queue.
  Result Run(bool aSharedQueue)
  {
    sharedQueue_ = aSharedQueue;
    int lastId = 0;
    for (const auto& [team, rate] : rates_) {
      std::exponential_distribution<double> gap(rate);
      for (double at = gap(random_); at < kRunSeconds; at += gap(random_)) {
        const int id = ++lastId;
        const auto name = team;
        timeline_.Schedule(TimePoint(Seconds(at)), [this, id, name] { OnArrival(id, name); });
      }
    }
    timeline_.Run();
    return result_;
  }

private:
  void OnArrival(int aId, const std::string& aTeam)
  {
    const auto now = timeline_.Now();
    arrivals_[aId] = { aTeam, now };
    ++result_.offeredByTeam_[aTeam];
    const QueuedWork<int> work{
      aId, sharedQueue_ ? "all" : aTeam, Seconds(kServiceSeconds), now + std::chrono::seconds(1)
    };
    const auto admitted = admission_.Admit(work, now);
    if (!admitted) {
      ++result_.refused_;
    } else if (*admitted == AdmissionResult::Start) {
      Start(aId);
    }
    // Expires the request at its deadline if it is still queued.
    timeline_.Schedule(work.deadline_,
                       [this] { ExecuteActions(admission_.Advance(timeline_.Now())); });
  }

  void Start(int aId)
  {
    const auto startedAt = timeline_.Now();
    const double second = std::chrono::duration<double>(startedAt.time_since_epoch()).count();
    const double capacity = cold_ ? ColdServer::Capacity(second) : kSlots;
    const auto running = static_cast<double>(running_.size()) + 1;
    ++result_.started_;
    if (running > 2 * capacity) {
      ++result_.shed_;
      OnCompletion(aId, WorkResult::Shed, startedAt);
      return;
    }
    result_.startedOverCapacity_ += running > capacity ? 1 : 0;
    running_.insert(aId);
    const double overloadFactor = std::max(1.0, running / capacity);
    timeline_.Schedule(startedAt + Seconds(kServiceSeconds * overloadFactor),
                       [this, aId, startedAt] {
                         running_.erase(aId);
                         const auto& arrival = arrivals_.at(aId);
                         const std::chrono::duration<double, std::milli> elapsed =
                           timeline_.Now() - arrival.arrivedAt_;
                         result_.latenciesByTeam_[arrival.team_].push_back(elapsed.count());
                         ++result_.answeredByTeam_[arrival.team_];
                         ++result_.answered_;
                         OnCompletion(aId, WorkResult::Success, startedAt);
                       });
  }

  void OnCompletion(int /*aId*/, WorkResult aResult, TimePoint aStartedAt)
  {
    ExecuteActions(admission_.OnEnd(aResult, aStartedAt, timeline_.Now()));
  }

  void ExecuteActions(const AdmissionActions<int>& aActions)
  {
    result_.refused_ += aActions.expired_.size();
    for (const int id : aActions.start_) {
      Start(id);
    }
  }

  std::map<std::string, double> rates_;
  bool cold_;
  bool sharedQueue_ = false;
  Admission<int, Controller> admission_;
  Timeline timeline_;
  std::mt19937_64 random_{ 1 };
  std::map<int, Arrival> arrivals_;
  std::set<int> running_;
  Result result_;
};

template<class Controller>
void
PrintColdServer(const char* aName)
{
  const auto result =
    AdmissionSimulation<Controller>({ { "t1", 300 }, { "t2", 300 } }, true).Run(false);
  const auto total = static_cast<double>(result.started_ + result.refused_);
  std::printf("  %-10s started over capacity %.4f, shed %.4f, answered %.4f of the offered\n",
              aName,
              static_cast<double>(result.startedOverCapacity_) /
                static_cast<double>(result.started_),
              static_cast<double>(result.shed_) / static_cast<double>(result.started_),
              static_cast<double>(result.answered_) / total);
}

void
PrintFairness(const char* aName, bool aSharedQueue)
{
  // The capacity is 900 requests per second; four teams send 150 and one sends five times its 200.
  const auto result =
    AdmissionSimulation<AimdController>(
      { { "a", 150 }, { "b", 150 }, { "c", 150 }, { "d", 150 }, { "greedy", 1000 } }, false)
      .Run(aSharedQueue);
  double minAnsweredRatio = 1;
  double maxP99Ms = 0;
  for (const std::string team : { "a", "b", "c", "d" }) {
    minAnsweredRatio = std::min(minAnsweredRatio,
                                static_cast<double>(result.answeredByTeam_.at(team)) /
                                  static_cast<double>(result.offeredByTeam_.at(team)));
    maxP99Ms = std::max(maxP99Ms, Quantile(result.latenciesByTeam_.at(team), 0.99));
  }
  std::printf("  %-20s worst-served team answered %.4f, its p99 %.1f ms, greedy team %.4f\n",
              aName,
              minAnsweredRatio,
              maxP99Ms,
              static_cast<double>(result.answeredByTeam_.at("greedy")) /
                static_cast<double>(result.offeredByTeam_.at("greedy")));
}

} // namespace

void
BenchAdmission()
{
  std::printf("a backend server of 9 slots, cold at 0-4 s and, without a report, at 15-19 s\n");
  PrintColdServer<FixedController>("fixed");
  PrintColdServer<GradientController>("gradient");
  PrintColdServer<AimdController>("aimd");
  std::printf("one team at five times its rate beside four small ones\n");
  PrintFairness("first in, first out", true);
  PrintFairness("deficit round robin", false);
}

} // namespace geraniumpin::bench
