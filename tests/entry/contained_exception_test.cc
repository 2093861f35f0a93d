#include "entry/contained_exception.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "entry/traffic_host.h"
#include "support/raw_caller.h"

namespace toucandock::entry {
namespace {

using support::RawCaller;

// The HTTP library throws for a field with a longer value.
constexpr size_t kTooLongField = 70'000;

std::string BodyOf(const std::string& message) {
  return message.substr(message.find("\r\n\r\n") + 4);
}

// A host whose target keeps what it received and answers each request as the
// test says.
class RecordingHost {
 public:
  RecordingHost()
      : host_([this](http::RawConnection& connection) {
          const std::string request = connection.ReadRequest();
          const std::lock_guard lock(mutex_);
          if (!request.empty()) {
            received_.push_back(request);
            connection.Write(answer_);
          }
        }) {}

  // Sets the answer of the target to the requests that follow.
  void Answer(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    answer_ = bytes;
  }

  std::string Call(const std::string& bytes) const {
    const RawCaller caller(host_.address());
    caller.Write(bytes);
    return caller.ReadAll();
  }

  // Returns what the target has received since the last call.
  std::vector<std::string> TakeReceived() {
    const std::lock_guard lock(mutex_);
    return std::exchange(received_, {});
  }

  const std::string& address() const { return host_.address(); }
  std::string readiness_address() const { return host_.readiness_address(); }

