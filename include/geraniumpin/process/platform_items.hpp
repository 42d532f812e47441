#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/version/document_assembly.hpp"
#include "geraniumpin/version/in_force.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace geraniumpin {

/// \brief What a read says about an item.
enum class ItemOrigin
{
  Change,  ///< it was written since the read before
  Listing, ///< the platform has it
  Copy     ///< the platform has it after it came back from an older copy
};

/// \brief The items of the platform as this node puts them in force.
///
/// They are those that the platform has, except for items that are held: what an older copy or an
/// outage would undo stays in force until it is written again or its grace period ends.
///
/// \code
/// items.BeginCopy(running);
/// items.Put(key, item, ItemOrigin::Copy, now);
/// items.EndListing(keys, ItemOrigin::Copy, now);
/// \endcode
class PlatformItems
{
public:
  /// Time from the return of the platform in which an instance that runs is back in it if it has
  /// lost its entry.
  static constexpr std::chrono::milliseconds kMissingGrace{ 2000 };
  /// Time in which an instance that runs writes its entry again, and the entry of one that does not
  /// run expires, if the copy has an entry that is known to be out of date.
  static constexpr std::chrono::milliseconds kOutdatedGrace{ 10000 };
  /// Time in which operators take a failure domain out of service again.
  static constexpr std::chrono::milliseconds kOutOfServiceGrace{ 10000 };
  /// Time for which removed instances are recorded: more than the age of a copy.
  static constexpr std::chrono::milliseconds kRemovalRecord{ 120000 };
  static constexpr std::size_t kMaxRemovals = 4096;

  /// \brief Starts the listing of an older copy.
  /// \param aRunning The version in force; null if there is none.
  void BeginCopy(SharedSnapshot aRunning);

  /// \brief Holds instances that the platform removes until kMissingGrace has passed: they can be
  /// entries that expired while the platform was away.
  /// \param aReturnedAt When the platform was back, for this node or another one.
  void BeginExpiryGrace(TimePoint aReturnedAt)
  {
    expiryGraceEndsAt_ = std::max(expiryGraceEndsAt_, aReturnedAt + kMissingGrace);
  }

  /// \brief Adds an item or replaces the one with that key, or holds what is in force instead.
  void Put(const std::string& aKey, DecodedItem aItem, ItemOrigin aOrigin, TimePoint aNow);

  /// \brief Removes an item, or holds it.
  void Remove(const std::string& aKey, TimePoint aNow);

  /// \brief Removes an item that cannot be read.
  void Erase(const std::string& aKey);

  /// \brief Ends a listing: removes or holds the items that are not among the listed keys.
  void EndListing(const std::set<std::string>& aKeys, ItemOrigin aOrigin, TimePoint aNow);

  /// \brief Holds the instances that a version in force has in a later state, in the first
  /// kOutdatedGrace after the listing of a copy: its publisher can know what this node has missed.
  void KeepLaterInstances(const Snapshot& aRunning, TimePoint aNow);

  /// \brief Replaces the held items whose grace period has ended by what the platform has.
  /// \returns True if there were any.
  bool ReleaseDue(TimePoint aNow);

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// \brief Returns true if the items are exactly those of the platform.
  [[nodiscard]] bool IsExact() const noexcept { return held_.empty(); }
  /// \brief Returns true if an item is held that a restored store has lost or has in an older
  /// state.
  [[nodiscard]] bool HoldsAgainstCopy() const;
  [[nodiscard]] std::size_t HeldCount() const noexcept { return held_.size(); }

  [[nodiscard]] const DocumentAssembly& Assembly() const noexcept { return assembly_; }
  [[nodiscard]] bool Contains(const std::string& aKey) const
  {
    return assembly_.Find(aKey) != nullptr;
  }

private:
  /// What takes effect in place of an item in force when its grace period ends.
  struct Held
  {
    const TimePoint until_; ///< kNoEnd: until it is written again
    const bool isAgainstCopy_ = false;
    const std::optional<DecodedItem> listed_; ///< as the platform has it; nothing if it has none
  };

  /// The start of an instance that was removed.
  struct Removal
  {
    std::uint64_t startedAt_ = 0;
    TimePoint removedAt_;
  };

  static constexpr TimePoint kNoEnd = TimePoint::max();

  void Hold(const std::string& aKey, TimePoint aUntil, std::optional<DecodedItem> aListed);
  void HoldInstance(const std::string& aKey,
                    const PublishedInstance* aInForce,
                    const PublishedInstance& aListed,
                    TimePoint aUntil);
  void Apply(const std::string& aKey, std::optional<DecodedItem> aItem, TimePoint aNow);
  void PutDocument(const std::string& aKey, DecodedItem aItem);
  void PutCopiedInstance(const std::string& aKey, const PublishedInstance& aListed, TimePoint aNow);
  [[nodiscard]] bool IsUndoneBy(const std::string& aKey, const PublishedInstance& aListed) const;
  void KeepDocumentInForce();
  void KeepInstancesInForce(TimePoint aNow);
  void KeepDomainsOutOfService(TimePoint aNow);
  [[nodiscard]] std::uint64_t DocumentNumber() const;
  /// Returns how long an instance of a copy that is not in force is kept from it.
  [[nodiscard]] Duration GraceOfUnknown(const std::string& aKey,
                                        const BackendServer& aListed) const;

  DocumentAssembly assembly_;
  std::map<std::string, Held> held_;
  std::map<std::string, Removal> removals_;
  TimePoint expiryGraceEndsAt_{};
  TimePoint copyGraceEndsAt_{};
  SharedSnapshot running_; ///< during the listing of a copy
  /// Instances in force by id when the listing of a copy began, without those that it has had so
  /// far.
  std::map<std::string, PublishedInstance> unlisted_;
};

} // namespace geraniumpin
