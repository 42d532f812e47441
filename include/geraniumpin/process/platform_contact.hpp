#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/last_contact.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace geraniumpin {

/// \brief When the platform last answered this node or a peer that reported, and whether an answer
/// may follow an outage.
class PlatformContact
{
public:
  /// Time without an answer after which published instances may have expired although they run.
  static constexpr std::chrono::milliseconds kExpiryOutage{ 3000 };

  explicit PlatformContact(TimePoint aStart) noexcept
    : any_(aStart)
    , followed_(aStart)
    , ownAt_(aStart)
  {
  }

  /// \brief Records that this node sent a read.
  void OnReadSent(bool aIsFailing, TimePoint aNow) noexcept
  {
    sentAt_ = aNow;
    if (!aIsFailing) {
      outageEndedAt_.reset();
    }
  }

  /// \brief Records an answer to this node.
  void OnAnswer(TimePoint aNow) noexcept
  {
    ownAt_ = aNow;
    any_ = any_.AfterContact(aNow);
    followed_ = followed_.AfterContact(aNow);
  }

  /// \brief Records the age of the last answer that a peer reported.
  /// \param aFollowsRestores Whether the peer notices when the platform is restored.
  void OnReportedAge(Duration aAge, bool aFollowsRestores, TimePoint aNow) noexcept
  {
    if (aFollowsRestores) {
      followed_ = followed_.AfterReportedAge(aAge, aNow);
    }
    const bool endsOutage = any_.Age(aNow) >= kExpiryOutage && aAge < kExpiryOutage;
    outageEndedAt_ = endsOutage ? aNow : outageEndedAt_;
    any_ = any_.AfterReportedAge(aAge, aNow);
  }

  /// \brief Returns when the outage of the platform ended that an answer that arrives now may
  /// follow: before that time no node is known to have had one. A node that did not read, or whose
  /// own answer was lost, learns of the answers to others.
  ///
  /// \param aIsFailing Whether the read before failed.
  ///
  /// \param aWatchWait Time in which a watch waits for changes, which is no silence.
  ///
  /// \returns Nothing if the answer follows no outage.
  [[nodiscard]] std::optional<TimePoint> FindOutageEnd(bool aIsFailing,
                                                       Duration aWatchWait,
                                                       TimePoint aNow) const noexcept
  {
    const bool endsNow = aIsFailing ? any_.Age(aNow) >= kExpiryOutage
                                    : any_.Age(sentAt_) >= kExpiryOutage + aWatchWait;
    if (endsNow) {
      return aNow;
    }
    return aIsFailing ? outageEndedAt_ : std::nullopt;
  }

  [[nodiscard]] TimePoint SentAt() const noexcept { return sentAt_; }
  /// \brief Returns the time since the last answer to any node that is known.
  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept { return any_.Age(aNow); }
  /// \brief The same, without answers to nodes that do not notice when the platform is restored.
  [[nodiscard]] Duration FollowedAge(TimePoint aNow) const noexcept { return followed_.Age(aNow); }
  /// \brief Returns the time since the last answer to this node.
  [[nodiscard]] Duration OwnAge(TimePoint aNow) const noexcept { return aNow - ownAt_; }

private:
  LastContact any_;
  LastContact followed_; ///< by a node that notices when the platform is restored
  TimePoint ownAt_;
  TimePoint sentAt_;
  /// When a peer reported the first answer after an outage, since a read did not follow a failure.
  std::optional<TimePoint> outageEndedAt_;
};

} // namespace geraniumpin
