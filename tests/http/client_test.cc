#include "http/client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/raw_target.h"
#include "http/server.h"
#include "support/bad_field_names.h"

namespace toucandock::http {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxBody = 1'000;
// How long a test waits for a response that does not arrive.
constexpr milliseconds kTimeout{400};

const char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

ExchangeResult Post(Client& client, const RawTarget& target) {
  return client.Exchange(target.address(),
                         {.method = "POST", .path = "/x", .body = "order"},
                         {.timeout = kTimeout, .max_body = kMaxBody});
}

}  // namespace

// A truncated response, or one whose end is not marked, would otherwise be
// returned to the caller as the full result.
TEST_CASE("an incomplete response must not be treated as a complete one") {
  struct Row {
    const char* what;
    // Written after the request was read; then the connection is closed.
    std::string answer;
    Progress progress;
    Failure failure;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const Row rows[] = {
      {"whole", kCompleteResponse, Progress::kComplete, Failure::kNone},
      {"closed without a response", "", Progress::kSent, Failure::kBroken},
      {"cut in the status line", "HTTP/1.", Progress::kSent, Failure::kBroken},
      {"cut in the headers", ok + "Content-Len", Progress::kHeadersReceived,
       Failure::kBroken},
      {"cut in the body", ok + "Content-Length: 4\r\n\r\ngo",
       Progress::kHeadersReceived, Failure::kBroken},
      {"no length", ok + "\r\ngood", Progress::kHeadersReceived,
       Failure::kBroken},
      {"no length and no body", ok + "\r\n", Progress::kHeadersReceived,
       Failure::kBroken},
      {"two different lengths, the first right",
       ok + "Content-Length: 4\r\nContent-Length: 9\r\n\r\ngood",
       Progress::kHeadersReceived, Failure::kBroken},
      {"two different lengths, the second right",
       ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood",
       Progress::kHeadersReceived, Failure::kBroken},
      {"a length that is no number", ok + "Content-Length: four\r\n\r\ngood",
       Progress::kHeadersReceived, Failure::kBroken},
      {"a negative length", ok + "Content-Length: -4\r\n\r\ngood",
       Progress::kHeadersReceived, Failure::kBroken},
      {"chunks",
       ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
       Progress::kComplete, Failure::kNone},
      {"cut between chunks",
       ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
       Progress::kHeadersReceived, Failure::kBroken},
      {"cut in the last chunk",
       ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n",
       Progress::kHeadersReceived, Failure::kBroken},
      {"a chunk of a wrong size",
       ok + "Transfer-Encoding: chunked\r\n\r\n2\r\ngood\r\n0\r\n\r\n",
       Progress::kHeadersReceived, Failure::kBroken},
      {"an unknown transfer coding",
       ok + "Transfer-Encoding: identity\r\n\r\ngood",
       Progress::kHeadersReceived, Failure::kBroken},
      {"a transfer coding that is not removed",
       ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
       Progress::kHeadersReceived, Failure::kBroken},
      {"an interim response before the final one",
       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
           std::string(kCompleteResponse),
       Progress::kComplete, Failure::kNone},
      {"only an interim response", "HTTP/1.1 100 Continue\r\n\r\n",
       Progress::kSent, Failure::kBroken},
      {"a change of protocol",
       "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\ngood",
       Progress::kSent, Failure::kBroken},
      {"a status below those of HTTP",
       "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ngood" +
           std::string(kCompleteResponse),
       Progress::kSent, Failure::kBroken},
      {"a status above those of HTTP",
       "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\ngood", Progress::kSent,
       Failure::kBroken},
      {"no HTTP", "220 mail ready\r\n", Progress::kSent, Failure::kBroken},
      {"huge headers",
       ok + "X: " + std::string(1 << 20, 'x') +
           "\r\nContent-Length: 4\r\n\r\ngood",
       Progress::kHeadersReceived, Failure::kBroken},
      {"a declared body above the limit",
       absl::StrCat(ok, "Content-Length: ", kMaxBody + 1, "\r\n\r\n",
                    std::string(kMaxBody + 1, 'x')),
       Progress::kHeadersReceived, Failure::kTooLarge},
      {"a body of exactly the limit",
       absl::StrCat(ok, "Content-Length: ", kMaxBody, "\r\n\r\n",
                    std::string(kMaxBody, 'x')),
       Progress::kComplete, Failure::kNone},
      {"chunks above the limit",
       absl::StrCat(ok, "Transfer-Encoding: chunked\r\n\r\n", "3e9\r\n",
                    std::string(kMaxBody + 1, 'x'), "\r\n0\r\n\r\n"),
       Progress::kHeadersReceived, Failure::kTooLarge},
      {"no content", "HTTP/1.1 204 No Content\r\n\r\n", Progress::kComplete,
       Failure::kNone},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      RawTarget target([&](RawConnection& it) {
        it.ReadRequest();
        it.Write(row.answer);
      });
      Client client;
      const ExchangeResult result = Post(client, target);
      CHECK(result.progress == row.progress);
      CHECK(result.failure == row.failure);
      if (row.progress == Progress::kComplete) {
        CHECK(result.response.status >= 200);
        CHECK(FindHeader(result.response.headers, "Link") == nullptr);
      }
    }
  }

  SUBCASE("reset before the response") {
    RawTarget target([](RawConnection& it) {
      it.ReadRequest();
      it.Reset();
    });
    Client client;
    const ExchangeResult result = Post(client, target);
    CHECK(result.progress == Progress::kSent);
    CHECK(result.failure == Failure::kBroken);
  }

  SUBCASE("reset in the body") {
    RawTarget target([](RawConnection& it) {
      it.ReadRequest();
      it.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo");
      std::this_thread::sleep_for(milliseconds(20));
      it.Reset();
    });
    Client client;
    const ExchangeResult result = Post(client, target);
    CHECK(result.progress == Progress::kHeadersReceived);
    CHECK(result.failure == Failure::kBroken);
  }

  SUBCASE("reset while the request is still being written") {
    // Exceeds what the kernel buffers between the sockets.
    constexpr size_t kUploadBytes = 16 << 20;
    const std::string answers[] = {"", ok + "Content-Len", ok + "\r\ngo",
                                   ok + "Content-Length: 4\r\n\r\ngo",
                                   ok + "Transfer-Encoding: chunked\r\n\r\n"
                                        "2\r\ngo\r\n"};
    for (const std::string& answer : answers) {
      CAPTURE(answer);
      RawTarget target([&](RawConnection& it) {
        it.ReadHead();
        it.Write(answer);
        std::this_thread::sleep_for(milliseconds(50));
        it.Reset();
      });
      Client client;
      const ExchangeResult result =
          client.Exchange(target.address(),
                          {.method = "POST",
                           .path = "/x",
                           .body = std::string(kUploadBytes, 'u')},
                          {.max_body = kMaxBody});
      CHECK(result.progress != Progress::kComplete);
      CHECK(result.failure == Failure::kBroken);
    }
  }

  SUBCASE("the target stops in the body") {
    RawTarget target([](RawConnection& it) {
      it.ReadRequest();
      it.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo");
      it.IsClosedWithin(10 * kTimeout);
    });
    Client client;
    const ExchangeResult result = Post(client, target);
    CHECK(result.progress == Progress::kHeadersReceived);
    CHECK(result.failure == Failure::kTimeout);
  }
}

