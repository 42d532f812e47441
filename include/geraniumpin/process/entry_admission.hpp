#pragma once

#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/service_admission.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace geraniumpin {

/// \brief A request whose admission an entry node decides.
struct AdmissionRequest
{
  const std::string& service_;
  const std::uint32_t rank_ = 0;
  const double position_ = 0; ///< of the caller in the order of the callers, 0 to 1
  const Duration target_{};   ///< within which a response is useful
};

/// \brief Admission of an entry node to all services, from the replies of their owners.
class EntryAdmission
{
public:
  /// Time for which a route counts as one of calls after an owner stated so.
  static constexpr std::chrono::seconds kCallRouteLifetime{ 10 };
  /// Retry-After of a refused request as a share of its target: a caller that returns then can
  /// still be served in time.
  static constexpr double kRetryAfterShare = 0.2;
  /// Lowest and highest factor of Retry-After, so that callers that are refused together do not
  /// return together.
  static constexpr double kMinSpread = 0.5;
  static constexpr double kMaxSpread = 1.5;
  static constexpr std::size_t kMaxCallRoutes = 64;

  /// \param aIsEnabled False: everything is admitted.
  explicit EntryAdmission(bool aIsEnabled) noexcept
    : isEnabled_(aIsEnabled)
  {
  }

  /// \brief Stores what an owner stated in its reply to a request.
  void OnReply(const std::string& aService,
               const std::string& aRoute,
               const NodeAddress& aOwner,
               std::uint32_t aSlots,
               const CallReply& aReply,
               TimePoint aNow);

  /// \brief Decides about a new request.
  /// \param aSpread From 0 to 1; places the Retry-After of a refused request between its bounds.
  /// \returns The Retry-After of a refused request; nothing if it is admitted.
  [[nodiscard]] std::optional<Duration> Refuse(const AdmissionRequest& aRequest,
                                               double aSpread,
                                               TimePoint aNow);

  /// \brief Returns false if a request that an owner refused should not be sent to another one.
  [[nodiscard]] bool AllowsRetry(const std::string& aService,
                                 std::uint32_t aRank,
                                 TimePoint aNow) const;

  /// \brief Returns true if the service refuses requests of any rank.
  [[nodiscard]] bool IsRefusing(const std::string& aService, TimePoint aNow) const;

  /// \brief Returns true if an owner stated that the requests of the route are calls of backend
  /// servers.
  [[nodiscard]] bool IsCallRoute(const std::string& aRoute, TimePoint aNow) const;

  /// \brief Returns the level of a rank of a service, from 0 to 1.
  [[nodiscard]] double Level(const std::string& aService, std::uint32_t aRank) const;

private:
  bool isEnabled_;
  std::map<std::string, ServiceAdmission> services_;
  std::map<std::string, TimePoint> callRoutes_; ///< when an owner stated it last
};

} // namespace geraniumpin
