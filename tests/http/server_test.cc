#include "http/server.h"

#include "net/socket.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "http/client.h"
#include "support/raw_caller.h"

namespace toucandock::http {
namespace {

using support::RawCaller;

std::vector<std::string> ValuesOf(const Headers& headers,
                                  absl::string_view name) {
  std::vector<std::string> values;
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key, name)) {
      values.push_back(value);
    }
  }
  return values;
}

}  // namespace

// Closing the listening socket resets the connections that wait to be accepted,
// and the requests on them would be lost.
TEST_CASE("a drain must not reset connections that were made before it") {
  // Whether the server has accepted the connection before the drain begins is
  // random, so several rounds are made.
  constexpr int kRounds = 20;
  for (int n = 0; n < kRounds; ++n) {
    const auto server =
        Server::Start({}, [](const Request&) { return Response{}; });
    REQUIRE(server.ok());
    const RawCaller caller((*server)->address());
    caller.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK((*server)->Drain(std::chrono::seconds(5)));
    const std::string answer = caller.ReadAll();
    CHECK(absl::StartsWith(answer, "HTTP/1.1 200"));
    CHECK(absl::StrContains(answer, "Connection: close"));
  }
}

// A connection whose handshake completes while the listening socket is closed
// would be reset.
TEST_CASE("a drain must answer callers that connect while it begins") {
  constexpr int kRounds = 20;
  constexpr int kCallers = 4;
  support::ConnectingCallers callers;
  for (int n = 0; n < kRounds; ++n) {
    const auto server =
        Server::Start({}, [](const Request&) { return Response{}; });
    REQUIRE(server.ok());
    callers.Start((*server)->address(), kCallers);
    callers.WaitForAnswers(kCallers * 10);
    CHECK((*server)->Drain(std::chrono::seconds(5)));
  }
  CHECK(callers.CountCut() == 0);
}

TEST_CASE("what a caller sends must be answered in order or refused") {
  int handled = 0;
  const auto server =
      Server::Start({.max_body = 16}, [&](const Request& request) {
        ++handled;
        return Response{.status = request.body_too_large ? 413 : 200,
                        .body = request.path};
      });
  REQUIRE(server.ok());
  const RawCaller caller((*server)->address());

  SUBCASE("requests that do not wait for the answers before them") {
    caller.Write(
        "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\n"
        "xxGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = caller.ReadAll();
    CHECK(answers.find("/1") < answers.find("/2"));
    CHECK(answers.find("/2") < answers.find("/3"));
    CHECK(handled == 3);
  }

  SUBCASE("a body that waits for the interim response 100") {
    caller.Write(
        "POST /1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
        "Connection: close\r\n\r\n");
    caller.Write("xx");
    const std::string answers = caller.ReadAll();
    CHECK(absl::StartsWith(answers, "HTTP/1.1 100"));
    CHECK(absl::StrContains(answers, "HTTP/1.1 200"));
  }

  SUBCASE("a body above the limit, which is not read") {
    caller.Write("POST /1 HTTP/1.1\r\nContent-Length: 17\r\n\r\n");
    CHECK(absl::StartsWith(caller.ReadAll(), "HTTP/1.1 413"));
  }

  SUBCASE("two lengths that contradict each other") {
    caller.Write(
        "POST /1 HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n"
        "xxx");
    CHECK(absl::StartsWith(caller.ReadAll(), "HTTP/1.1 400"));
    CHECK(handled == 0);
  }

  SUBCASE("no HTTP") {
    caller.Write("HELO x\r\n\r\n");
    CHECK(absl::StartsWith(caller.ReadAll(), "HTTP/1.1 400"));
    CHECK(handled == 0);
  }
}

TEST_CASE(
    "the server must neither truncate nor change requests and responses") {
  std::mutex mutex;
  Request seen;
  Response answer = {.body = "good"};
  auto server = Server::Start({}, [&](const Request& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    seen = request;
    return answer;
  });
  REQUIRE(server.ok());
  Client client;
  const auto exchange = [&](const Request& request) {
    return client.Exchange((*server)->address(), request, {});
  };

  SUBCASE("a body with all bytes") {
    std::string body;
    for (int n = 0; n < 1'024; ++n) {
      body += static_cast<char>(n);
    }
    answer.body = body;
    const ExchangeResult result =
        exchange({.method = "POST", .path = "/x", .body = body});
    CHECK(result.response.body == body);
    CHECK(seen.body == body);
  }

  SUBCASE("a form whose body the library parses") {
    for (const char* type :
         {"application/x-www-form-urlencoded", "multipart/form-data",
          "multipart/form-data; boundary=b", "application/json"}) {
      for (const char* body : {"a=1&b=%zz&&=", "--b\r\nbroken", "{"}) {
        const ExchangeResult result =
            exchange({.method = "POST",
                      .path = "/x",
                      .headers = {{"Content-Type", type}},
                      .body = body});
        CHECK(result.response.status == 200);
        CHECK(seen.body == body);
      }
    }
  }

  SUBCASE("a path and a query in their encoded form") {
    exchange({.path = "/a%2Fb/..//c%20d/", .query = "x=%41+1&x=2&&y"});
    CHECK(seen.path == "/a%2Fb/..//c%20d/");
    CHECK(seen.query == "x=%41+1&x=2&&y");
  }

  SUBCASE("several request headers of one name") {
    exchange({.headers = {{"X-List", "a"}, {"X-List", "b"}}});
    const auto values = ValuesOf(seen.headers, "X-List");
    std::string all;
    for (const std::string& it : values) {
      absl::StrAppend(&all, all.empty() ? "" : ", ", it);
    }
    CHECK(absl::StrReplaceAll(all, {{", ", ","}}) == "a,b");
  }

  SUBCASE("several response headers of one name") {
    answer.headers = {{"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"},
                      {"set-cookie", "c=3"}, {"Vary", "a"},
                      {"vary", "b"},         {"X-One", "x"}};
    const ExchangeResult result = exchange({.path = "/x"});
    CHECK(ValuesOf(result.response.headers, "Set-Cookie").size() == 3);
    CHECK(ValuesOf(result.response.headers, "X-One").size() == 1);
    const auto vary = ValuesOf(result.response.headers, "Vary");
    REQUIRE(vary.size() == 1);
    CHECK(vary[0] == "a, b");
  }

  SUBCASE("responses without a body") {
    answer = {.status = 204};
    CHECK(exchange({.path = "/x"}).progress == Progress::kComplete);
    answer = {.status = 200};
    CHECK(exchange({.path = "/x"}).progress == Progress::kComplete);
    answer = {.status = 200, .body = "good"};
    const ExchangeResult result = exchange({.method = "HEAD", .path = "/x"});
    CHECK(result.progress == Progress::kComplete);
    CHECK(result.response.body.empty());
  }
}

TEST_CASE("headers above the limit must not reach the handler") {
  bool called = false;
  auto server = Server::Start({.max_headers = 16 << 10}, [&](const Request&) {
    called = true;
    return Response{};
  });
  REQUIRE(server.ok());
  Client client;
  const ExchangeResult result = client.Exchange(
      (*server)->address(),
      {.headers = {{"X-Huge", std::string(64 << 10, 'x')}}}, {});
  CHECK(result.response.status >= 400);
  CHECK_FALSE(called);
}

}  // namespace toucandock::http
