#pragma once

#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/token_lessor.hpp"
#include "geraniumpin/version/highest_version.hpp"

#include <optional>
#include <set>
#include <vector>

namespace geraniumpin {

/// \brief Determines when a new lessor may grant tokens, so that no two nodes grant at once.
///
/// A node that becomes lessor of a team sends a takeover request to every node of its failure
/// domain. It may grant once each of them runs the version of the takeover or a later one, or had
/// its confirmation waived, and the longest lease has expired since. It must itself run the highest
/// version that any of them reported.
class LessorTakeover
{
public:
  /// Interval at which nodes that have not confirmed get the request again.
  static constexpr std::chrono::milliseconds kRepeatInterval{ 300 };

  /// \brief Starts a takeover; an earlier one is replaced.
  /// \param aVersion The version that made this node a lessor.
  /// \param aNodes The nodes that must confirm.
  /// \param aWait Time after the last confirmation in which leases of the previous lessor expire.
  void Begin(const VersionId& aVersion,
             const std::vector<NodeAddress>& aNodes,
             TimePoint aNow,
             Duration aWait = kLeaseTerm + kLeaseMargin);

  /// \brief Adds nodes that must confirm too, except those that have confirmed already.
  void RequireConfirmation(const std::vector<NodeAddress>& aNodes);

  /// \brief Records the version that a node runs; that of the takeover or a later one confirms.
  void OnVersion(const NodeAddress& aNode, const VersionId& aVersion, TimePoint aNow);

  /// \brief Stops waiting for a node whose VM is no longer listed or that is unresponsive.
  void WaiveConfirmation(const NodeAddress& aNode, TimePoint aNow);

  /// \brief Returns the nodes to which the takeover request is to be sent now.
  [[nodiscard]] std::vector<NodeAddress> NodesDue(TimePoint aNow);

  /// \brief Completes the takeover if its conditions hold.
  /// \param aRunning The version that this node runs.
  /// \returns True once per takeover.
  [[nodiscard]] bool TryComplete(const VersionId& aRunning, TimePoint aNow);

  [[nodiscard]] bool IsActive() const noexcept { return active_; }
  [[nodiscard]] const VersionId& Version() const noexcept { return version_; }
  [[nodiscard]] const std::set<NodeAddress>& Unconfirmed() const noexcept { return unconfirmed_; }
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

private:
  void RecordConfirmation(const NodeAddress& aNode, TimePoint aNow);

  bool active_ = false;
  VersionId version_;
  HighestVersion highestVersion_; ///< that any node stated
  Duration wait_{};
  std::set<NodeAddress> unconfirmed_;
  std::set<NodeAddress> confirmed_;
  TimePoint lastConfirmedAt_;
  TimePoint nextRepeat_;
  TimePoint nextRecheck_;
};

} // namespace geraniumpin
