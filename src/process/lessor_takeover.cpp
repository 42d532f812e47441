#include "geraniumpin/process/lessor_takeover.hpp"

#include "geraniumpin/process/token_lessor.hpp"

#include <algorithm>

namespace geraniumpin {

void
LessorTakeover::Begin(const VersionId& aVersion,
                      const std::vector<NodeAddress>& aNodes,
                      TimePoint aNow,
                      Duration aWait)
{
  wait_ = aWait;
  active_ = true;
  version_ = aVersion;
  unconfirmed_ = { aNodes.begin(), aNodes.end() };
  confirmed_.clear();
  lastConfirmedAt_ = aNow;
  nextRepeat_ = aNow;
  nextRecheck_ = aNow;
}

void
LessorTakeover::RequireConfirmation(const std::vector<NodeAddress>& aNodes)
{
  for (const auto& node : aNodes) {
    if (active_ && !confirmed_.contains(node)) {
      unconfirmed_.insert(node);
    }
  }
}

void
LessorTakeover::OnVersion(const NodeAddress& aNode, const VersionId& aVersion, TimePoint aNow)
{
  if (!active_) {
    return;
  }
  highestVersion_ = highestVersion_.With(aVersion);
  if (!Supersedes(version_, aVersion)) {
    RecordConfirmation(aNode, aNow);
  }
}

void
LessorTakeover::WaiveConfirmation(const NodeAddress& aNode, TimePoint aNow)
{
  RecordConfirmation(aNode, aNow);
}

void
LessorTakeover::RecordConfirmation(const NodeAddress& aNode, TimePoint aNow)
{
  if (active_ && unconfirmed_.erase(aNode) > 0) {
    confirmed_.insert(aNode);
    lastConfirmedAt_ = aNow;
  }
}

std::vector<NodeAddress>
LessorTakeover::NodesDue(TimePoint aNow)
{
  if (!active_ || unconfirmed_.empty() || aNow < nextRepeat_) {
    return {};
  }
  nextRepeat_ = aNow + kRepeatInterval;
  return { unconfirmed_.begin(), unconfirmed_.end() };
}

bool
LessorTakeover::TryComplete(const VersionId& aRunning, TimePoint aNow)
{
  if (!active_ || !unconfirmed_.empty() || aNow < lastConfirmedAt_ + wait_) {
    return false;
  }
  if (highestVersion_.IsAbove(aRunning)) {
    nextRecheck_ = aNow + kRepeatInterval; // the highest version has not arrived here yet
    return false;
  }
  active_ = false;
  return true;
}

std::optional<TimePoint>
LessorTakeover::NextDeadline() const
{
  if (!active_) {
    return std::nullopt;
  }
  return unconfirmed_.empty() ? std::max(lastConfirmedAt_ + wait_, nextRecheck_) : nextRepeat_;
}

} // namespace geraniumpin
