#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>

namespace geraniumpin {

/// \brief When this node, or anyone it has heard from, last had news from somewhere.
///
/// Nodes pass it on as an age, since their clocks are not comparable.
class Freshness
{
public:
  explicit Freshness(TimePoint aStart) noexcept
    : freshAt_(aStart)
  {
  }

  [[nodiscard]] Freshness AfterContact(TimePoint aNow) const noexcept
  {
    return Freshness(std::max(freshAt_, aNow));
  }

  /// \param aAge Age that another node reported just now.
  [[nodiscard]] Freshness AfterReport(Duration aAge, TimePoint aNow) const noexcept
  {
    return AfterContact(aNow - std::max(aAge, Duration{}));
  }

  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept { return aNow - freshAt_; }

  auto operator<=>(const Freshness&) const = default;

private:
  TimePoint freshAt_;
};

} // namespace geraniumpin
