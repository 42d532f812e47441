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
struct SilenceLimits
{
  const Duration untilAsked_{};
  const Duration untilSilent_{};

  auto operator<=>(const SilenceLimits&) const = default;
};

/// \brief Derives the limits for one request.
///
/// Answers the load pattern "small machines": an owner that does its work says nothing until the
/// instance has answered, and a busy one replies late, so both limits follow the request.
/// \param aExpected Usual time at the instance; 0: unknown.
/// \param aTarget Target latency of the route; 0: none.
[[nodiscard]] SilenceLimits
SilenceLimitsOf(Duration aExpected, Duration aTarget) noexcept;

/// \brief What to do about an owner that has a request.
enum class SilenceStep
{
  Wait,
  Ask,   ///< ask the owner for a sign of life
  Silent ///< it was asked and did not reply
};

/// \brief Finds owners that have gone silent while they hold requests.
///
/// \code
/// watch.Begin(id, now + limits.untilAsked_);
/// for (const auto& id : watch.TakeDue(now)) { auto step = watch.Judge(owner, facts, now); }
/// \endcode
class SilenceWatch
{
public:
  /// \brief Plans the next look at a request; the last plan of each request counts.
  void Begin(const CallId& aId, TimePoint aAt);

  /// \brief Forgets a request.
  void End(const CallId& aId);

  /// \brief Takes the requests to look at now.
  [[nodiscard]] std::vector<CallId> TakeDue(TimePoint aNow);

  /// \brief What decides about an owner.
  struct Facts
  {
    const TimePoint sentAt_;     ///< when the request went to the owner
    const bool heard_ = false;   ///< something came from the owner since
    const Duration untilSilent_; ///< time that the owner has for its reply
  };

  /// \brief Decides what to do; notes when the owner is asked.
  [[nodiscard]] SilenceStep Judge(const NodeAddress& aOwner, const Facts& aFacts, TimePoint aNow);

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

private:
  std::map<CallId, TimePoint> planned_;
  std::set<std::pair<TimePoint, CallId>> order_;
  std::map<NodeAddress, TimePoint> askedAt_;
};

} // namespace geraniumpin
