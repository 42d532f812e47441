#pragma once

#include "geraniumpin/connection/message.hpp"

namespace geraniumpin {

/// \brief An attempt that its owner node queued or runs; removed when the reply is sent.
struct OwnedAttempt
{
  const NodeAddress entry_;
  const CallRequest request_;
  const TimePoint deadline_;
  const TimePoint arrivedAt_;
  TimePoint startedAt_{}; ///< zero while it is queued
};

} // namespace geraniumpin
