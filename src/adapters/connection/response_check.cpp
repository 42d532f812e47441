#include "response_check.hpp"

#include "../request/http_message.hpp"

#include <boost/asio/buffer.hpp>

namespace geraniumpin {

namespace impl {
namespace {

namespace http = boost::beast::http;

using Head = ResponseParser::value_type::header_type;

bool
IsInformational(const Head& aHead) noexcept
{
  return http::to_status_class(aHead.result_int()) == http::status_class::informational;
}

/// No request asks for another protocol, so the bytes after a 101 are of none that is known.
bool
HasValidStatus(const Head& aHead) noexcept
{
  return IsInformational(aHead) ? aHead.result() != http::status::switching_protocols
                                : IsFinalStatus(static_cast<int>(aHead.result_int()));
}

boost::system::error_code
CheckHead(const ResponseParser& aParser)
{
  const auto& head = aParser.get().base();
  if (!HasValidStatus(head)) {
    return http::error::bad_status;
  }
  return {};
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
