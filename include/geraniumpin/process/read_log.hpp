#pragma once

#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/process/node_context.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpin {

/// \brief Writes what the reads of the platform changed.
template<NodePortSet PortSet>
class ReadLog
{
public:
  explicit ReadLog(NodeContext<PortSet>& aContext)
    : context_(aContext)
  {
  }

  /// \brief Counts and logs what a read changed, in the terms that tell apart a store that went
  /// back, one revision with two contents, and a change that was missed.
  ///
  /// \param aPrevious Revision of the answer before; 0: there was none.
  ///
  /// \param aHeld Number of items that are not in force as the platform has them.
  void Write(std::string_view aEvent,
             const ItemsRead& aRead,
             std::uint64_t aPrevious,
             std::size_t aHeld = 0)
  {
    context_.GetMetrics().Count(aEvent);
    context_.Write(LogEvent(aEvent)
                     .With("revision", aRead.revision_)
                     .With("previous", aPrevious)
                     .With("era", aRead.era_ ? std::to_string(*aRead.era_) : "none")
                     .With("items", aRead.items_.size())
                     .With("held", aHeld)
                     .With("version", context_.Versions().CurrentId().number_.revision_));
  }

  /// \brief Logs when the revision of the platform falls below the version in force, and when it no
  /// longer is: between the two, no change takes effect.
  void TrackLag(std::uint64_t aEra, std::uint64_t aRevision)
  {
    const auto& number = context_.Versions().CurrentId().number_;
    const bool isBehind = aEra == number.era_ && aRevision < number.revision_;
    if (isBehind == behindSince_.has_value()) {
      return;
    }
    if (isBehind) {
      behindSince_ = context_.Now();
      context_.GetMetrics().Count("platform_behind");
      context_.Write(LogEvent("platform_behind", Severity::Warning)
                       .With("revision", aRevision)
                       .With("version", number.revision_));
      return;
    }
    const auto lasted = context_.Now() - *std::exchange(behindSince_, std::nullopt);
    context_.GetMetrics().Record("platform_behind_ms", lasted);
    context_.Write(LogEvent("platform_caught_up")
                     .With("revision", aRevision)
                     .With("version", number.revision_)
                     .With("behind_ms", Milliseconds(lasted)));
  }

private:
  NodeContext<PortSet>& context_;
  std::optional<TimePoint> behindSince_; ///< set while the revision is below the version in force
};

} // namespace geraniumpin
