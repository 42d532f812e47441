#pragma once

#include "geraniumpin/process/metrics.hpp"
#include "geraniumpin/process/node_status.hpp"

#include <string>

namespace geraniumpin {

/// \brief Writes metrics in the text format that scrapers read: counters, gauges, histograms.
///
/// Every name starts with "geraniumpin_"; durations are in milliseconds. There are no labels but
/// the bounds of histograms, so the size does not depend on what callers send.
[[nodiscard]] std::string
FormatMetricsText(const Metrics& aMetrics, const NodeStatus& aStatus);

} // namespace geraniumpin
