#include "geraniumpin/process/memory_budget.hpp"

#include <numeric>

namespace geraniumpin {

std::string_view
ToString(MemoryKind aKind) noexcept
{
  return aKind == MemoryKind::IncomingBodies ? "incoming_bodies" : "waiting_responses";
}

bool
MemoryBudget::TryReserve(MemoryKind aKind, std::size_t aBytes) noexcept
{
  if (aBytes > capacity_ - HeldBytes() || aBytes > Limit(aKind) - HeldBytes(aKind)) {
    return false;
  }
  held_[static_cast<std::size_t>(aKind)] += aBytes;
  return true;
}

void
MemoryBudget::Release(MemoryKind aKind, std::size_t aBytes) noexcept
{
  held_[static_cast<std::size_t>(aKind)] -= aBytes;
}

std::size_t
MemoryBudget::HeldBytes() const noexcept
{
  return std::accumulate(held_.begin(), held_.end(), std::size_t{ 0 });
}

MemoryReservation&
MemoryReservation::operator=(MemoryReservation&& aOther) noexcept
{
  if (this != &aOther) {
    (void)Resize(0);
    budget_ = aOther.budget_;
    kind_ = aOther.kind_;
    bytes_ = std::exchange(aOther.bytes_, 0);
  }
  return *this;
}

bool
MemoryReservation::Resize(std::size_t aBytes) noexcept
{
  if (budget_ == nullptr) {
    return true;
  }
  if (aBytes > bytes_) {
    if (!budget_->TryReserve(kind_, aBytes - bytes_)) {
      return false;
    }
  } else {
    budget_->Release(kind_, bytes_ - aBytes);
  }
  bytes_ = aBytes;
  return true;
}

} // namespace geraniumpin
