#pragma once

#include "geraniumpin/process/response_times.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/request/hedge_policy.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief When requests of an entry node are hedged: response times, budgets and due times.
class Hedging
{
public:
  /// \param aRatio Share of a service's requests that may be hedged; 0: none.
  explicit Hedging(double aRatio) noexcept
    : ratio_(aRatio)
  {
  }

  [[nodiscard]] double Ratio() const noexcept { return ratio_; }

  /// \brief Counts a request of a service.
  void OnRequest(const std::string& aService);

  /// \brief Records the time of a response that an instance gave.
  void OnResponse(const std::string& aRoute, Duration aElapsed, TimePoint aNow);

  /// \brief Schedules the decision about a request whose first attempt was just sent; has no effect
  /// if the response times of its route are not known.
  void Schedule(const CallId& aId, const std::string& aRoute, TimePoint aNow);

  /// \brief Removes the scheduled decision of a request.
  void Cancel(const CallId& aId);

  /// \brief Returns the requests whose decision is due, and removes them.
  [[nodiscard]] std::vector<CallId> TakeDue(TimePoint aNow);

  /// \brief The time at which TakeDue must be called at the latest; nothing if none is scheduled.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  [[nodiscard]] bool AllowsHedge(const std::string& aService) const;

  /// \brief Takes a hedge from the budget of a service.
  void OnHedge(const std::string& aService);

private:
  double ratio_;
  ResponseTimeTable times_;
  std::map<std::string, HedgeBudget> budgets_; ///< by service
  std::set<std::pair<TimePoint, CallId>> due_;
  std::map<CallId, TimePoint> dueAt_;
};

} // namespace geraniumpin
