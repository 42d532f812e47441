#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <cstdint>
#include <map>

namespace geraniumpin {

/// \brief Estimates the delay of a message beyond the shortest transit time of its link.
///
/// For the load pattern "held up link": a request that arrives late has less time left than its
/// sender wrote into it. Clocks of two nodes are not compared: only the difference between their
/// readings is tracked, and its minimum is taken as that of an undelayed message.
class LinkDelay
{
public:
  /// Rate at which the minimum difference rises, since the two clocks may run at different speeds.
  static constexpr double kMaxClockDrift = 0.0002;

  /// \brief Records a message and estimates its delay.
  /// \param aSentAt Reading of the sender's clock; 0: unknown.
  /// \returns The delay; 0 for the first message of an incarnation or if aSentAt is unknown.
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
