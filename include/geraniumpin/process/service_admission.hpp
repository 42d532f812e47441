#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/owner_room.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace geraniumpin {

/// \brief Share of the requests of one rank that an entry node admits to a service.
///
/// The level moves towards the one at which the owners would admit nearly all of what they get.
/// Each step covers a part of the difference only, since the statements of the owners lag behind,
/// and nodes that receive the same statements at the same time would oscillate otherwise.
class AdmissionLevel
{
public:
  static constexpr std::chrono::milliseconds kInterval{ 100 };
  /// Part of the difference that a reduction covers: statements lag by about two intervals.
  static constexpr double kReductionGain = 0.15;
  /// Factor and addend of an increase: back from the lowest level within 2.5 s.
  static constexpr double kIncreaseFactor = 1.08;
  static constexpr double kIncrease = 0.01;
  /// Share of the requests that owners should admit: a few refusals show that capacity is used up.
  static constexpr double kTargetShare = 0.9;
  /// Admitted share above which the level rises.
  static constexpr double kIncreaseShare = 0.95;
  /// Lowest level: these requests show when there is capacity again, and no rank starves.
  static constexpr double kMinLevel = 0.1;

  /// \brief Adapts the level.
  /// \param aAdmittedShare Share of the rank's requests that the owners admit.
  [[nodiscard]] AdmissionLevel After(double aAdmittedShare, TimePoint aNow) const noexcept;

  [[nodiscard]] double Level() const noexcept { return level_; }

  auto operator<=>(const AdmissionLevel&) const = default;

private:
  double level_ = 1;
  TimePoint changedAt_{};
};

/// \brief Decides at an entry node which requests of a service are refused at once, from what the
/// owners of its instances state.
///
/// For the load pattern "demand beyond capacity": without it a request travels to an owner, is
/// refused, and travels to the next one, which costs the nodes more than serving it.
///
/// \code
/// admission.OnRoom(owner, slots, room, now);
/// if (!admission.Admits(rank, position, now)) { ... }
/// \endcode
class ServiceAdmission
{
public:
  /// Age from which a statement is ignored; without any the service admits everything.
  static constexpr std::chrono::milliseconds kMaxAge{ 1000 };
  /// Age at which the weight of a statement has halved: an entry node has statements of all ages,
  /// since it sends few requests to each owner.
  static constexpr std::chrono::milliseconds kStatementHalfLife{ 100 };
  /// Admitted share below which a request that an owner refused is not sent to another one.
  static constexpr double kMinRetryShare = 0.5;
  /// Owners and ranks with stored state.
  static constexpr std::size_t kMaxOwners = 512;
  static constexpr std::size_t kMaxRanks = 32;

  /// \brief Stores what an owner stated.
  /// \param aSlots Weight of the owner: the requests that its instance can run at once.
  void OnRoom(const NodeAddress& aOwner,
              std::uint32_t aSlots,
              const OwnerRoom& aRoom,
              TimePoint aNow);

  /// \brief Returns the share of the rank's requests that the owners admit; 1 if none has stated
  /// its capacity lately.
  [[nodiscard]] double AdmittedShare(std::uint32_t aRank, TimePoint aNow) const;

  /// \brief Decides about a request.
  /// \param aPosition Position of its caller in the order of the callers, from 0 to 1; those with
  /// low positions are admitted.
  [[nodiscard]] bool Admits(std::uint32_t aRank, double aPosition, TimePoint aNow);

  /// \brief Returns true if a request that an owner refused may be sent to another one.
  [[nodiscard]] bool AllowsRetry(std::uint32_t aRank, TimePoint aNow) const
  {
    return AdmittedShare(aRank, aNow) >= kMinRetryShare;
  }

  /// \brief Returns true if any rank is refused by some owner or by the level.
  [[nodiscard]] bool IsRefusing(TimePoint aNow) const;

  /// \brief Returns the level of a rank, from 0 to 1.
  [[nodiscard]] double Level(std::uint32_t aRank) const;

  /// \brief Returns the shortest time until an owner has capacity again.
  [[nodiscard]] Duration RoomAfter(TimePoint aNow) const;

private:
  struct Statement
  {
    OwnerRoom room_;
    std::uint32_t slots_ = 0;
    TimePoint receivedAt_{};
  };

  [[nodiscard]] static double WeightOf(const Statement& aStatement, TimePoint aNow) noexcept;
  [[nodiscard]] static double ShareOf(const OwnerRoom& aRoom, std::uint32_t aRank) noexcept;

  std::map<NodeAddress, Statement> owners_;
  std::map<std::uint32_t, AdmissionLevel> levels_; ///< by rank
};

} // namespace geraniumpin