// Guards against a response in whose head the name of a field holds a blank or
// a control byte, and which is forwarded with that line or with a wrong body.
TEST_CASE("a head with a bad field name must fail the exchange") {
  std::string answer;
  RawTarget target([&](RawConnection& it) {
    it.ReadRequest();
    it.Write(answer);
  });
  for (const std::string& head : support::HeadsWithBadFieldName(
           {"Content-Type: text/plain", "Content-Length: 2"})) {
    CAPTURE(head);
    answer = absl::StrCat(head, "ok");
    Client client;
    const ExchangeResult result = client.Exchange(
        target.address(), {.method = "POST", .path = "/x", .body = "order"},
        {.max_body = kMaxBody});
    CHECK(result.progress != Progress::kComplete);
    CHECK(result.failure == Failure::kBroken);
  }
}

// Bytes that are left on a kept connection would be read as the response to the
// next request.
TEST_CASE("a response must not reach another request") {
  struct Row {
    const char* what;
    // Written for the first request.
    std::string first;
    // Written on the same connection after `wait`.
    milliseconds wait;
    std::string later;
  };
  const std::string wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const Row rows[] = {
      {"two responses at once", kCompleteResponse + wrong, milliseconds(0), ""},
      {"a second response later", kCompleteResponse, milliseconds(20), wrong},
      {"extra bytes after the response",
       std::string(kCompleteResponse) + "more", milliseconds(0), ""},
      {"extra bytes later", kCompleteResponse, milliseconds(20), "more"},
      {"the response arrives after the timeout", "",
       kTimeout + milliseconds(50), wrong},
      {"the rest arrives after the timeout", ok + "Content-Length: 9\r\n\r\nwr",
       kTimeout + milliseconds(50), "ong" + wrong},
      {"no length, then another response", ok + "\r\n", milliseconds(20),
       wrong},
      {"lengths that contradict each other",
       ok + "Content-Length: 4\r\nContent-Length: 9\r\n\r\ngood",
       milliseconds(20), wrong},
      {"a body above the limit",
       absl::StrCat(ok, "Content-Length: ", 2 * kMaxBody, "\r\n\r\n",
                    std::string(2 * kMaxBody, 'x')),
       milliseconds(20), wrong},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      std::atomic<bool> written = false;
      RawTarget target([&](RawConnection& it) {
        it.ReadRequest();
        if (it.number() == 0) {
          it.Write(row.first);
          std::this_thread::sleep_for(row.wait);
          it.Write(row.later);
          written = true;
          written.notify_all();
          // Any further request on this connection gets the wrong response.
          if (!it.ReadRequest().empty()) {
            it.Write(wrong);
          }
        } else {
          it.Write(kCompleteResponse);
        }
      });
      Client client;
      const ExchangeResult first = Post(client, target);
      if (first.progress == Progress::kComplete) {
        CHECK(first.response.body == "good");
      }
      written.wait(false);
      const ExchangeResult second = Post(client, target);
      CHECK(second.progress == Progress::kComplete);
      CHECK(second.response.body == "good");
      CHECK(target.connections() == 2);
    }
  }
}

