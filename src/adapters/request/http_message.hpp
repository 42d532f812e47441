#pragma once

#include "geraniumpin/request/call.hpp"

#include <string>
#include <string_view>

namespace geraniumpin {

/// \brief An HTTP request, received or to send.
struct HttpRequest
{
  const std::string method_;
  const std::string host_; ///< empty: not stated; the server's address is sent
  const std::string path_; ///< with the query
  const HeaderFields headers_;
  const Body body_;
};

/// \brief The parts of a request that select its route; views into the request.
struct RequestTarget
{
  const std::string_view method_;
  const std::string_view host_;
  const std::string_view path_; ///< with the query

  auto operator<=>(const RequestTarget&) const = default;
};

/// \brief An HTTP response, received or to send.
struct HttpResponse
{
  const int status_ = 200;
  const HeaderFields headers_;
  const Body body_;
};

/// \brief Returns true for a control byte, which no field value may hold (RFC 9110, 5.5). A tab is
/// none.
[[nodiscard]] constexpr bool
IsControlByte(char aByte) noexcept
{
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte); // char is signed on some processors only
  return (byte < ' ' && byte != '\t') || byte == kDelete;
}

/// \brief Returns true for the status of an interim response, which others follow (RFC 9110, 15.2).
[[nodiscard]] constexpr bool
IsInterimStatus(int aStatus) noexcept
{
  return aStatus >= 100 && aStatus <= 199;
}

/// \brief Returns true for a status with which a response ends an exchange: defined by HTTP (RFC
/// 9110, 15) and not interim.
[[nodiscard]] constexpr bool
IsFinalStatus(int aStatus) noexcept
{
  return aStatus >= 200 && aStatus <= 599;
}

/// \brief Returns true if a field may stand in a header: its name is a token, and its value has no
/// control bytes.
[[nodiscard]] bool
IsValidField(std::string_view aName, std::string_view aValue) noexcept;

/// \brief Finds the value of the first field of that lower-case name; empty if there is none.
[[nodiscard]] std::string_view
FindHeader(const HeaderFields& aFields, std::string_view aName) noexcept;

/// \brief Returns true if a field of that lower-case name applies to a single connection and must
/// not be forwarded.
[[nodiscard]] bool
IsHopByHop(std::string_view aName) noexcept;

/// \brief Returns the standard reason phrase of a status.
[[nodiscard]] const char*
ReasonPhrase(int aStatus) noexcept;

/// \brief Returns the value of a query parameter, percent-decoded; empty if it is missing.
[[nodiscard]] std::string
QueryParameter(std::string_view aPath, std::string_view aName);

} // namespace geraniumpin
