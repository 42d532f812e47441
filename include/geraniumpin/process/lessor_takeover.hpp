#pragma once

#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/token_lessor.hpp"

#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief Decides when a lessor node may grant tokens without a second lessor beside it.
///
/// A node that gains a duty claims it from every node of its failure domain. It may grant once each
/// of them runs the version of the claim or a later one, or is gone, and one longest lease has
/// passed since. It must itself run the highest version that any of them stated.
class LessorTakeover
{
public:
  static constexpr std::chrono::milliseconds kRepeatInterval{ 300 };

  /// \brief Starts a claim; an earlier one is replaced.
  /// \param aWait Time after the last confirmation in which leases of an earlier lessor end.
  void Begin(std::uint64_t aNumber,
             const std::vector<NodeAddress>& aNodes,
             TimePoint aNow,
             Duration aWait = kLeaseTerm + kLeaseMargin);

  /// \brief Adds nodes that must confirm too, unless they have done so already.
  void RequireConfirmation(const std::vector<NodeAddress>& aNodes);

  /// \brief Takes in the version that a node runs.
  void OnVersion(const NodeAddress& aNode, std::uint64_t aNumber, TimePoint aNow);

  /// \brief Takes in that the platform no longer lists the node's VM.
  void OnGone(const NodeAddress& aNode, TimePoint aNow);

  /// \brief Lists whom to send the claim to now.
  [[nodiscard]] std::vector<NodeAddress> NodesDue(TimePoint aNow);

  /// \brief Says whether the claim has just been completed; true once per claim.
  /// \param aOwnNumber The version that this node runs.
  [[nodiscard]] bool TakeCompletion(std::uint64_t aOwnNumber, TimePoint aNow);

  [[nodiscard]] bool IsActive() const noexcept { return active_; }
  [[nodiscard]] std::uint64_t Number() const noexcept { return number_; }
  [[nodiscard]] const std::set<NodeAddress>& Unconfirmed() const noexcept { return unconfirmed_; }
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

private:
  void RecordConfirmation(const NodeAddress& aNode, TimePoint aNow);

  bool active_ = false;
  std::uint64_t number_ = 0;
  std::uint64_t highestVersion_ = 0;
  Duration wait_{};
  std::set<NodeAddress> unconfirmed_;
  std::set<NodeAddress> confirmed_;
  TimePoint lastConfirmedAt_;
  TimePoint nextRepeat_;
  TimePoint nextRecheck_;
};

} // namespace geraniumpin
