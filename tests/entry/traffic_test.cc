#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "absl/strings/match.h"
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

}  // namespace toucandock::entry