 private:
  std::mutex mutex_;
  std::string answer_ =
      "HTTP/1.1 200 OK\r\nDigest: d\r\nContent-Length: 2\r\n"
      "Connection: close\r\n\r\nok";
  std::vector<std::string> received_;
  TrafficHost host_;
};

std::string Request(const std::string& method, const std::string& rest) {
  return absl::StrCat(method,
                      " /run/x HTTP/1.1\r\nHost: x\r\nId: r1\r\n"
                      "Connection: close\r\n",
                      rest);
}

constexpr char kProper[] =
    "GET /run/x HTTP/1.1\r\nHost: x\r\nId: r2\r\nConnection: close\r\n\r\n";

}  // namespace

// Guards against a message that ends the process with the requests of all other
// callers: the HTTP library throws for TRACE with content.
TEST_CASE("no method, body or status may end the host") {
  const std::string methods[] = {"GET",      "HEAD",  "POST",  "PUT",
                                 "DELETE",   "PATCH", "TRACE", "OPTIONS",
                                 "CONNECT",  "COPY",  "MOVE",  "SEARCH",
                                 "PROPFIND", "MERGE", "PURGE", "ODD-METHOD"};
  RecordingHost host;

  SUBCASE("requests are passed on unchanged; TRACE with content is refused") {
    struct Body {
      std::string fields_and_body;
      std::string received;
    };
    const Body bodies[] = {
        {"\r\n", ""},
        {"Content-Length: 0\r\n\r\n", ""},
        {"Content-Length: 5\r\n\r\nhello", "hello"},
        {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
        {"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello"},
    };
    for (const std::string& method : methods) {
      const bool is_head = method == "HEAD";
      host.Answer(
          absl::StrCat("HTTP/1.1 200 OK\r\nDigest: d\r\nContent-Length: 2\r\n"
                       "Connection: close\r\n\r\n",
                       is_head ? "" : "ok"));
      for (const Body& it : bodies) {
        CAPTURE(method);
        CAPTURE(it.fields_and_body);
        const std::string answer =
            host.Call(Request(method, it.fields_and_body));
        const std::vector<std::string> received = host.TakeReceived();
        if (method == "TRACE" && !it.received.empty()) {
          CHECK(absl::StartsWith(answer, "HTTP/1.1 400 "));
          CHECK(absl::StrContains(answer, "not-run"));
          CHECK(received.empty());
          continue;
        }
        CHECK(absl::StartsWith(answer, "HTTP/1.1 200 "));
        CHECK(BodyOf(answer) == (is_head ? "" : "ok"));
        REQUIRE(received.size() == 1);
        CHECK(absl::StartsWith(received[0], absl::StrCat(method, " /run/x ")));
        CHECK(BodyOf(received[0]) == it.received);
      }
    }
  }
  SUBCASE("answers are passed on with their status") {
    const int statuses[] = {200, 201, 202, 203, 204, 205, 206, 299, 300,
                            301, 304, 307, 400, 401, 404, 405, 409, 410,
                            418, 422, 429, 451, 500, 503, 599};
    for (const std::string method : {"GET", "HEAD", "POST", "OPTIONS"}) {
      for (const int status : statuses) {
        for (const std::string body : {"", "ok"}) {
          CAPTURE(method);
          CAPTURE(status);
          CAPTURE(body);
          host.Answer(absl::StrCat(
              "HTTP/1.1 ", status,
              " Odd\r\nDigest: d\r\nContent-Length: ", body.size(),
              "\r\nConnection: close\r\n\r\n", method == "HEAD" ? "" : body));
          const std::string answer = host.Call(Request(method, "\r\n"));
          CHECK(
              absl::StartsWith(answer, absl::StrCat("HTTP/1.1 ", status, " ")));
          const bool is_bodiless =
              method == "HEAD" || status == 204 || status == 304;
          CHECK(BodyOf(answer) == (is_bodiless ? "" : body));
          CHECK(host.TakeReceived().size() == 1);
        }
      }
    }
  }
  SUBCASE("an answer with a status that HTTP does not have is no answer") {
    for (const std::string method : {"GET", "HEAD", "POST", "OPTIONS"}) {
      for (const char* status : {"000", "099", "600", "999"}) {
        for (const std::string body : {"", "ok"}) {
          CAPTURE(method);
          CAPTURE(status);
          CAPTURE(body);
          host.Answer(absl::StrCat(
              "HTTP/1.1 ", status,
              " Odd\r\nDigest: d\r\nContent-Length: ", body.size(),
              "\r\nConnection: close\r\n\r\n", method == "HEAD" ? "" : body));
          const std::string answer = host.Call(Request(method, "\r\n"));
          CHECK(absl::StartsWith(answer, "HTTP/1.1 502 "));
          CHECK_FALSE(absl::StrContains(answer, "Digest"));
          CHECK(host.TakeReceived().size() == 1);
        }
      }
    }
  }
}

// Guards against trailers for which the HTTP library throws inside its own
// operation, where no handler can catch it.
TEST_CASE("a field that the HTTP library cannot hold must cost one message") {
  const std::string trailers[] = {
      absl::StrCat("0\r\nT: ", std::string(kTooLongField, 'x'), "\r\n\r\n"),
      absl::StrCat("0\r\n", std::string(kTooLongField, 't'), ": x\r\n\r\n"),
  };
  for (const std::string& it : trailers) {
    RecordingHost host;
    SUBCASE("in a request") {
      const std::string answer = host.Call(
          Request("POST", absl::StrCat("Transfer-Encoding: chunked\r\n\r\n",
                                       "1\r\na\r\n", it)));
      CHECK(absl::StartsWith(answer, "HTTP/1.1 400 "));
      CHECK(absl::StrContains(answer, "not-run"));
      CHECK(host.TakeReceived().empty());
    }
    SUBCASE("in an answer") {
      host.Answer(
          absl::StrCat("HTTP/1.1 200 OK\r\nId: r1\r\nDigest: d\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
                       it));
      CHECK(absl::StartsWith(host.Call(Request("POST", "\r\n")),
                             "HTTP/1.1 502 "));
    }
    SUBCASE("in a health check") {
      const RawCaller checker(host.readiness_address());
      checker.Write(absl::StrCat(
          "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          it));
      CHECK_FALSE(absl::StartsWith(checker.ReadAll(), "HTTP/1.1 200 "));
    }
    host.Answer(
        "HTTP/1.1 200 OK\r\nDigest: d\r\nContent-Length: 0\r\n"
        "Connection: close\r\n\r\n");
    CHECK(absl::StartsWith(host.Call(kProper), "HTTP/1.1 200 "));
  }
}

// Guards against a thread that ends, with the process, at an exception that no
// other boundary has caught.
TEST_CASE("an exception must not end the thread that runs the handlers") {
  boost::asio::io_context io;
  const std::uint64_t before = ContainedExceptions();
  bool has_run = false;
  boost::asio::post(io, [] { throw std::length_error("test"); });
  boost::asio::post(io, [&has_run] { has_run = true; });
  RunHandlers(io, "test");
  CHECK(has_run);
  CHECK(ContainedExceptions() == before + 1);
}

}  // namespace toucandock::entry
