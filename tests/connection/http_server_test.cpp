#define BOOST_TEST_MODULE http_server
#include "../support/http_server_cases.hpp"

namespace geraniumpin::test {

const std::optional<PipelineLimits> kPipelining;

} // namespace geraniumpin::test
