/// \brief Compares concurrency controllers on a cold backend server, and queues on a greedy team.

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
constexpr double kColdShare = 0.25;
constexpr double kServiceSeconds = 0.01;
constexpr double kSeconds = 30;

/// Keeps the limit at the slots of the document.
class FixedController
{
public:
  [[nodiscard]] double Limit() const noexcept { return limit_; }
  [[nodiscard]] FixedController After(const WorkSample& /*aSample*/) const noexcept
  {
    return *this;
  }
  [[nodiscard]] FixedController WithCeiling(std::uint32_t aMost) const noexcept
  {
    auto next = *this;
    next.limit_ = aMost;
    return next;
  }

private:
  double limit_ = 1;
};

/// A backend server that is cold at first and again in the middle, unannounced.
struct ColdServer
{
  [[nodiscard]] static double Borne(double aSecond)
  {
    const bool cold = aSecond < 4 || (aSecond >= 15 && aSecond < 19);
    return cold ? kSlots * kColdShare : kSlots;
  }
};

struct Job
{
  std::string team_;
  TimePoint arrivedAt_;
};

struct Result
{
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::size_t shed_ = 0;
  std::size_t overloaded_ = 0; ///< started while the server ran more than it bears
  std::size_t started_ = 0;
  std::map<std::string, std::vector<double>> latencies_;
  std::map<std::string, std::size_t> offered_;
  std::map<std::string, std::size_t> answeredBy_;
};

/// Offers Poisson arrivals of each team to an admission in front of the server.
template<class Controller>
class Trial
{
public:
  Trial(std::map<std::string, double> aRates, bool aCold)
    : rates_(std::move(aRates))
    , cold_(aCold)
    , admission_(static_cast<std::uint32_t>(kSlots))
  {
  }

  /// \param aOneQueue All teams share one queue, first in, first out.
  Result Run(bool aOneQueue)
  {
    oneQueue_ = aOneQueue;
    int ticket = 0;
    for (const auto& [team, rate] : rates_) {
      std::exponential_distribution<double> gap(rate);
      for (double at = gap(random_); at < kSeconds; at += gap(random_)) {
        const int id = ++ticket;
        const auto name = team;
        timeline_.At(TimePoint(Seconds(at)), [this, id, name] { Arrive(id, name); });
      }
    }
    timeline_.Run();
    return result_;
  }

private:
  void Arrive(int aId, const std::string& aTeam)
  {
    const auto now = timeline_.Now();
    jobs_[aId] = { aTeam, now };
    ++result_.offered_[aTeam];
    const QueuedWork<int> work{
      aId, oneQueue_ ? "all" : aTeam, Seconds(kServiceSeconds), now + std::chrono::seconds(1)
    };
    const auto admitted = admission_.Offer(work, now);
    if (!admitted) {
      ++result_.refused_;
    } else if (*admitted == Admitted::Start) {
      Start(aId);
    }
    // A queued request ends at its deadline at the latest.
    timeline_.At(work.deadline_, [this] { Act(admission_.Advance(timeline_.Now())); });
  }

  void Start(int aId)
  {
    const auto startedAt = timeline_.Now();
    const double second = std::chrono::duration<double>(startedAt.time_since_epoch()).count();
    const double borne = cold_ ? ColdServer::Borne(second) : kSlots;
    const auto running = static_cast<double>(running_.size()) + 1;
    ++result_.started_;
    if (running > 2 * borne) {
      ++result_.shed_;
      End(aId, WorkResult::Shed, startedAt);
      return;
    }
    result_.overloaded_ += running > borne ? 1 : 0;
    running_.insert(aId);
    const double stretch = std::max(1.0, running / borne);
    timeline_.At(startedAt + Seconds(kServiceSeconds * stretch), [this, aId, startedAt] {
      running_.erase(aId);
      const auto& job = jobs_.at(aId);
      const std::chrono::duration<double, std::milli> took = timeline_.Now() - job.arrivedAt_;
      result_.latencies_[job.team_].push_back(took.count());
      ++result_.answeredBy_[job.team_];
      ++result_.answered_;
      End(aId, WorkResult::Success, startedAt);
    });
  }

  void End(int /*aId*/, WorkResult aResult, TimePoint aStartedAt)
  {
    Act(admission_.OnEnd(aResult, aStartedAt, timeline_.Now()));
  }

  void Act(const AdmissionActions<int>& aActions)
  {
    result_.refused_ += aActions.expired_.size();
    for (const int id : aActions.start_) {
      Start(id);
    }
  }

  std::map<std::string, double> rates_;
  bool cold_;
  bool oneQueue_ = false;
  Admission<int, Controller> admission_;
  Timeline timeline_;
  std::mt19937_64 random_{ 1 };
  std::map<int, Job> jobs_;
  std::set<int> running_;
  Result result_;
};

template<class Controller>
void
PrintCold(const char* aName)
{
  const auto result = Trial<Controller>({ { "t1", 300 }, { "t2", 300 } }, true).Run(false);
  const auto total = static_cast<double>(result.started_ + result.refused_);
  std::printf(
    "  %-10s started beyond what it bears %.4f, shed %.4f, answered %.4f of the offered\n",
    aName,
    static_cast<double>(result.overloaded_) / static_cast<double>(result.started_),
    static_cast<double>(result.shed_) / static_cast<double>(result.started_),
    static_cast<double>(result.answered_) / total);
}

void
PrintFairness(const char* aName, bool aOneQueue)
{
  // Capacity 900 a second; four teams of 150 and one that sends five times its 200.
  const auto result =
    Trial<AimdController>(
      { { "a", 150 }, { "b", 150 }, { "c", 150 }, { "d", 150 }, { "greedy", 1000 } }, false)
      .Run(aOneQueue);
  double worst = 1;
  double slowest = 0;
  for (const std::string team : { "a", "b", "c", "d" }) {
    worst = std::min(worst,
                     static_cast<double>(result.answeredBy_.at(team)) /
                       static_cast<double>(result.offered_.at(team)));
    slowest = std::max(slowest, Quantile(result.latencies_.at(team), 0.99));
  }
  std::printf("  %-20s worst-served team answered %.4f, its p99 %.1f ms, greedy team %.4f\n",
              aName,
              worst,
              slowest,
              static_cast<double>(result.answeredBy_.at("greedy")) /
                static_cast<double>(result.offered_.at("greedy")));
}

} // namespace

void
BenchAdmission()
{
  std::printf("a backend server of 9 slots, cold at 0-4 s and, unannounced, at 15-19 s\n");
  PrintCold<FixedController>("fixed");
  PrintCold<GradientController>("gradient");
  PrintCold<AimdController>("aimd");
  std::printf("one team at five times its rate beside four small ones\n");
  PrintFairness("first in, first out", true);
  PrintFairness("deficit round robin", false);
}

} // namespace geraniumpin::bench
