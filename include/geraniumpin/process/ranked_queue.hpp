#pragma once

#include "geraniumpin/process/fair_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Waiting requests by rank, the lowest first; the teams of one rank share it fairly.
///
/// Answers the load patterns "burst" and "hot team": urgent work goes first, and no team crowds out
/// another one of the same rank.
template<class Ticket>
class RankedQueue
{
public:
  /// \param aMaxPerTeam Requests of one team and rank that may wait.
  explicit RankedQueue(std::size_t aMaxPerTeam)
    : maxPerTeam_(aMaxPerTeam)
  {
  }

  /// \returns False if the queue of the team is full.
  [[nodiscard]] bool Push(QueuedWork<Ticket> aWork)
  {
    const auto queue = queues_.try_emplace(aWork.rank_, maxPerTeam_).first;
    return queue->second.Push(std::move(aWork));
  }

  /// \brief Takes the next request in turn.
  [[nodiscard]] std::optional<QueuedWork<Ticket>> Pop()
  {
    while (!queues_.empty()) {
      if (auto work = queues_.begin()->second.Pop()) {
        return work;
      }
      queues_.erase(queues_.begin());
    }
    return std::nullopt;
  }

  /// \returns Whether the request was waiting.
  bool Remove(const Ticket& aTicket)
  {
    for (auto& [rank, queue] : queues_) {
      if (queue.Remove(aTicket)) {
        return true;
      }
    }
    return false;
  }

  /// \brief Removes all requests that should wait no longer.
  [[nodiscard]] std::vector<Ticket> RemoveExpired(TimePoint aNow)
  {
    std::vector<Ticket> removed;
    for (auto& [rank, queue] : queues_) {
      const auto expired = queue.RemoveExpired(aNow);
      removed.insert(removed.end(), expired.begin(), expired.end());
    }
    return removed;
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    std::optional<TimePoint> next;
    for (const auto& [rank, queue] : queues_) {
      if (const auto time = queue.NextDeadline()) {
        next = next ? std::min(*next, *time) : *time;
      }
    }
    return next;
  }

  /// \brief Requests that go before or with one of that rank.
  [[nodiscard]] std::size_t CountAhead(std::uint32_t aRank) const
  {
    std::size_t count = 0;
    for (const auto& [rank, queue] : queues_) {
      count += rank <= aRank ? queue.Size() : 0;
    }
    return count;
  }

  [[nodiscard]] std::size_t Size() const
  {
    std::size_t size = 0;
    for (const auto& [rank, queue] : queues_) {
      size += queue.Size();
    }
    return size;
  }

private:
  std::size_t maxPerTeam_;
  std::map<std::uint32_t, FairQueue<Ticket>> queues_;
};

} // namespace geraniumpin
