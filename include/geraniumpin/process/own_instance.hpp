#pragma once

#include "geraniumpin/version/document.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace geraniumpin {

/// \brief The instance beside this node, as the versions in force publish it.
///
/// An instance that drains accepts no requests before its next start, whatever a later version
/// says: its publisher may have read an older copy of the platform.
///
/// \code
/// instance = instance.After(server);
/// if (!instance.AcceptsWork()) { ... }
/// \endcode
class OwnInstance
{
public:
  /// \brief Returns the instance after a version that has it.
  [[nodiscard]] OwnInstance After(const BackendServer& aServer) const
  {
    auto next = *this;
    next.name_ = aServer.name_;
    next.startedAt_ = aServer.startedAt_;
    next.isReady_ = aServer.state_ == InstanceState::Ready;
    if (!next.isReady_) {
      next.drainedName_ = aServer.name_;
      next.drainedStart_ = aServer.startedAt_;
    }
    return next;
  }

  /// \brief Returns the instance after a version that does not have it.
  [[nodiscard]] OwnInstance AfterRemoval() const
  {
    auto next = *this;
    next.name_.clear();
    next.isReady_ = false;
    return next;
  }

  /// \brief Returns the id of the instance; empty if there is none.
  [[nodiscard]] const std::string& Name() const noexcept { return name_; }

  /// \brief Returns true if both are the same start of the same instance.
  [[nodiscard]] bool IsSameStart(const OwnInstance& aOther) const noexcept
  {
    return name_ == aOther.name_ && startedAt_ == aOther.startedAt_;
  }

  [[nodiscard]] bool AcceptsWork() const noexcept
  {
    // A platform that states no starts cannot tell a start that follows from one that drains.
    const bool hasDrained = startedAt_ != 0 && startedAt_ == drainedStart_ && name_ == drainedName_;
    return isReady_ && !hasDrained;
  }

  auto operator<=>(const OwnInstance&) const = default;

private:
  std::string name_;
  std::uint64_t startedAt_ = 0; ///< Unix milliseconds; 0 if unknown
  bool isReady_ = false;
  std::string drainedName_; ///< of the last instance that was draining
  std::uint64_t drainedStart_ = 0;
};

} // namespace geraniumpin
