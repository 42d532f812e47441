#include "metrics_text.hpp"

#include <sstream>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::string_view kPrefix = "geraniumpin_";

void
WriteHistogram(std::ostream& aOut, const std::string& aName, const DurationHistogram& aHistogram)
{
  const auto name = std::string(kPrefix) + aName;
  aOut << "# TYPE " << name << " histogram\n";
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < aHistogram.counts_.size(); ++i) {
    count += aHistogram.counts_.at(i);
    aOut << name << "_bucket{le=\"";
    if (i < DurationHistogram::kBounds.size()) {
      aOut << DurationHistogram::kBounds.at(i);
    } else {
      aOut << "+Inf";
    }
    aOut << "\"} " << count << "\n";
  }
  aOut << name << "_sum " << aHistogram.sum_ << "\n" << name << "_count " << count << "\n";
}

template<class Number>
void
WriteGauge(std::ostream& aOut, std::string_view aName, Number aValue)
{
  aOut << "# TYPE " << kPrefix << aName << " gauge\n" << kPrefix << aName << " " << aValue << "\n";
}

} // namespace
} // namespace impl

std::string
FormatMetricsText(const Metrics& aMetrics, const NodeStatus& aStatus)
{
  std::ostringstream out;
  for (const auto& [name, value] : aMetrics.Counters()) {
    out << "# TYPE " << impl::kPrefix << name << " counter\n"
        << impl::kPrefix << name << " " << value << "\n";
  }
  for (const auto& [name, histogram] : aMetrics.Histograms()) {
    impl::WriteHistogram(out, name, histogram);
  }
  const auto& number = aStatus.version_.number_;
  impl::WriteGauge(out, "document_version", number.document_);
  impl::WriteGauge(out, "platform_revision", number.revision_);
  impl::WriteGauge(out, "platform_era", number.era_);
  impl::WriteGauge(out, "version_interim", number.IsExact() ? 0 : 1);
  impl::WriteGauge(out, "serving", aStatus.state_ == NodeState::Serving ? 1 : 0);
  impl::WriteGauge(out, "watcher", aStatus.watcher_ ? 1 : 0);
  impl::WriteGauge(out, "home_teams", aStatus.leasedTeams_);
  impl::WriteGauge(out, "home_authorized", aStatus.takeoversComplete_ ? 1 : 0);
  impl::WriteGauge(out, "entry_calls", aStatus.entryCalls_);
  impl::WriteGauge(out, "owned_attempts", aStatus.ownedAttempts_);
  impl::WriteGauge(out, "queued", aStatus.queued_);
  impl::WriteGauge(out, "concurrency_limit", aStatus.concurrencyLimit_);
  impl::WriteGauge(out, "saturation", aStatus.saturation_);
  return out.str();
}

} // namespace geraniumpin
