#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "entry/traffic_host.h"
#include "support/raw_caller.h"

namespace toucandock::entry {
namespace {

using support::RawCaller;

// A host whose target answers each request with the same bytes and keeps what
// it received.
class AnsweringHost {
 public:
  explicit AnsweringHost(const std::string& answer)
      : host_([this, answer](http::RawConnection& connection) {
          for (std::string it = connection.ReadRequest(); !it.empty();
               it = connection.ReadRequest()) {
            const std::lock_guard lock(mutex_);
            received_.push_back(it);
            connection.Write(answer);
          }
        }) {}

  // Sends the bytes and returns all that comes back until the host closes the
  // connection.
  std::string Call(const std::string& bytes) const {
    const RawCaller caller(host_.address());
    caller.Write(bytes);
    return caller.ReadAll();
  }

  std::vector<std::string> received() {
    const std::lock_guard lock(mutex_);
    return received_;
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> received_;
  TrafficHost host_;
};

constexpr char kOkAnswer[] =
    "HTTP/1.1 200 OK\r\nDigest: d\r\nContent-Length: 2\r\n"
    "Connection: close\r\n\r\nok";

// Counts the status lines in what a caller received.
int CountAnswers(const std::string& bytes) {
  int n = 0;
  for (size_t at = bytes.find("HTTP/1.1 "); at != std::string::npos;
       at = bytes.find("HTTP/1.1 ", at + 1)) {
    ++n;
  }
  return n;
}

struct BadMessage {
  std::string section;
  // Fields of the message, without the one that names the host.
  std::string fields;
  std::string body;
  // Start of the answer that the caller gets.
  std::string answer;
};

// What follows each message. No target may ever get it as a request.
constexpr char kSmuggled[] =
    "POST /run/smuggled HTTP/1.1\r\nHost: x\r\nId: r2\r\n"
    "Content-Length: 0\r\n\r\n";

}  // namespace

// Guards against request smuggling: bytes of a body that the host, or a target
// behind it, takes for another request. 'xchunked' was once served, and its
// body was read as the next request.
TEST_CASE(
    "a request whose end is in doubt must be refused and end its "
    "connection") {
  const BadMessage cases[] = {
      {"6.1, unknown coding", "Transfer-Encoding: xchunked\r\n", "",
       "HTTP/1.1 400 "},
      {"6.1, further coding", "Transfer-Encoding: gzip, chunked\r\n",
       "0\r\n\r\n", "HTTP/1.1 501 "},
      {"6.1, coding in two fields",
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n",
       "HTTP/1.1 501 "},
      {"6.3, chunked is not final", "Transfer-Encoding: chunked, gzip\r\n", "",
       "HTTP/1.1 400 "},
      {"6.3, chunked twice",
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
       "0\r\n\r\n", "HTTP/1.1 400 "},
      {"6.3, coding and length",
       "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n",
       "HTTP/1.1 400 "},
      {"6.3, length and coding",
       "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n",
       "HTTP/1.1 400 "},
      {"6.3, two lengths", "Content-Length: 0\r\nContent-Length: 5\r\n",
       "abcde", "HTTP/1.1 400 "},
      {"6.3, list of lengths", "Content-Length: 0, 5\r\n", "abcde",
       "HTTP/1.1 400 "},
      {"6.2, signed length", "Content-Length: +0\r\n", "", "HTTP/1.1 400 "},
      {"6.2, negative length", "Content-Length: -1\r\n", "", "HTTP/1.1 400 "},
      {"6.2, hexadecimal length", "Content-Length: 0x0\r\n", "",
       "HTTP/1.1 400 "},
      {"6.2, length beyond 64 bits", "Content-Length: 99999999999999999999\r\n",
       "", "HTTP/1.1 400 "},
      {"5.1, space before the colon", "Content-Length : 0\r\n", "",
       "HTTP/1.1 400 "},
      {"5.1, line without a colon", "Content-Length\r\n", "", "HTTP/1.1 400 "},
      {"2.2, bare carriage return", "X: a\rContent-Length: 5\r\n", "",
       "HTTP/1.1 400 "},
      {"7.1, chunk size without digits", "Transfer-Encoding: chunked\r\n",
       "\r\n", "HTTP/1.1 400 "},
      {"7.1, signed chunk size", "Transfer-Encoding: chunked\r\n", "+0\r\n\r\n",
       "HTTP/1.1 400 "},
      {"7.1, chunk longer than its size", "Transfer-Encoding: chunked\r\n",
       "1\r\nab\r\n0\r\n\r\n", "HTTP/1.1 400 "},
  };
  AnsweringHost host(kOkAnswer);
  for (const BadMessage& it : cases) {
    CAPTURE(it.section);
    const std::string answer =
        host.Call(absl::StrCat("POST /run/x HTTP/1.1\r\nHost: x\r\nId: r1\r\n",
                               it.fields, "\r\n", it.body, kSmuggled));
    CHECK(absl::StartsWith(answer, it.answer));
    CHECK(CountAnswers(answer) == 1);
    CHECK(absl::StrContains(answer, "not-run"));
  }
  SUBCASE("a coding in HTTP/1.0 (6.1)") {
    const std::string answer = host.Call(absl::StrCat(
        "POST /run/x HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        kSmuggled));
    CHECK(absl::StartsWith(answer, "HTTP/1.1 400 "));
    CHECK(CountAnswers(answer) == 1);
  }
  CHECK(host.received().empty());
}

// Guards against rejecting what is proper, which callers would see as a denial.
TEST_CASE("a request with a clear end must be passed on whole") {
  struct Proper {
    std::string fields;
    std::string body;
    std::string received_body;
  };
  const Proper cases[] = {
      {"Content-Length: 3\r\n", "abc", "\r\n\r\nabc"},
      {"Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n",
       "\r\n\r\nabc"},
      {"Transfer-Encoding: Chunked\r\n", "3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n",
       "\r\n\r\nabc"},
      {"Transfer-Encoding: , chunked\r\n", "3\r\nabc\r\n0\r\n\r\n",
       "\r\n\r\nabc"},
  };
  AnsweringHost host(kOkAnswer);
  size_t n = 0;
  for (const Proper& it : cases) {
    CAPTURE(it.fields);
    const std::string answer = host.Call(absl::StrCat(
        "POST /run/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nId: r", n,
        "\r\n", it.fields, "\r\n", it.body));
    CHECK(absl::StartsWith(answer, "HTTP/1.1 200 "));
    const std::vector<std::string> received = host.received();
    REQUIRE(received.size() == ++n);
    CHECK(absl::EndsWith(received.back(), it.received_body));
    CHECK_FALSE(absl::StrContains(received.back(), "Transfer-Encoding"));
  }
}

// Guards against a faulty target that places bytes of one answer on a later
// request, and against an answer that looks whole although its end is unknown.
TEST_CASE("an answer whose end is in doubt must not reach the caller") {
  const std::string answers[] = {
      "Transfer-Encoding: xchunked\r\n\r\nok",
      "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked, gzip\r\n\r\nok",
      "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
      "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
      "Content-Length: 2, 3\r\n\r\nok!",
      "Content-Length: -2\r\n\r\nok",
      "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
  };
  for (const std::string& fields : answers) {
    CAPTURE(fields);
    AnsweringHost host(
        absl::StrCat("HTTP/1.1 200 OK\r\nId: r1\r\nDigest: d\r\n", fields));
    const std::string answer = host.Call(
        "POST /run/x HTTP/1.1\r\nHost: x\r\nId: r1\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n");
    CHECK(absl::StartsWith(answer, "HTTP/1.1 502 "));
    CHECK(CountAnswers(answer) == 1);
  }
}

// Reported by other operators: an upstream stopped in the middle of its
// answer's head and closed, and clients got a 200 with an empty body, framed as
// whole.
TEST_CASE("an answer that ends within its head must not look like an answer") {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nId: r1\r\nDigest: d\r\nContent-Length: 2\r\n\r\nok";
  size_t cut = 0;
  bool reset = false;
  SUBCASE("at each byte, with a clean end of the connection") {}
  SUBCASE("at each byte, with a reset") {
    reset = true;
  }
  TrafficHost host([&](http::RawConnection& connection) {
    connection.ReadRequest();
    connection.Write(answer.substr(0, cut));
    if (reset) {
      connection.Reset();
    }
  });
  for (cut = 0; cut < answer.size(); ++cut) {
    CAPTURE(cut);
    const RawCaller caller(host.address());
    caller.Write(
        "POST /run/x HTTP/1.1\r\nHost: x\r\nId: r1\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n");
    const std::string got = caller.ReadAll();
    CHECK(absl::StartsWith(got, "HTTP/1.1 502 "));
    CHECK(CountAnswers(got) == 1);
  }
}

// Guards against a HEAD request that waits for a body which never comes (RFC
// 9112, section 6.3, rule 1).
TEST_CASE("an answer to HEAD must end with its head") {
  AnsweringHost host(
      "HTTP/1.1 200 OK\r\nId: r1\r\nDigest: d\r\nContent-Length: 7\r\n\r\n");
  const std::string answer = host.Call(
      "HEAD /run/x HTTP/1.1\r\nHost: x\r\nId: r1\r\nConnection: close\r\n\r\n");
  CHECK(absl::StartsWith(answer, "HTTP/1.1 200 "));
  CHECK(absl::StrContains(answer, "Content-Length: 7\r\n"));
  CHECK(absl::EndsWith(answer, "\r\n\r\n"));
}

}  // namespace toucandock::entry
