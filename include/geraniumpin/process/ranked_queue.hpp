#pragma once

#include "geraniumpin/process/fair_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Priority queue by rank, the lowest first, with a fair queue of the teams in each rank.
///
/// For the load patterns "burst" and "hot team": urgent requests are served first, and no team
/// starves another one of the same rank.
template<class Ticket>
class RankedQueue
{
public:
  /// \param aMaxPerTeam Maximum queued requests per team and rank.
  explicit RankedQueue(std::size_t aMaxPerTeam)
    : maxPerTeam_(aMaxPerTeam)
  {
  }

  /// \returns False if the queue of the team and rank is full.
  [[nodiscard]] bool Push(QueuedWork<Ticket> aWork)
  {
    const auto queue = queues_.try_emplace(aWork.rank_, maxPerTeam_).first;
    return queue->second.Push(std::move(aWork));
  }

  /// \brief Removes and returns the next request; nothing if the queue is empty.
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

  /// \returns True if the request was queued.
  bool Remove(const Ticket& aTicket)
  {
    for (auto& [rank, queue] : queues_) {
      if (queue.Remove(aTicket)) {
        return true;
      }
    }
    return false;
  }

  /// \brief Removes all requests whose ExpiresAt has passed.
  /// \returns The removed requests.
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

  /// \brief Counts the queued requests of that rank and of lower ones.
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
