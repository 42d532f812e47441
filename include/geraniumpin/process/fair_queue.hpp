#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumpin {

/// \brief A request in the queue of its owner node.
template<class Ticket>
struct QueuedWork
{
  Ticket ticket_;
  std::string team_;
  Duration expectedServiceTime_{};
  TimePoint deadline_;
  std::uint32_t rank_ = 0;                     ///< lower ranks are served first
  TimePoint queueDeadline_ = TimePoint::max(); ///< end of the queue timeout

  /// \brief Returns when the request leaves the queue if it has not started.
  [[nodiscard]] TimePoint ExpiresAt() const { return std::min(queueDeadline_, deadline_); }
};

/// \brief A queue per team, served by deficit round robin over the expected service time.
///
/// \code
/// FairQueue<AttemptId> queue(8);
/// queue.Push({ id, "t1", 5ms, deadline });
/// const auto next = queue.Pop();
/// \endcode
template<class Ticket>
class FairQueue
{
public:
  /// \param aMaxPerTeam Maximum queued requests of one team.
  explicit FairQueue(std::size_t aMaxPerTeam)
    : maxPerTeam_(aMaxPerTeam)
  {
  }

  /// \returns False if the queue of the team is full.
  [[nodiscard]] bool Push(QueuedWork<Ticket> aWork)
  {
    auto& queue = queues_[aWork.team_];
    if (queue.work_.size() >= maxPerTeam_) {
      return false;
    }
    if (queue.work_.empty()) {
      queue.deficit_ = {};
      activeTeams_.push_back(aWork.team_);
    }
    queue.work_.push_back(std::move(aWork));
    ++size_;
    return true;
  }

  /// \brief Removes and returns the next request; nothing if the queue is empty.
  [[nodiscard]] std::optional<QueuedWork<Ticket>> Pop()
  {
    while (!activeTeams_.empty()) {
      auto& queue = queues_.at(activeTeams_.front());
      if (queue.deficit_ < queue.work_.front().expectedServiceTime_) {
        queue.deficit_ += Quantum();
        activeTeams_.splice(activeTeams_.end(), activeTeams_, activeTeams_.begin());
        continue;
      }
      auto work = std::move(queue.work_.front());
      queue.work_.pop_front();
      queue.deficit_ -= work.expectedServiceTime_;
      --size_;
      RemoveTeamIfEmpty(activeTeams_.front());
      return work;
    }
    return std::nullopt;
  }

  /// \brief Removes one request.
  /// \returns True if it was queued.
  bool Remove(const Ticket& aTicket)
  {
    return RemoveIf([&](const auto& aWork) { return aWork.ticket_ == aTicket; }).size() == 1;
  }

  /// \brief Removes all requests whose ExpiresAt has passed.
  /// \returns The removed requests.
  [[nodiscard]] std::vector<Ticket> RemoveExpired(TimePoint aNow)
  {
    return RemoveIf([&](const auto& aWork) { return aWork.ExpiresAt() <= aNow; });
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    std::optional<TimePoint> next;
    for (const auto& [team, queue] : queues_) {
      for (const auto& work : queue.work_) {
        next = next ? std::min(*next, work.ExpiresAt()) : work.ExpiresAt();
      }
    }
    return next;
  }

  [[nodiscard]] std::size_t Size() const noexcept { return size_; }

private:
  struct TeamQueue
  {
    std::deque<QueuedWork<Ticket>> work_;
    Duration deficit_{};
  };

  /// Service time added per team and round: the largest one at the head of a queue, so that every
  /// round serves each team.
  [[nodiscard]] Duration Quantum() const
  {
    Duration quantum{ 1 };
    for (const auto& team : activeTeams_) {
      quantum = std::max(quantum, queues_.at(team).work_.front().expectedServiceTime_);
    }
    return quantum;
  }

  void RemoveTeamIfEmpty(const std::string& aTeam)
  {
    if (queues_.at(aTeam).work_.empty()) {
      const auto position = std::find(activeTeams_.begin(), activeTeams_.end(), aTeam);
      queues_.erase(aTeam);
      activeTeams_.erase(position); // last, since aTeam may refer to this entry
    }
  }

  template<class Predicate>
  std::vector<Ticket> RemoveIf(Predicate aPredicate)
  {
    std::vector<Ticket> removed;
    const std::vector<std::string> teams(activeTeams_.begin(), activeTeams_.end());
    for (const auto& team : teams) {
      auto& work = queues_.at(team).work_;
      for (const auto& item : work) {
        if (aPredicate(item)) {
          removed.push_back(item.ticket_);
        }
      }
      std::erase_if(work, aPredicate);
      RemoveTeamIfEmpty(team);
    }
    size_ -= removed.size();
    return removed;
  }

  std::size_t maxPerTeam_;
  std::map<std::string, TeamQueue> queues_;
  std::list<std::string> activeTeams_;
  std::size_t size_ = 0;
};

} // namespace geraniumpin
