#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/owner_room.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace geraniumpin {

/// \brief Measures at an owner node which ranks it has capacity for, from what it admitted.
///
/// \code
/// tracker.Record(rank, isAdmitted, now);
/// reply.room_ = tracker.Room(expectedWait, now);
/// \endcode
class RoomTracker
{
public:
  /// Time in which the weight of a request halves: some service times, so that the statement covers
  /// several requests of each rank and follows a burst.
  static constexpr std::chrono::milliseconds kHalfLife{ 150 };
  /// Weight below which a rank states nothing.
  static constexpr double kMinWeight = 0.5;
  /// Share of refused requests below which a rank counts as admitted.
  static constexpr double kMinRefusedShare = 0.02;
  /// Ranks that are counted at the same time; the one with the least weight makes room.
  static constexpr std::size_t kMaxRanks = 32;

  /// \brief Counts a request that was admitted or refused for lack of capacity.
  void Record(std::uint32_t aRank, bool aIsAdmitted, TimePoint aNow);

  /// \brief Returns the most urgent rank of which requests were refused, with the share that was
  /// admitted; all ranks if none was.
  /// \param aExpectedWait Time until a new request could start.
  [[nodiscard]] OwnerRoom Room(Duration aExpectedWait, TimePoint aNow) const;

private:
  struct Counts
  {
    double offered_ = 0;
    double admitted_ = 0;
    TimePoint countedAt_{};
  };

  [[nodiscard]] static double Decay(Duration aElapsed) noexcept;

  std::map<std::uint32_t, Counts> ranks_;
};

} // namespace geraniumpin
