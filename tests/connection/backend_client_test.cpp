#define BOOST_TEST_MODULE backend_client
#include "../../platform/users_interface.hpp"
#include "../../src/adapters/connection/backend_client.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "../support/scripted_server.hpp"

#include <boost/test/included/unit_test.hpp>
#include <functional>
#include <optional>

using namespace geraniumpin;
using namespace geraniumpin::test;
using std::chrono::milliseconds;

namespace {

/// Returns the result of an exchange whose response has this status line and these fields.
BackendResult
GetBackendResult(const HeaderNames& aNames, const std::string& aStatus, const std::string& aFields)
{
  SystemClock clock;
  EventLoop loop;
  ScriptedServer server;
  HttpClient http(loop, { milliseconds(4000), 1U << 20U });
  std::optional<BackendResult> result;
  BackendClient client(
    http, server.Address(), aNames, [&](const BackendCompletion& aEnd) { result = aEnd.result_; });
  client.Start({ .id_ = { { 1, 1 }, 1 },
                 .requestId_ = "r1",
                 .method_ = "GET",
                 .host_ = "shop.example",
                 .path_ = "/x",
                 .body_ = MakeBody(""),
                 .remaining_ = milliseconds(1000) });
  bool answered = false;
  for (int i = 0; i < 400 && !result; ++i) {
    loop.RunOnce(clock.Now() + milliseconds(5));
    server.Accept();
    if (!answered && server.Read().find("\r\n\r\n") != std::string::npos) {
      std::string answer = "HTTP/1.1 ";
      answer.append(aStatus).append("\r\n").append(aNames.requestId_).append(": r1\r\n");
      server.Write(answer.append(aFields).append("content-length: 0\r\n\r\n"));
      answered = true;
    }
  }
  BOOST_REQUIRE(result.has_value());
  return *result;
}

} // namespace

// A refusal permits the retry of a request that must not run twice, so no other response may be
// classified as one.
BOOST_AUTO_TEST_CASE(only_the_specified_form_is_a_refusal_in_the_own_interface)
{
  const HeaderNames own;
  const auto expectResult =
    [&](const std::string& aStatus, const std::string& aFields, BackendResult aExpected) {
      BOOST_TEST((GetBackendResult(own, aStatus, aFields) == aExpected), aStatus << " " << aFields);
    };
  expectResult("503 Service Unavailable", "not-started: true\r\n", BackendResult::Shed);
  expectResult("503 Service Unavailable", "not-started: false\r\n", BackendResult::Answered);
  expectResult("503 Service Unavailable", "not-started: \r\n", BackendResult::Answered);
  expectResult("503 Service Unavailable", "", BackendResult::Answered);
  expectResult("200 OK", "not-started: true\r\n", BackendResult::Answered);
  expectResult("500 Internal Server Error", "not-started: true\r\n", BackendResult::Answered);
  expectResult("421 Misdirected Request", "", BackendResult::Answered);
}

BOOST_AUTO_TEST_CASE(a_refusal_on_the_users_platform_is_identified_by_its_field)
{
  const auto users = UsersInterface::Headers();
  const auto field = users.notStarted_ + ": 1\r\n";
  BOOST_TEST((GetBackendResult(users, "503 Service Unavailable", field) == BackendResult::Shed));
  BOOST_TEST((GetBackendResult(users, "429 Too Many Requests", field) == BackendResult::Shed));
  BOOST_TEST((GetBackendResult(users, "503 Service Unavailable", "") == BackendResult::Answered));
  BOOST_TEST(
    (GetBackendResult(users, "421 Misdirected Request", field) == BackendResult::OtherInstance));
}

// A backend server wrote an earlier refusal once more on a kept connection, and it was taken for
// the response to the second attempt of the same request, which was running.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_is_not_taken_for_the_response_to_the_next_attempt)
{
  const HeaderNames names;
  SystemClock clock;
  EventLoop loop;
  ScriptedServer server;
  HttpClient http(loop, { milliseconds(4000), 1U << 20U });
  std::optional<BackendResult> result;
  BackendClient client(
    http, server.Address(), names, [&](const BackendCompletion& aEnd) { result = aEnd.result_; });
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n" + names.requestId_ +
                              ": r1\r\nnot-started: true\r\ncontent-length: 0\r\n\r\n";
  const std::string answer =
    "HTTP/1.1 200 OK\r\n" + names.requestId_ + ": r1\r\ncontent-length: 0\r\n\r\n";
  const auto run = [&](const std::function<bool()>& aUntil) {
    for (int i = 0; i < 400 && !aUntil(); ++i) {
      loop.RunOnce(clock.Now() + milliseconds(5));
      server.Accept();
    }
  };
  const auto start = [&](std::uint32_t aAttempt) {
    result.reset();
    client.Start({ .id_ = { { 1, 1 }, aAttempt },
                   .requestId_ = "r1",
                   .method_ = "POST",
                   .host_ = "shop.example",
                   .path_ = "/x",
                   .body_ = MakeBody(""),
                   .remaining_ = milliseconds(1000),
                   .isRepeated_ = aAttempt > 1 });
    run([&] { return server.Read().find("\r\n\r\n") != std::string::npos; });
  };
  start(1);
  server.Write(refusal);
  run([&] { return result.has_value(); });
  BOOST_TEST((result == BackendResult::Shed));
  start(2);
  BOOST_TEST(server.AcceptedCount() == 2);
  run([&] { return result.has_value(); });
  BOOST_TEST(!result.has_value());
  server.Write(answer);
  run([&] { return result.has_value(); });
  BOOST_TEST((result == BackendResult::Answered));
}
