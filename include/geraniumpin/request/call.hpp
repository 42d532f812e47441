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

/// \brief Identifies a request across all nodes and incarnations.
struct CallId
{
  std::uint64_t origin_ = 0; ///< entry node and its incarnation, see MakeOrigin
  std::uint64_t sequence_ = 0;

  auto operator<=>(const CallId&) const = default;
};

/// \brief Hashes a node address and its incarnation to the origin of a call id.
///
/// The incarnation alone is not unique: nodes that start together can read the same time.
[[nodiscard]] std::uint64_t
MakeOrigin(const NodeAddress& aNode, std::uint64_t aIncarnation) noexcept;

/// \brief Formats a call id as "origin-sequence" in hexadecimal.
[[nodiscard]] std::string
ToString(const CallId& aId);

/// \brief One HTTP header field; the name is in lower case.
struct HeaderField
{
  std::string name_;
  std::string value_;

  auto operator<=>(const HeaderField&) const = default;
};

using HeaderFields = std::vector<HeaderField>;

/// \brief A message body, shared between the stages of a request without copies; may be null.
using Body = std::shared_ptr<const std::string>;

/// \brief Copies the text into a body.
[[nodiscard]] Body
MakeBody(std::string_view aText);

/// \brief A request as the caller sent it.
struct Call
{
  const CallId id_;
  const std::string requestId_; ///< as sent by the caller; empty if absent
  const std::string method_;
  const std::string host_;     ///< as sent by the caller; empty if absent
  const std::string path_;     ///< with the query string
  const HeaderFields headers_; ///< without the credentials
  const Body body_;
  const std::string key_;            ///< API key of the caller; never forwarded, never logged
  const std::string callToken_;      ///< of a call that a backend server makes; else empty
  const std::string idempotencyKey_; ///< empty if the caller sent none
  const TimePoint arrivedAt_;
  const Duration timeout_{};       ///< timeout set by the caller; zero if none
  const bool isAbandoned_ = false; ///< its caller had closed its connection before it was read
};

/// \brief The result of a request, as the caller gets it.
struct Answer
{
  const Outcome outcome_ = Outcome::NotRun;
  const Reason reason_ = Reason::None;
  const int status_ = 0; ///< HTTP status of the backend server; 0 unless answered
  const HeaderFields headers_;
  const Body body_;
  const Duration retryAfter_{}; ///< time after which a retry may succeed; zero if unknown

  /// \brief Makes an answer without status, header fields and body.
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
