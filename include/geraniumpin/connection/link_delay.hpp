#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <cstdint>
#include <map>

namespace geraniumpin {

/// \brief Estimates how much longer than usual a message was on its way.
///
/// Answers the load pattern "held up link": a request that arrives late has less time left than its
/// sender wrote into it. Clocks of two nodes are not compared; only the difference between their
/// readings is followed, and its lowest value counts as the usual way.
class LinkDelay
{
public:
  /// Rate at which the lowest difference is drift, for clocks that run at different speeds.
  static constexpr double kMaxClockDrift = 0.0002;

  /// \brief Takes in a message.
  /// \param aSentAt Reading of the sender's clock; 0: unknown.
  /// \returns The delay beyond the usual; 0 for the first message of an incarnation.
  [[nodiscard]] Duration OnMessage(const NodeAddress& aSender,
                                   std::uint64_t aIncarnation,
                                   Duration aSentAt,
                                   TimePoint aNow);

private:
  struct Link
  {
    std::uint64_t incarnation_ = 0;
    Duration minDifference_{}; ///< difference between the readings
    TimePoint lastContactAt_;
  };

  std::map<NodeAddress, Link> links_;
};

} // namespace geraniumpin
