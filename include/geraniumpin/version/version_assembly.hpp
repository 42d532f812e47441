#pragma once

#include "geraniumpin/version/version_store.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief Collects what the platform publishes for one head until the change is complete.
///
/// Only index shards and parts that differ from the running version are fetched.
///
/// \code
/// for (const auto& digest : assembly.Missing()) { source.FetchContent(digest); }
/// \endcode
class VersionAssembly
{
public:
  VersionAssembly(const Head& aHead, VersionId aId, const VersionStore& aStore);

  /// \brief The digests to fetch next; empty if the change is complete or broken.
  [[nodiscard]] std::vector<Digest> Missing() const;

  /// \brief Takes in fetched bytes.
  /// \returns False if they do not belong to the digest or are malformed.
  [[nodiscard]] bool Add(const Digest& aDigest, std::string aBytes, const VersionStore& aStore);

  /// \brief The change, once nothing is missing.
  [[nodiscard]] std::optional<Delta> Complete() const;

  [[nodiscard]] const VersionId& Id() const noexcept { return id_; }

private:
  void AddShard(const PartDigests& aParts, const VersionStore& aStore);

  VersionId id_;
  std::multiset<Digest> missingShards_;
  PartDigests parts_;
  std::map<Digest, SharedBytes> known_;
  std::set<Digest> missingParts_;
};

} // namespace geraniumpin
