#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "entry/traffic_host.h"
#include "support/raw_caller.h"

namespace toucandock::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using support::RawCaller;

// Maximum delay of the entry host after a time limit: it closes idle
// connections 1 s later, and checks the limits every 500 ms.
constexpr milliseconds kMaxCloseDelay{1'500};

milliseconds TimeOf(const std::function<void()>& call) {
  const auto call_start = steady_clock::now();
  call();
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  call_start);
}

}  // namespace

// Guards against connections being reset that are established while a stopping
// host closes its listening socket.
TEST_CASE("a stopping host must answer callers that still connect") {
  support::ConnectingCallers callers;
  {
    TrafficHost host;
    callers.Start(host.address(), 4);
    callers.WaitForAnswers(40);
    host.Stop();
  }
  CHECK(callers.CountCut() == 0);
}

// Reported by other operators: in a planned stop in calm, requests that came
// late in the grace were taken and cut at its end without an answer.
TEST_CASE("a stopping host must answer each request that it takes, also late") {
  constexpr milliseconds kWorkTime{900};
  constexpr milliseconds kStep{150};
  std::atomic<int> runs = 0;
  std::atomic<int> answered = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> cut = 0;
  {
    TrafficHost host([&](http::RawConnection& connection) {
      const std::string request = connection.ReadRequest();
      if (request.empty()) {
        return;
      }
      ++runs;
      std::this_thread::sleep_for(kWorkTime);
      const size_t id = request.find("Id: ");
      connection.Write(
          absl::StrCat("HTTP/1.1 200 OK\r\n",
                       request.substr(id, request.find('\r', id) - id),
                       "\r\nDigest: d\r\nContent-Length: 2\r\n\r\nok"));
    });
    std::vector<std::thread> callers;
    std::atomic<bool> is_stopped = false;
    std::thread stopper([&] {
      host.Stop();
      is_stopped = true;
    });
    for (int n = 0; !is_stopped; ++n) {
      // A caller that connects while the host still accepts must get an answer,
      // on new connections as well as on those that it opened early.
      auto caller = std::make_shared<RawCaller>(host.address());
      if (!caller->TryWrite(absl::StrCat("POST /run/x HTTP/1.1\r\nHost: x\r\n"
                                         "Id: r",
                                         n, "\r\nContent-Length: 0\r\n\r\n"))) {
        continue;
      }
      callers.emplace_back([&, caller] {
        const std::string got = caller->ReadAll();
        const bool is_whole = absl::StartsWith(got, "HTTP/1.1 200 ") &&
                              absl::EndsWith(got, "\r\n\r\nok");
        const bool is_refused = absl::StartsWith(got, "HTTP/1.1 503 ") &&
                                absl::StrContains(got, "not-run");
        ++(is_whole ? answered : is_refused ? refused : cut);
      });
      std::this_thread::sleep_for(kStep);
      if (n * kStep >= milliseconds(2'700)) {
        break;
      }
    }
    stopper.join();
    for (std::thread& it : callers) {
      it.join();
    }
  }
  CHECK(cut == 0);
  CHECK(answered >= 10);
  CHECK(answered == runs);
}

TEST_CASE("callers must neither hold connections for ever nor lose one early") {
  TrafficHost host;
  const RawCaller caller(host.address());
  std::string answer;

  SUBCASE("headers that do not end are refused as not run") {
    caller.Write("GET / HTTP/1.1\r\nHost:");
    const milliseconds taken = TimeOf([&] { answer = caller.ReadAll(); });
    CHECK(absl::StartsWith(answer, "HTTP/1.1 408"));
    CHECK(absl::StrContains(answer, "not-run"));
    CHECK(taken >= kHeaderTimeout);
    CHECK(taken < kHeaderTimeout + kMaxCloseDelay);
  }
  SUBCASE("a request that was refused so does not run when its rest arrives") {
    caller.Write(
        "GET /wait/ HTTP/1.1\r\nHost: x\r\n\r\nGET /run/ HTTP/1.1\r\n");
    std::this_thread::sleep_for(kHeaderTimeout + kMaxCloseDelay);
    caller.Write("Host: x\r\n\r\n");
    answer = caller.ReadAll();
    CHECK(absl::StartsWith(answer, "HTTP/1.1 503"));
    CHECK(absl::StrContains(answer, "HTTP/1.1 408"));
    CHECK(host.target().connections() == 0);
  }
  SUBCASE("a body that does not end is refused as not run") {
    caller.Write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1");
    const milliseconds taken = TimeOf([&] { answer = caller.ReadAll(); });
    CHECK(absl::StartsWith(answer, "HTTP/1.1 408"));
    CHECK(taken >= kIdleTimeout);
  }
  SUBCASE("a caller that sends nothing is closed after the idle limit") {
    const milliseconds taken = TimeOf([&] { answer = caller.ReadAll(); });
    CHECK(answer.empty());
    CHECK(taken >= kIdleTimeout);
    CHECK(taken < kIdleTimeout + 2 * kMaxCloseDelay);
  }
  SUBCASE("a request within the limit restarts the idle time") {
    std::this_thread::sleep_for(kIdleTimeout);
    caller.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const milliseconds taken = TimeOf([&] { answer = caller.ReadAll(); });
    CHECK(absl::StartsWith(answer, "HTTP/1.1 404"));
    CHECK(taken >= kIdleTimeout);
  }
}

// Guards against targets that go on working for callers that have left, because
// a host with many requests of one connection in flight does not read it.
TEST_CASE("the end of a caller with many requests in flight must be noticed") {
  std::atomic<int> begun = 0;
  std::atomic<int> cancelled = 0;
  TrafficHost host([&](http::RawConnection& connection) {
    if (connection.ReadRequest().empty()) {
      return;
    }
    ++begun;
    cancelled += connection.IsClosedWithin(milliseconds(5'000)) ? 1 : 0;
  });
  // The limit of one connection is 16 requests.
  int requests = 0;
  SUBCASE("at the limit") {
    requests = 16;
  }
  SUBCASE("beyond the limit, with requests that are not read") {
    requests = 30;
  }
  {
    const RawCaller caller(host.address());
    for (int n = 0; n < requests; ++n) {
      caller.Write(absl::StrCat("GET /run/x HTTP/1.1\r\nHost: x\r\nId: r", n,
                                "\r\n\r\n"));
    }
    const auto limit = steady_clock::now() + milliseconds(3'000);
    while (begun < 8 && steady_clock::now() < limit) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    REQUIRE(begun >= 8);
  }
  // The users allow half a second from the moment at which the end arrives.
  const auto limit = steady_clock::now() + milliseconds(1'000);
  while (cancelled < begun && steady_clock::now() < limit) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(cancelled == begun);
}

// Guards against a caller that fills the host's memory with a request that
// never ends.
TEST_CASE("an endless request must be rejected within limits") {
  TrafficHost host;
  const support::RawCaller caller(host.address());
  caller.Write(
      "POST /run/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::string part;

  SUBCASE("in the extension of a chunk") {
    part = "1;" + std::string(64 << 10, 'x');
  }
  SUBCASE("in its trailers") {
    part = "0\r\nX: " + std::string(64 << 10, 'x');
  }
  for (int n = 0; n < 64; ++n) {
    if (!caller.TryWrite(part)) {
      break;
    }
    part = std::string(64 << 10, 'x');
  }
  CHECK(absl::StartsWith(caller.ReadAll(), "HTTP/1.1 400 "));
}

// Seen on other systems: an answer with the status 000 reached the caller as
// the answer to its request.
TEST_CASE("a caller must not get an answer with a status HTTP does not have") {
  for (const char* status : {"000", "999"}) {
    TrafficHost host([&](http::RawConnection& connection) {
      while (!connection.ReadRequest().empty()) {
        connection.Write(absl::StrCat("HTTP/1.1 ", status,
                                      " X\r\nId: a\r\nDigest: d\r\n"
                                      "Content-Length: 4\r\n\r\nbody"));
      }
    });
    RawCaller caller(host.address());
    caller.Write("GET /run/ HTTP/1.1\r\nHost: x\r\nId: a\r\n\r\n");
    const std::string answer = caller.ReadMessage({});
    CAPTURE(answer);
    CHECK(absl::StartsWith(answer, "HTTP/1.1 502 "));
  }
}

// Guards against work at targets for callers that gave up while an overloaded
// host had not read their requests yet (GONE on tsb-ub-grown trouble-2).
TEST_CASE("a request whose caller has left must not be sent on") {
  std::atomic<int> requests = 0;
  TrafficHost host([&](http::RawConnection& connection) {
    while (!connection.ReadRequest().empty()) {
      ++requests;
      connection.Write(
          "HTTP/1.1 200 OK\r\nId: a\r\nDigest: d\r\nContent-Length: 0\r\n\r\n");
    }
  });
  const std::string request = "GET /run/ HTTP/1.1\r\nHost: x\r\nId: a\r\n\r\n";
  const auto answer_of = [&](const RawCaller& caller) {
    caller.Write(request);
    return caller.ReadMessage({});
  };

  SUBCASE("on a new connection") {
    // Runs on the traffic thread, which reads nothing meanwhile.
    host.ChangeSettings(
        [&](EntrySettings&) { RawCaller(host.address()).Write(request); });
  }
  SUBCASE("on a kept connection") {
    auto caller = std::make_unique<RawCaller>(host.address());
    CHECK(absl::StartsWith(answer_of(*caller), "HTTP/1.1 200 "));
    host.ChangeSettings([&](EntrySettings&) {
      caller->Write(request);
      caller.reset();
    });
    --requests;
  }
  SUBCASE("with further requests behind it") {
    host.ChangeSettings([&](EntrySettings&) {
      RawCaller(host.address()).Write(request + request + request);
    });
  }
  // A later caller is served, so the host has read what came before.
  CHECK(
      absl::StartsWith(answer_of(RawCaller(host.address())), "HTTP/1.1 200 "));
  CHECK(requests == 1);
}

}  // namespace toucandock::entry
