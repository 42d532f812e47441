#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace geraniumpin {

/// \brief Parser of HTTP/1 responses.
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

/// \brief Limits of a response, in bytes.
struct ResponseLimits
{
  const std::uint32_t maxHeaderBytes_ = 0;
  const std::size_t maxBodyBytes_ = 0;
};

/// \brief Sets up a new parser for ParseResponse.
/// \param aIsHead The response is to a HEAD request, so it has no body.
void
SetUpParser(ResponseParser& aParser, const ResponseLimits& aLimits, bool aIsHead);

/// \brief Parses bytes of a response, and refuses what Boost.Beast accepts although HTTP/1.1 does
/// not allow it: a status out of range, a framing that does not delimit the body, a control byte in
/// a chunk extension.
/// \returns The number of bytes that were parsed.
/// \param aError need_more, or why the response is malformed; cleared otherwise.
[[nodiscard]] std::size_t
ParseResponse(ResponseParser& aParser, std::string_view aBytes, boost::system::error_code& aError);

} // namespace geraniumpin