// If the client repeated a request by itself when a kept connection breaks, a
// non-idempotent request could run twice.
TEST_CASE("a request must not be sent twice by the library") {
  std::atomic<int> requests = 0;
  RawTarget target([&](RawConnection& it) {
    while (!it.ReadRequest().empty()) {
      if (++requests == 2) {
        // The request came on the connection that was kept after the first
        // response. The target now closes it.
        return;
      }
      it.Write(kCompleteResponse);
    }
  });
  Client client;
  REQUIRE(Post(client, target).progress == Progress::kComplete);
  const ExchangeResult result = Post(client, target);
  // The client may or may not know that it sent everything; in both cases the
  // request may have run.
  CHECK((result.progress == Progress::kSending ||
         result.progress == Progress::kSent));
  CHECK(result.failure == Failure::kBroken);
  CHECK(requests == 2);
}

TEST_CASE("connections must be kept after complete responses") {
  RawTarget target([](RawConnection& it) {
    while (!it.ReadRequest().empty()) {
      it.Write(kCompleteResponse);
    }
  });
  Client client;
  for (int n = 0; n < 5; ++n) {
    REQUIRE(Post(client, target).progress == Progress::kComplete);
  }
  CHECK(target.connections() == 1);
}

TEST_CASE("a header without a value must not be lost") {
  std::string seen;
  RawTarget target([&](RawConnection& it) {
    seen = it.ReadRequest();
    it.Write(kCompleteResponse);
  });
  Client client;
  client.Exchange(target.address(),
                  {.headers = {{"X-Empty", ""}, {"X-Full", "a"}}}, {});
  CHECK(seen.find("\r\nX-Empty:") != std::string::npos);
  CHECK(seen.find("\r\nX-Full: a\r\n") != std::string::npos);
}

// The target would otherwise work on a request whose response nobody reads.
TEST_CASE("an exchange must end when its caller goes away") {
  int caller[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, caller) == 0);
  std::atomic<bool> cancelled = false;
  RawTarget target([&](RawConnection& it) {
    it.ReadRequest();
    cancelled = it.IsClosedWithin(std::chrono::seconds(5));
  });
  Client client;
  const auto began = std::chrono::steady_clock::now();
  std::thread close_caller([&] {
    std::this_thread::sleep_for(milliseconds(50));
    close(caller[1]);
  });
  const ExchangeResult result = client.Exchange(
      target.address(), {.path = "/x"},
      {.timeout = std::chrono::seconds(5), .caller_socket = caller[0]});
  close_caller.join();
  CHECK(result.failure == Failure::kCallerGone);
  CHECK(result.progress == Progress::kSent);
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
  target.Stop();
  for (int n = 0; n < 100 && !cancelled; ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(cancelled);
  close(caller[0]);
}

// Connections that were opened during a load peak must not stay open beyond the
// limit and take connections that the target needs for other hosts.
TEST_CASE(
    "a load peak must not leave more connections to a target than allowed") {
  constexpr int kRequests = 8;
  const auto server = Server::Start({}, [](const Request&) {
    // Long enough for the requests to overlap.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return JsonResponse(200, "{}");
  });
  REQUIRE(server.ok());
  const std::string address = (*server)->address();
  Client client;
  const auto send_together = [&] {
    std::vector<std::thread> threads;
    threads.reserve(kRequests);
    for (int n = 0; n < kRequests; ++n) {
      threads.emplace_back([&] { client.Exchange(address, {}, {}); });
    }
    for (std::thread& it : threads) {
      it.join();
    }
  };

  SUBCASE("with a limit, the others are closed after use") {
    client.SetIdleLimits({{address, 3}});
    send_together();
    CHECK(client.CountIdle(address) == 3);
  }

  SUBCASE("a limit that comes later closes what is above it") {
    send_together();
    CHECK(client.CountIdle(address) > 3);
    client.SetIdleLimits({{address, 3}});
    CHECK(client.CountIdle(address) == 3);
  }
}

}  // namespace toucandock::http
