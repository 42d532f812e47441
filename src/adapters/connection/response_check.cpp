#include "response_check.hpp"

#include "../request/http_message.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>

namespace geraniumpin {

namespace impl {
namespace {

namespace http = boost::beast::http;

using Head = ResponseParser::value_type::header_type;

/// No request asks for another protocol, so the bytes after a 101 are of none that is known.
bool
IsValidStatus(int aStatus) noexcept
{
  constexpr int kSwitchingProtocols = 101;
  return (IsInterimStatus(aStatus) && aStatus != kSwitchingProtocols) || IsFinalStatus(aStatus);
}

/// The request names no transfer codings, so a server may use only "chunked" (RFC 9112, 6.1).
bool
HasValidTransferEncoding(const Head& aHead)
{
  const auto [first, last] = aHead.equal_range(http::field::transfer_encoding);
  if (first == last) {
    return true;
  }
  const http::opt_token_list codings(first->value());
  const bool isChunked = std::next(first) == last && http::validate_list(codings) &&
                         std::distance(codings.begin(), codings.end()) == 1 &&
                         boost::beast::iequals(*codings.begin(), "chunked");
  constexpr unsigned kHttp11 = 11;
  return isChunked && aHead.version() == kHttp11;
}

/// Returns true if a response with this status has no body whatever its fields say (RFC 9112, 6.3).
bool
HasNoContent(int aStatus) noexcept
{
  constexpr int kNoContent = 204;
  return IsInterimStatus(aStatus) || aStatus == kNoContent;
}

/// A stated body that is not sent leaves open to which response the next bytes belong. Many servers
/// state the length 0.
bool
StatesContent(const ResponseParser& aParser)
{
  const auto length = aParser.content_length();
  return aParser.chunked() || (length && *length > 0);
}

boost::system::error_code
CheckHead(const ResponseParser& aParser)
{
  const auto& head = aParser.get().base();
  const auto status = static_cast<int>(head.result_int());
  if (!IsValidStatus(status)) {
    return http::error::bad_status;
  }
  if (!HasValidTransferEncoding(head)) {
    return http::error::bad_transfer_encoding;
  }
  if (HasNoContent(status) && StatesContent(aParser)) {
    return http::error::bad_content_length;
  }
  return {};
}

/// Boost.Beast accepts any byte within the quotes of a chunk extension.
void
CheckChunkExtensions(std::uint64_t /*aChunkBytes*/,
                     boost::beast::string_view aExtensions,
                     boost::system::error_code& aError)
{
  const bool isValid = std::none_of(aExtensions.begin(), aExtensions.end(), IsControlByte);
  aError = isValid ? boost::system::error_code{} : http::error::bad_chunk_extension;
}

} // namespace
} // namespace impl

void
SetUpParser(ResponseParser& aParser, const ResponseLimits& aLimits, bool aIsHead)
{
  // Header and body are parsed in separate steps, since the body limit of Beast 1.74 has no effect
  // on a body that begins in the same step.
  aParser.eager(false);
  aParser.header_limit(aLimits.maxHeaderBytes_);
  aParser.body_limit(aLimits.maxBodyBytes_);
  aParser.skip(aIsHead);
  aParser.on_chunk_header(impl::CheckChunkExtensions);
}

std::size_t
ParseResponse(ResponseParser& aParser, std::string_view aBytes, boost::system::error_code& aError)
{
  const bool hadHeader = aParser.is_header_done();
  const auto used = aParser.put(boost::asio::buffer(aBytes.data(), aBytes.size()), aError);
  if (!aError && !hadHeader && aParser.is_header_done()) {
    aError = impl::CheckHead(aParser);
  }
  return used;
}

} // namespace geraniumpin
