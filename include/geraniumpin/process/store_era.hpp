#pragma once

#include "geraniumpin/connection/config_watch.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace geraniumpin {

/// \brief What an answer of the platform says about the history of its store.
enum class StoreHistory
{
  Same,      ///< it continues the answers before
  Restored,  ///< the store came back from an older copy
  Suspected, ///< its revision is lower than before; a listing decides
  Outdated   ///< the answer is older than what this node or a peer knows
};

/// \brief Era of the platform's store, as this node knows it.
///
/// A store that states an era raises it each time that it comes back from an older copy. Reads are
/// linearizable and follow each other, so a store that states none came back from a copy if a
/// listing has a lower revision than an earlier answer; the nodes then count eras themselves and
/// agree on the highest count.
class StoreEra
{
public:
  [[nodiscard]] std::uint64_t Value() const noexcept { return value_; }
  /// \brief Returns true if the latest answer stated an era.
  [[nodiscard]] bool IsStated() const noexcept { return isStated_; }

  /// \brief Applies the era of the version in force.
  /// \returns True if it is higher: a peer has read the store after it was restored.
  bool OnVersion(std::uint64_t aEra) noexcept
  {
    const bool isHigher = aEra > value_;
    value_ = std::max(value_, aEra);
    return isHigher;
  }

  /// \brief Applies an answer.
  /// \param aKnownRevision Lowest revision that the store can have if it was not restored; 0:
  /// unknown.
  ///
  /// \param aIsListing Whether the answer is the first page of a listing.
  StoreHistory OnAnswer(const ItemsRead& aRead, std::uint64_t aKnownRevision, bool aIsListing)
  {
    isStated_ = aRead.era_.has_value();
    if (isStated_) {
      return OnStatedEra(*aRead.era_);
    }
    if (aRead.result_ != ReadResult::Complete || aRead.revision_ >= aKnownRevision) {
      return StoreHistory::Same;
    }
    if (!aIsListing) {
      return StoreHistory::Suspected;
    }
    isCounted_ = true;
    ++value_;
    return StoreHistory::Restored;
  }

private:
  StoreHistory OnStatedEra(std::uint64_t aStated)
  {
    const bool isOutdated = isCounted_ ? aStated < stated_.value_or(0) : aStated < value_;
    if (isOutdated) {
      return StoreHistory::Outdated;
    }
    const bool isNew = stated_ != aStated;
    stated_ = aStated;
    if (aStated > value_) {
      value_ = aStated;
      return StoreHistory::Restored;
    }
    if (isCounted_ && isNew) {
      ++value_; // the count of this node went beyond what the store states
      return StoreHistory::Restored;
    }
    return StoreHistory::Same;
  }

  std::uint64_t value_ = 0;
  std::optional<std::uint64_t> stated_; ///< the latest one
  bool isStated_ = false;               ///< by the latest answer
  bool isCounted_ = false;              ///< this node raised the era itself
};

} // namespace geraniumpin
