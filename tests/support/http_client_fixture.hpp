#pragma once

#include "../../src/adapters/connection/http_client.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "scripted_server.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

namespace geraniumpin::test {

/// \brief An HttpClient and the server to which it sends requests, on one event loop.
struct HttpClientFixture
{
  using Result = std::shared_ptr<std::optional<HttpResult>>;

  /// \brief Sends a GET request, or a POST request if there is a body, and runs the loop until the
  /// server has read the head.
  Result Send(const std::string& aId, const std::string& aBody = "")
  {
    return Send(aBody.empty() ? "GET" : "POST", aId, aBody);
  }

  /// \brief Sends a request and runs the loop until the server has read the head.
  Result Send(const std::string& aMethod, const std::string& aId, const std::string& aBody)
  {
    auto result = std::make_shared<std::optional<HttpResult>>();
    const HttpRequest request{ .method_ = aMethod,
                               .host_ = "shop.example",
                               .path_ = "/x",
                               .headers_ = { { "id", aId } },
                               .body_ = MakeBody(aBody) };
    last_ = client_.Start(server_.Address(), request, { "id", aId }, [result](const auto& aResult) {
      result->emplace(aResult);
    });
    const auto received = ReceiveHead();
    BOOST_REQUIRE(received.find("id: " + aId) != std::string::npos);
    const auto body = received.find("\r\n\r\n");
    BOOST_REQUIRE(body != std::string::npos);
    receivedBodyBytes_ = received.size() - body - 4;
    return result;
  }

  /// \brief Runs the loop until the server has read the head of a request, for half a second at
  /// most.
  /// \returns What the server has read.
  std::string ReceiveHead()
  {
    std::string received;
    for (int i = 0; i < 100 && received.find("\r\n\r\n") == std::string::npos; ++i) {
      RunLoop();
      server_.Accept();
      received += server_.Read();
    }
    return received;
  }

  void RunLoop(int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      loop_.RunOnce(clock_.Now() + std::chrono::milliseconds(5));
    }
  }

  /// \brief Runs the loop until the exchange has ended, for half a second at most.
  void RunUntilEnd(const Result& aResult)
  {
    for (int i = 0; i < 100 && !aResult->has_value(); ++i) {
      RunLoop();
    }
  }

  /// \brief Runs the loop until the server has read this many bytes of the request body.
  void ReceiveBody(std::size_t aBytes)
  {
    for (int i = 0; i < 100000 && receivedBodyBytes_ < aBytes; ++i) {
      loop_.RunOnce(clock_.Now());
      receivedBodyBytes_ += server_.Read().size();
    }
    BOOST_REQUIRE(receivedBodyBytes_ >= aBytes);
  }

  static std::string AnswerTo(const std::string& aId, const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nid: " + aId + "\r\ncontent-length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  }

  SystemClock clock_;
  EventLoop loop_;
  ScriptedServer server_;
  HttpClient client_{ loop_, { std::chrono::milliseconds(4000), 1U << 20U } };
  ClientExchangeId last_ = 0;
  std::size_t receivedBodyBytes_ = 0; ///< by the server, of the last request
};

} // namespace geraniumpin::test
