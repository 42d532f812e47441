#pragma once

#include "geraniumpin/process/metrics.hpp"
#include "geraniumpin/process/node_status.hpp"

#include <string>

namespace geraniumpin {

/// \brief Formats metrics as Prometheus text: counters, gauges, histograms.
///
/// Every name starts with "geraniumpin_"; durations are in milliseconds. The only labels are bounds
/// of histograms, so the size does not depend on what callers send.
[[nodiscard]] std::string
FormatMetricsText(const Metrics& aMetrics, const NodeStatus& aStatus);

} // namespace geraniumpin
