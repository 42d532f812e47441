#include "geraniumpin/connection/holding_connection.hpp"

namespace geraniumpin {

std::optional<std::size_t>
FindConnectionToClose(std::span<const HoldingConnection> aConnections) noexcept
{
  // Progress for each held byte, as a fraction: a is worse than b if pa / ha < pb / hb.
  const auto isWorse = [](const HoldingConnection& aLeft, const HoldingConnection& aRight) {
    const auto left =
      static_cast<double>(aLeft.recentBytes_) / static_cast<double>(aLeft.heldBytes_);
    const auto right =
      static_cast<double>(aRight.recentBytes_) / static_cast<double>(aRight.heldBytes_);
    return left != right ? left < right : aLeft.heldBytes_ > aRight.heldBytes_;
  };
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const auto& connection = aConnections[i];
    const bool isCandidate = connection.mayClose_ && connection.heldBytes_ > 0;
    if (isCandidate && (!chosen || isWorse(connection, aConnections[*chosen]))) {
      chosen = i;
    }
  }
  return chosen;
}

} // namespace geraniumpin
