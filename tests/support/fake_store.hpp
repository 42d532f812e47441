#pragma once

#include "geraniumpin/connection/config_watch.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace geraniumpin::test {

/// \brief The store of a platform: items, a revision, a history for watches and older copies.
class FakeStore
{
public:
  using Items = std::map<std::string, std::string>;

  /// Items on one page of a listing.
  static constexpr std::size_t kPageSize = 8;
  /// Changes that a watch can ask for.
  static constexpr std::size_t kHistory = 40;

  /// \param aEra The era that the answers state; nothing if they state none.
  explicit FakeStore(std::optional<std::uint64_t> aEra)
    : era_(aEra)
  {
  }

  [[nodiscard]] const Items& GetItems() const noexcept { return state_.items_; }
  [[nodiscard]] std::uint64_t Revision() const noexcept { return state_.revision_; }

  /// \brief Writes an item, or removes it; a write that changes nothing has no revision.
  void Write(const std::string& aKey, std::optional<std::string> aValue, TimePoint aNow)
  {
    const auto found = state_.items_.find(aKey);
    const auto known =
      found == state_.items_.end() ? std::nullopt : std::optional<std::string>(found->second);
    if (known == aValue) {
      return;
    }
    copies_.emplace_back(aNow, state_);
    if (aValue) {
      state_.items_.insert_or_assign(aKey, *aValue);
    } else {
      state_.items_.erase(aKey);
    }
    state_.history_.push_back({ ++state_.revision_, { aKey, aValue } });
    if (state_.history_.size() > kHistory) {
      state_.history_.pop_front();
    }
  }

  /// \brief Returns to the state at a time.
  void Restore(TimePoint aTime)
  {
    const auto next = std::find_if(
      copies_.begin(), copies_.end(), [&](const auto& aCopy) { return aCopy.first > aTime; });
    if (next != copies_.end()) {
      state_ = State(next->second);
    }
    copies_.erase(next, copies_.end());
    if (era_) {
      ++*era_;
    }
  }

  [[nodiscard]] ItemsRead List(const std::string& aAfterKey) const
  {
    auto page = MakeAnswer(ReadResult::Complete);
    for (auto item = state_.items_.upper_bound(aAfterKey); item != state_.items_.end(); ++item) {
      if (page.items_.size() == kPageSize) {
        page.hasMore_ = true;
        break;
      }
      page.items_.push_back({ item->first, item->second });
    }
    return page;
  }

  /// \brief Returns the changes after a revision; none if there were none.
  [[nodiscard]] ItemsRead Watch(std::uint64_t aRevision) const
  {
    const auto oldest = state_.revision_ - state_.history_.size();
    if (aRevision > state_.revision_ || aRevision < oldest) {
      return MakeAnswer(ReadResult::HistoryGone);
    }
    std::map<std::string, std::optional<std::string>> changes;
    for (const auto& [revision, item] : state_.history_) {
      if (revision > aRevision) {
        changes.insert_or_assign(item.key_, item.value_);
      }
    }
    auto answer = MakeAnswer(ReadResult::Complete);
    for (const auto& [key, value] : changes) {
      answer.items_.push_back({ key, value });
    }
    return answer;
  }

private:
  struct State
  {
    Items items_;
    std::uint64_t revision_ = 0;
    std::deque<std::pair<std::uint64_t, PublishedItem>> history_;
  };

  [[nodiscard]] ItemsRead MakeAnswer(ReadResult aResult) const
  {
    return { .result_ = aResult, .revision_ = state_.revision_, .era_ = era_ };
  }

  State state_;
  std::deque<std::pair<TimePoint, State>> copies_; ///< each with the time at which it was replaced
  std::optional<std::uint64_t> era_;
};

} // namespace geraniumpin::test
