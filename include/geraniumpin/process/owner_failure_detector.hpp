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

/// \brief How long an entry node waits for an owner before it asks, and then for the reply.
struct OwnerTimeouts
{
  const Duration probeDelay_{};
  const Duration replyTimeout_{};

  auto operator<=>(const OwnerTimeouts&) const = default;
};

/// \brief Derives the limits for one request.
///
/// Answers the load pattern "small machines": an owner that does its work says nothing until the
/// instance has answered, and a busy one replies late, so both limits follow the request.
/// \param aExpected Usual time at the instance; 0: unknown.
/// \param aTarget Target latency of the route; 0: none.
[[nodiscard]] OwnerTimeouts
ComputeOwnerTimeouts(Duration aExpected, Duration aTarget) noexcept;

/// \brief What to do about an owner that has a request.
enum class OwnerStatus
{
  Pending,
  ProbeDue,    ///< ask the owner for a sign of life
  Unresponsive ///< it was asked and did not reply
};

/// \brief Finds owners that have gone silent while they hold requests.
///
/// \code
/// detector.ScheduleCheck(id, now + limits.probeDelay_);
/// for (const auto& id : detector.TakeDue(now)) { auto step = detector.Evaluate(owner, inputs,
/// now); } \endcode
class OwnerFailureDetector
{
public:
  /// \brief Plans the next look at a request; the last plan of each request counts.
  void ScheduleCheck(const CallId& aId, TimePoint aAt);

  /// \brief Forgets a request.
  void CancelCheck(const CallId& aId);

  /// \brief Takes the requests to look at now.
  [[nodiscard]] std::vector<CallId> TakeDue(TimePoint aNow);

  /// \brief What decides about an owner.
  struct Inputs
  {
    const TimePoint sentAt_;        ///< when the request went to the owner
    const bool hadContact_ = false; ///< something came from the owner since
    const Duration replyTimeout_;   ///< time that the owner has for its reply
  };

  /// \brief Decides what to do; notes when the owner is asked.
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
