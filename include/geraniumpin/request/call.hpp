#pragma once

#include "geraniumpin/process/clock.hpp"
#include "geraniumpin/request/outcome.hpp"
#include "geraniumpin/version/node_address.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpin {

/// \brief Names a request among those of all nodes and incarnations.
struct CallId
{
  std::uint64_t origin_ = 0; ///< of the entry node, see MakeOrigin
  std::uint64_t sequence_ = 0;

  auto operator<=>(const CallId&) const = default;
};

/// \brief Names one incarnation of one node.
///
/// Incarnations alone may be equal, since nodes that start together can read the same time.
[[nodiscard]] std::uint64_t
MakeOrigin(const NodeAddress& aNode, std::uint64_t aIncarnation) noexcept;

/// \brief Formats a call id as "origin-sequence" in hexadecimal.
[[nodiscard]] std::string
ToString(const CallId& aId);

/// \brief One HTTP header field; names are lower case.
struct HeaderField
{
  std::string name_;
  std::string value_;

  auto operator<=>(const HeaderField&) const = default;
};

using HeaderFields = std::vector<HeaderField>;

/// \brief A message body, shared between the stages of a request without copies.
using Body = std::shared_ptr<const std::string>;

/// \brief Makes a body of the text.
[[nodiscard]] Body
MakeBody(std::string_view aText);

/// \brief A request as the caller sent it, without its credentials.
struct Call
{
  const CallId id_;
  const std::string requestId_; ///< as the caller named the request; empty if it did not
  const std::string method_;
  const std::string host_; ///< as the caller named it; empty if it did not
  const std::string path_; ///< with the query
  const HeaderFields headers_;
  const Body body_;
  const std::string key_;            ///< the secret; never forwarded, never logged
  const std::string callToken_;      ///< set by a backend server that calls on
  const std::string idempotencyKey_; ///< empty if the caller sent none
  const TimePoint arrivedAt_;
  const Duration timeout_{}; ///< the caller's own limit; zero if it stated none
};

/// \brief The end of a request, as the caller gets it.
struct Answer
{
  const Outcome outcome_ = Outcome::NotRun;
  const Reason reason_ = Reason::None;
  const int status_ = 0; ///< HTTP status of the backend server; 0 unless answered
  const HeaderFields headers_;
  const Body body_;
  const Duration retryAfter_{}; ///< when a repetition may succeed; zero if unknown

  /// \brief Makes an answer without content.
  [[nodiscard]] static Answer WithoutContent(Outcome aOutcome,
                                             Reason aReason,
                                             Duration aRetryAfter = {})
  {
    return { .outcome_ = aOutcome,
             .reason_ = aReason,
             .status_ = 0,
             .headers_ = {},
             .body_ = {},
             .retryAfter_ = aRetryAfter };
  }
};

} // namespace geraniumpin
