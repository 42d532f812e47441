#pragma once

#include "geraniumpin/process/clock.hpp"

#include <algorithm>
#include <compare>

namespace geraniumpin {

/// \brief When this node, or anyone it has heard from, last had news from somewhere.
///
/// Nodes pass it on as an age, since their clocks are not comparable.
class LastContact
{
public:
  explicit LastContact(TimePoint aStart) noexcept
    : contactAt_(aStart)
  {
  }

  [[nodiscard]] LastContact AfterContact(TimePoint aNow) const noexcept
  {
    return LastContact(std::max(contactAt_, aNow));
  }

  /// \param aAge Age that another node reported just now.
  [[nodiscard]] LastContact AfterReportedAge(Duration aAge, TimePoint aNow) const noexcept
  {
    return AfterContact(aNow - std::max(aAge, Duration{}));
  }

  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept { return aNow - contactAt_; }

  auto operator<=>(const LastContact&) const = default;

private:
  TimePoint contactAt_;
};

} // namespace geraniumpin
