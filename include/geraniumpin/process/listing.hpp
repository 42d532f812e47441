#pragma once

#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/process/platform_items.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Progress of a listing of all items of the platform, page by page.
class Listing
{
public:
  /// Maximum number of items of a listing: over twice the instances of the target size.
  static constexpr std::size_t kMaxItems = 50'000;
  /// Maximum number of bytes in the keys and values of a listing.
  static constexpr std::size_t kMaxBytes = 64U << 20U;

  explicit Listing(ItemOrigin aOrigin = ItemOrigin::Listing) noexcept
    : origin_(aOrigin)
  {
  }

  /// \brief Begins a page.
  /// \returns False if the listing has no end: a page repeats an item, or there are too many.
  bool BeginPage(const ItemsRead& aPage)
  {
    const bool isRepeated =
      aPage.hasMore_ && !aPage.items_.empty() && keys_.contains(aPage.items_.back().key_);
    if (!revision_) {
      revision_ = aPage.revision_;
    }
    spansChanges_ = spansChanges_ || aPage.revision_ != *revision_;
    for (const auto& item : aPage.items_) {
      bytes_ += item.key_.size() + (item.value_ ? item.value_->size() : 0);
      keys_.insert(item.key_);
    }
    afterKey_ = aPage.items_.empty() ? afterKey_ : aPage.items_.back().key_;
    return !isRepeated && keys_.size() <= kMaxItems && bytes_ <= kMaxBytes;
  }

  void MarkAsCopy() noexcept { origin_ = ItemOrigin::Copy; }
  void RecordAddition(const std::string& aKey) { addedKeys_.push_back(aKey); }

  [[nodiscard]] ItemOrigin Origin() const noexcept { return origin_; }
  [[nodiscard]] bool HasPages() const noexcept { return revision_.has_value(); }
  /// \brief Returns the revision of the first page: later pages can contain later changes, which a
  /// watch after this revision repeats.
  [[nodiscard]] std::uint64_t Revision() const noexcept { return revision_.value_or(0); }
  /// \brief Returns true if the items changed between the pages.
  [[nodiscard]] bool SpansChanges() const noexcept { return spansChanges_; }
  [[nodiscard]] const std::string& AfterKey() const noexcept { return afterKey_; }
  [[nodiscard]] const std::set<std::string>& Keys() const noexcept { return keys_; }
  /// \brief Returns the keys of items that were unknown before the listing.
  [[nodiscard]] const std::vector<std::string>& AddedKeys() const noexcept { return addedKeys_; }

private:
  ItemOrigin origin_;
  std::string afterKey_;
  std::optional<std::uint64_t> revision_;
  bool spansChanges_ = false;
  std::set<std::string> keys_;
  std::vector<std::string> addedKeys_;
  std::size_t bytes_ = 0;
};

} // namespace geraniumpin
