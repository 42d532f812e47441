#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/process/random.hpp"
#include "geraniumpin/process/reader_timing.hpp"
#include "geraniumpin/version/version_id.hpp"

#include <optional>

namespace geraniumpin {

/// \brief Decides when a node reads the platform because peers offer versions that it cannot order.
///
/// Nodes of earlier releases offer them after the platform went back. One read is due at a time,
/// and a further one only after another offer, so there is at most one in kReadDelay.
///
/// \code
/// offers.OnOffer(envelope.senderVersion_, running, now, random);
/// if (offers.TakeDue(running, now)) {
///   reader.RequestRead();
/// }
/// \endcode
class UnorderedOffers
{
public:
  /// Time in which the node can get a newer version otherwise.
  static constexpr std::chrono::milliseconds kReadDelay{ 1000 };

  /// \brief Applies the version that a peer runs.
  /// \param aRandom Draws the jitter that spreads the reads of nodes with the same offers.
  template<Random R>
  void OnOffer(const VersionId& aOffered, const VersionId& aRunning, TimePoint aNow, R& aRandom)
  {
    if (dueAt_ || !IsUnordered(aOffered, aRunning)) {
      return;
    }
    const auto jitter = DrawFraction(aRandom) * ReaderTiming::kStartJitter;
    dueAt_ = aNow + kReadDelay + std::chrono::duration_cast<Duration>(jitter);
    running_ = aRunning;
  }

  /// \brief Returns true, once, if a read is due and the node still runs the same version.
  [[nodiscard]] bool TakeDue(const VersionId& aRunning, TimePoint aNow)
  {
    if (!dueAt_ || aNow < *dueAt_) {
      return false;
    }
    dueAt_.reset();
    return aRunning == running_;
  }

  [[nodiscard]] std::optional<TimePoint> NextDeadline() const noexcept { return dueAt_; }

private:
  std::optional<TimePoint> dueAt_;
  VersionId running_; ///< when the read was scheduled
};

} // namespace geraniumpin
