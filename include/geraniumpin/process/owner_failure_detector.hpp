#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Timeouts of an entry node for the owner of a request.
struct OwnerTimeouts
{
  const Duration probeDelay_{};   ///< time from the request to the liveness probe
  const Duration replyTimeout_{}; ///< time from the probe until the owner is unresponsive

  auto operator<=>(const OwnerTimeouts&) const = default;
};

/// \brief Computes the timeouts for one request.
///
/// For the load pattern "small machines": an owner sends nothing while the instance works on the
/// request, and a busy owner replies late, so the timeouts depend on the request.
/// \param aExpected Expected service time at the instance; 0: unknown.
/// \param aTarget Target latency of the route; 0: none.
[[nodiscard]] OwnerTimeouts
ComputeOwnerTimeouts(Duration aExpected, Duration aTarget) noexcept;

/// \brief State of an owner that has a request.
enum class OwnerStatus
{
  Pending,     ///< responsive, or the reply to the probe is not due yet
  ProbeDue,    ///< send a liveness probe
  Unresponsive ///< no reply to the probe in time
};

/// \brief Detects unresponsive owners of requests in flight.
///
/// \code
/// detector.ScheduleCheck(id, now + limits.probeDelay_);
/// for (const auto& id : detector.TakeDue(now)) {
///   const auto status = detector.Evaluate(owner, inputs, now);
/// }
/// \endcode
class OwnerFailureDetector
{
public:
  /// \brief Schedules the next check of a request; replaces an earlier one.
  void ScheduleCheck(const CallId& aId, TimePoint aAt);

  /// \brief Cancels the check of a request, if there is one.
  void CancelCheck(const CallId& aId);

  /// \brief Removes and returns the requests whose check is due.
  [[nodiscard]] std::vector<CallId> TakeDue(TimePoint aNow);

  /// \brief Inputs of Evaluate.
  struct Inputs
  {
    const TimePoint sentAt_;        ///< when the request was sent to the owner
    const bool hadContact_ = false; ///< a message of the owner arrived since
    const Duration replyTimeout_;   ///< longest wait for the reply to a probe
  };

  /// \brief Evaluates an owner; if it returns ProbeDue, the caller must send the probe now.
  [[nodiscard]] OwnerStatus Evaluate(const NodeAddress& aOwner,
                                     const Inputs& aInputs,
                                     TimePoint aNow);

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

private:
  std::map<CallId, TimePoint> checkAt_;
  std::set<std::pair<TimePoint, CallId>> schedule_;
  std::map<NodeAddress, TimePoint> probedAt_;
};

} // namespace geraniumpin
