#pragma once

#include "geraniumpin/process/config_service.hpp"
#include "geraniumpin/process/node_context.hpp"
#include "geraniumpin/process/part_encoder.hpp"
#include "geraniumpin/process/platform_items.hpp"

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace geraniumpin {

/// \brief Position of the platform's store at which its items were read.
struct StorePosition
{
  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 0;
  bool isPartial_ = false; ///< the items may lack changes up to the revision

  auto operator<=>(const StorePosition&) const = default;
};

/// \brief Decodes the items of the platform and publishes the versions that they form.
template<NodePortSet PortSet>
class PlatformContent
{
public:
  PlatformContent(NodeContext<PortSet>& aContext, ConfigService<PortSet>& aConfig)
    : context_(aContext)
    , config_(aConfig)
  {
  }

  [[nodiscard]] PlatformItems& Items() noexcept { return items_; }
  [[nodiscard]] const PlatformItems& Items() const noexcept { return items_; }
  /// \brief Returns true if the items formed a complete configuration at least once.
  [[nodiscard]] bool WasComplete() const noexcept { return wasComplete_; }

  /// \brief Applies an item of a read; a malformed one is treated as absent.
  void ApplyItem(const PublishedItem& aItem, ItemOrigin aOrigin)
  {
    if (!aItem.value_) {
      items_.Remove(aItem.key_, context_.Now());
      return;
    }
    auto decoded = context_.Ports().decoder_.Decode(aItem.key_, *aItem.value_);
    if (!decoded) {
      OnMalformed(aItem.key_, decoded.error());
      return;
    }
    if (!*decoded) {
      return;
    }
    if (const auto* list = std::get_if<VmList>(&**decoded)) {
      // The list of a copy lacks VMs that are newer; the one that is known stays until it changes.
      if (aOrigin == ItemOrigin::Copy && vmListRevision_ > 0) {
        return;
      }
      context_.GetMembership().OnVmList({ .revision_ = ++vmListRevision_, .vms_ = list->vms_ });
    }
    items_.Put(aItem.key_, std::move(**decoded), aOrigin, context_.Now());
  }

  /// \brief Publishes the items if they form a version that is not in force.
  void Publish(const StorePosition& aPosition)
  {
    const auto& assembly = items_.Assembly();
    const auto runningId = context_.Versions().CurrentId();
    if (!assembly.HasDocument() || aPosition.revision_ == 0 ||
        runningId.number_.era_ > aPosition.era_) {
      return;
    }
    wasComplete_ = true;
    const auto& running = context_.Versions().Current();
    if (running && !runningId.number_.IsExact()) {
      items_.KeepLaterInstances(*running, context_.Now());
    }
    encoder_.Update(assembly, context_.Ports().codec_);
    const auto number = MakeNumber(aPosition);
    const bool settles = !runningId.number_.IsExact() && number.IsExact();
    if (running && running->GetManifest().parts_ == encoder_.Digests() &&
        runningId.number_.era_ == aPosition.era_ && !settles) {
      return;
    }
    const Manifest manifest{ .number_ = number, .parts_ = encoder_.Digests() };
    config_.OnPlatformVersion({ .from_ = {},
                                .to_ = MakeVersionId(manifest),
                                .changed_ = encoder_.Bytes(),
                                .removed_ = {},
                                .decoded_ = encoder_.Values() });
  }

private:
  /// Content that may lack changes up to the revision, or that has expired instances, comes before
  /// the exact content of the revision. What is held against a copy comes after it, so that a node
  /// that knows what the copy has lost goes before one that does not.
  [[nodiscard]] VersionNumber MakeNumber(const StorePosition& aPosition) const
  {
    const auto& document = std::get<PublishedDocument>(*items_.Assembly().Document());
    const bool isBefore = aPosition.isPartial_ || !items_.IsExact();
    const bool isAfter = items_.HoldsAgainstCopy();
    const bool fallsBack = isBefore && !isAfter && aPosition.revision_ > 1;
    VersionNumber number{ .document_ = document.failureDomains_.documentNumber_,
                          .era_ = aPosition.era_,
                          .revision_ = fallsBack ? aPosition.revision_ - 1 : aPosition.revision_,
                          .interim_ = isBefore ? 1U : 0U };
    const auto& running = context_.Versions().CurrentId().number_;
    auto base = running;
    base.interim_ = number.interim_;
    if (base == number && running.interim_ >= number.interim_ && !running.IsExact()) {
      number.interim_ = isBefore ? running.interim_ + 1 : VersionNumber::kSettled;
    }
    return number;
  }

  /// A malformed item is treated as absent. While the document is malformed the running version,
  /// which may be newer than any that this node has read, stays in force.
  void OnMalformed(const std::string& aKey, const Faults& aFaults)
  {
    context_.GetMetrics().Count("platform_malformed_items");
    LogEvent event("platform_item_refused", Severity::Warning);
    event.With("key", aKey);
    if (!aFaults.empty()) {
      event.With("fault", ToString(aFaults.front()));
    }
    context_.Write(event);
    items_.Erase(aKey);
  }

  NodeContext<PortSet>& context_;
  ConfigService<PortSet>& config_;
  PlatformItems items_;
  PartEncoder encoder_;
  std::uint64_t vmListRevision_ = 0; ///< number of lists of VMs that were applied
  bool wasComplete_ = false;
};

} // namespace geraniumpin
