#include "geraniumpin/process/lessor_takeover.hpp"

#include "geraniumpin/process/token_lessor.hpp"

#include <algorithm>

namespace geraniumpin {

void
HomeAuthority::Begin(std::uint64_t aNumber,
                     const std::vector<NodeAddress>& aNodes,
                     TimePoint aNow,
                     Duration aWait)
{
  wait_ = aWait;
  active_ = true;
  number_ = aNumber;
  missing_ = { aNodes.begin(), aNodes.end() };
  settled_.clear();
  settledAt_ = aNow;
  nextRepeat_ = aNow;
  recheckAt_ = aNow;
}

void
HomeAuthority::Require(const std::vector<NodeAddress>& aNodes)
{
  for (const auto& node : aNodes) {
    if (active_ && !settled_.contains(node)) {
      missing_.insert(node);
    }
  }
}

void
HomeAuthority::OnVersion(const NodeAddress& aNode, std::uint64_t aNumber, TimePoint aNow)
{
  if (!active_) {
    return;
  }
  highestStated_ = std::max(highestStated_, aNumber);
  if (aNumber >= number_) {
    Settle(aNode, aNow);
  }
}

void
HomeAuthority::OnGone(const NodeAddress& aNode, TimePoint aNow)
{
  Settle(aNode, aNow);
}

void
HomeAuthority::Settle(const NodeAddress& aNode, TimePoint aNow)
{
  if (active_ && missing_.erase(aNode) > 0) {
    settled_.insert(aNode);
    settledAt_ = aNow;
  }
}

std::vector<NodeAddress>
HomeAuthority::Due(TimePoint aNow)
{
  if (!active_ || missing_.empty() || aNow < nextRepeat_) {
    return {};
  }
  nextRepeat_ = aNow + kRepeat;
  return { missing_.begin(), missing_.end() };
}

bool
HomeAuthority::TakeCompletion(std::uint64_t aOwnNumber, TimePoint aNow)
{
  if (!active_ || !missing_.empty() || aNow < settledAt_ + wait_) {
    return false;
  }
  if (aOwnNumber < highestStated_) {
    recheckAt_ = aNow + kRepeat; // the version that a node stated is still on its way here
    return false;
  }
  active_ = false;
  return true;
}

std::optional<TimePoint>
HomeAuthority::NextDeadline() const
{
  if (!active_) {
    return std::nullopt;
  }
  return missing_.empty() ? std::max(settledAt_ + wait_, recheckAt_) : nextRepeat_;
}

} // namespace geraniumpin
