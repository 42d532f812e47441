#pragma once

#include "geraniumpin/connection/backend_connection.hpp"

#include <compare>

namespace geraniumpin {

/// \brief Identifies the transfer of a body between two nodes.
struct TransferId
{
  AttemptId attempt_;
  bool isReply_ = false; ///< the body of the reply, else of the request

  auto operator<=>(const TransferId&) const = default;
};

} // namespace geraniumpin
