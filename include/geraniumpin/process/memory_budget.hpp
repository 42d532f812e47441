#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace geraniumpin {

/// \brief What the bytes are that a node holds for others.
enum class MemoryKind : std::uint8_t
{
  IncomingBodies,  ///< from the first byte of a body until the response to its request
  WaitingResponses ///< of responses that are not sent
};
constexpr std::size_t kMemoryKinds = 2;

/// \brief Returns the name of the kind in lower case with underscores.
[[nodiscard]] std::string_view
ToString(MemoryKind aKind) noexcept;

/// \brief Bytes that are held, by kind.
struct HeldMemory
{
  const std::array<std::size_t, kMemoryKinds> bytes_{};

  auto operator<=>(const HeldMemory&) const = default;
};

/// \brief The accountant of the memory that a process holds for others; asked before bytes are read
/// or kept.
///
/// The sum of what is held never exceeds the capacity.
///
/// \code
/// MemoryReservation reservation(budget, MemoryKind::IncomingBodies);
/// if (!reservation.Resize(MemoryBudget::BodyCost(contentLength))) { ... refuse ... }
/// \endcode
class MemoryBudget
{
public:
  /// \brief Bytes of memory that a held byte of a body costs.
  ///
  /// A chunked body exists twice while its string grows, and a complete body is copied once more
  /// into the message to its owner.
  static constexpr std::size_t kBodyCostFactor = 2;

  /// \brief Share of the machine's memory that is not given out.
  ///
  /// Holds the process without requests (13 MB measured) with its configuration, and the buffers of
  /// the sockets, of the transport and of the libraries: 40 MB of the smallest machine of 160 MB.
  static constexpr std::size_t kReserveDivisor = 4;

  /// \brief Share of the capacity that waiting responses may take.
  ///
  /// The rest covers responses that are read from an instance and passed between nodes, which are
  /// not counted: 20 MB with responses of 8 MB. It also holds the largest response, as the capacity
  /// holds the largest body at twice its size.
  static constexpr std::size_t kResponsesDivisor = 2;

  explicit MemoryBudget(std::size_t aCapacity) noexcept
    : capacity_(aCapacity)
  {
  }

  /// \brief Computes the capacity of a machine: its memory less the reserve, or one largest body if
  /// that is more, so that a single request inside the limits is always served.
  /// \param aMemoryBytes Memory of the machine.
  /// \param aMaxBodyBytes Size of the largest body.
  /// \returns The capacity in bytes.
  [[nodiscard]] static constexpr std::size_t ComputeCapacity(std::size_t aMemoryBytes,
                                                             std::size_t aMaxBodyBytes) noexcept
  {
    const auto shared = aMemoryBytes - aMemoryBytes / kReserveDivisor;
    const auto largest = BodyCost(aMaxBodyBytes);
    return shared > largest ? shared : largest;
  }

  /// \brief Returns what a body costs, in bytes of memory.
  [[nodiscard]] static constexpr std::size_t BodyCost(std::size_t aBodyBytes) noexcept
  {
    return kBodyCostFactor * aBodyBytes;
  }

  /// \returns False, with nothing reserved, if the bytes would exceed the capacity or the limit of
  /// their kind.
  [[nodiscard]] bool TryReserve(MemoryKind aKind, std::size_t aBytes) noexcept;

  /// \param aBytes At most what was reserved of this kind.
  void Release(MemoryKind aKind, std::size_t aBytes) noexcept;

  [[nodiscard]] std::size_t Capacity() const noexcept { return capacity_; }
  /// \brief Returns the bytes that may be held of a kind.
  [[nodiscard]] std::size_t Limit(MemoryKind aKind) const noexcept
  {
    return aKind == MemoryKind::WaitingResponses ? capacity_ / kResponsesDivisor : capacity_;
  }

  [[nodiscard]] std::size_t HeldBytes() const noexcept;
  [[nodiscard]] std::size_t HeldBytes(MemoryKind aKind) const noexcept
  {
    return held_[static_cast<std::size_t>(aKind)];
  }
  [[nodiscard]] HeldMemory Held() const noexcept { return { held_ }; }

private:
  std::size_t capacity_;
  std::array<std::size_t, kMemoryKinds> held_{};
};

/// \brief A part of a budget that is released at the end of its life.
class MemoryReservation
{
public:
  /// \brief A reservation without budget, which admits everything and counts nothing.
  MemoryReservation() = default;
  MemoryReservation(MemoryBudget& aBudget, MemoryKind aKind) noexcept
    : budget_(&aBudget)
    , kind_(aKind)
  {
  }
  MemoryReservation(MemoryReservation&& aOther) noexcept
    : budget_(aOther.budget_)
    , kind_(aOther.kind_)
    , bytes_(std::exchange(aOther.bytes_, 0))
  {
  }
  MemoryReservation& operator=(MemoryReservation&& aOther) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { (void)Resize(0); }

  /// \brief Changes the size of the reservation; a smaller size is always granted.
  /// \returns False, with the former size, if the budget does not admit it.
  [[nodiscard]] bool Resize(std::size_t aBytes) noexcept;

  [[nodiscard]] MemoryKind Kind() const noexcept { return kind_; }
  [[nodiscard]] std::size_t Bytes() const noexcept { return bytes_; }

private:
  MemoryBudget* budget_ = nullptr;
  MemoryKind kind_ = MemoryKind::IncomingBodies;
  std::size_t bytes_ = 0;
};

} // namespace geraniumpin
