#define BOOST_TEST_MODULE deflate
#include "../../src/adapters/version/deflate.hpp"
#include "../support/documents.hpp"

#include <boost/test/included/unit_test.hpp>
#include <random>

using namespace geraniumpin;
using namespace geraniumpin::test;

namespace {

constexpr std::size_t kMaxBytes = 1'000'000;

} // namespace

BOOST_AUTO_TEST_CASE(compression_and_decompression_restore_the_bytes)
{
  for (const std::size_t size : { 0U, 1U, 65535U, 65536U, 65537U, 300000U }) {
    const std::string text(size, 'x');
    const auto deflated = Deflate(text);
    BOOST_TEST(IsDeflated(deflated));
    BOOST_TEST(Inflate(deflated, kMaxBytes).value() == text);
    BOOST_TEST((size == 0 || !Inflate(deflated, size - 1)));
  }
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_refused)
{
  std::mt19937_64 random(1);
  const auto deflated = Deflate(MakeDocument({}).dump());
  for (int i = 0; i < 2000; ++i) {
    auto damaged = deflated.substr(0, random() % deflated.size());
    if (!damaged.empty() && i % 2 == 0) {
      auto& byte = damaged[random() % damaged.size()];
      byte = static_cast<char>(byte ^ (1 << (random() % 8)));
    }
    BOOST_TEST(!Inflate(damaged, kMaxBytes));
  }
}

// Load pattern "burst of versions": hundreds of routes are sent over links of low bandwidth.
BOOST_AUTO_TEST_CASE(encoded_routes_are_small_and_equal_for_equal_parts)
{
  std::vector<Route> routes;
  routes.reserve(50);
  for (int i = 0; i < 50; ++i) {
    routes.push_back({ .name_ = "r-" + std::to_string(i * 7919),
                       .host_ = "shop.example",
                       .pathPrefix_ = "/p" + std::to_string(i * 104729) + "/",
                       .methods_ = {},
                       .destinations_ = { { .service_ = "orders" } },
                       .access_ = Access::Keyed,
                       .idempotent_ = true,
                       .timeout_ = std::chrono::milliseconds(500) });
  }
  const JsonPartCodec codec;
  const RoutesPart part{ routes };
  const auto bytes = codec.Encode(part);
  BOOST_TEST(bytes.size() < 50U * 40U);
  BOOST_TEST(bytes == codec.Encode(RoutesPart{ routes }));
  const auto decoded = codec.Decode("routes/0", bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((std::get<RoutesPart>(**decoded) == part));
  BOOST_TEST(!codec.Decode("routes/0", bytes.substr(0, bytes.size() / 2)));
}
