#include "geraniumpin/process/node_status.hpp"

namespace geraniumpin {

std::string_view
ToString(NodeState aState) noexcept
{
  switch (aState) {
    case NodeState::Starting:
      return "starting";
    case NodeState::OpenRoutesOnly:
      return "open_routes_only";
    case NodeState::Serving:
      return "serving";
    case NodeState::Draining:
      return "draining";
  }
  return "invalid";
}

} // namespace geraniumpin
