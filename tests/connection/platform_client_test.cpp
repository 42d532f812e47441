#define BOOST_TEST_MODULE platform_client
#include "../../platform/store_protocol.hpp"
#include "../../src/adapters/connection/json_platform.hpp"
#include "../../src/adapters/connection/platform_client.hpp"
#include "../support/http_client_fixture.hpp"

#include <boost/mpl/list.hpp>
#include <boost/test/included/unit_test.hpp>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

/// How a server ends its connection after a response.
enum class End
{
  None,
  InOrder,
  Reset
};

/// A listing without items, as both protocols encode it.
const std::string kListing =
  R"({"at_rev": 7, "revision": 7, "items": [], "has_more": false, "more": false})";

template<class Protocol>
ItemsRead
ReadItems(const std::string& aResponse, End aEnd)
{
  HttpClientFixture fixture;
  std::optional<ItemsRead> read;
  PlatformClient<Protocol> client(
    fixture.client_, fixture.server_.Address(), [&](const ItemsRead& aRead) { read = aRead; });
  client.ReadItems("");
  (void)fixture.ReceiveHead();
  fixture.server_.Write(aResponse);
  if (aEnd != End::None) {
    aEnd == End::Reset ? fixture.server_.ResetConnection() : fixture.server_.CloseConnection();
  }
  for (int i = 0; i < 100 && !read; ++i) {
    fixture.RunLoop();
  }
  BOOST_REQUIRE(read.has_value());
  return *read;
}

} // namespace

using Protocols = boost::mpl::list<JsonPlatform, StoreProtocol>;

BOOST_AUTO_TEST_CASE_TEMPLATE(a_broken_listing_is_a_failed_read_that_names_its_cause,
                              Protocol,
                              Protocols)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const auto length = "content-length: " + std::to_string(kListing.size()) + "\r\n";
  const auto expectFailed = [](const std::string& aResponse, End aEnd, const std::string& aDetail) {
    const auto read = ReadItems<Protocol>(aResponse, aEnd);
    BOOST_TEST((read.result_ == ReadResult::Failed), aDetail);
    BOOST_TEST(read.detail_ == aDetail);
  };
  expectFailed("HTTP/1.1 000 \r\n" + length + "\r\n" + kListing, End::None, "bad status");
  expectFailed(ok + "x y: 1\r\n" + length + "\r\n" + kListing, End::None, "bad field");
  expectFailed(
    ok + "transfer-encoding: gzip\r\n\r\n" + kListing, End::InOrder, "bad Transfer-Encoding");
  expectFailed(
    ok + "content-length: 999\r\n\r\n" + kListing, End::InOrder, "closed within the response");
  expectFailed(ok + "\r\n" + kListing, End::Reset, "connection reset or timed out");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(a_listing_that_ends_with_its_connection_is_read, Protocol, Protocols)
{
  const auto read = ReadItems<Protocol>("HTTP/1.1 200 OK\r\n\r\n" + kListing, End::InOrder);
  BOOST_TEST((read.result_ == ReadResult::Complete));
  BOOST_TEST(read.revision_ == 7U);
}
