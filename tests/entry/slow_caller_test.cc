#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "entry/traffic_host.h"
#include "support/raw_caller.h"

namespace toucandock::entry {
namespace {

using std::chrono::milliseconds;
using support::RawCaller;

constexpr int kReceiveBuffer = 32'768;
// A link of 1.6 Mbit/s.
constexpr support::ReadPace kSlowLink{.bytes = 20'000,
                                      .interval = milliseconds(100)};
// Takes 2 s on the slow link.
constexpr size_t kAnswerBytes = 400'000;

// Answers each request with a body whose size is the last part of its path.
void ServeSize(http::RawConnection& connection) {
  for (std::string it = connection.ReadRequest(); !it.empty();
       it = connection.ReadRequest()) {
    const size_t begin = it.find("/run/") + 5;
    size_t size = 0;
    (void)absl::SimpleAtoi(it.substr(begin, it.find(' ', begin) - begin),
                           &size);
    const size_t id = it.find("Id: ");
    connection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                  it.substr(id, it.find('\r', id) - id),
                                  "\r\nDigest: d\r\nContent-Length: ", size,
                                  "\r\n\r\n", std::string(size, 'b')));
  }
}

std::string RequestFor(size_t size, int n, const std::string& fields = "") {
  return absl::StrCat("GET /run/", size, " HTTP/1.1\r\nHost: x\r\nId: r", n,
                      "\r\n", fields, "\r\n");
}

bool IsWhole(const std::string& answer, size_t size) {
  const size_t head_end = answer.find("\r\n\r\n");
  return absl::StartsWith(answer, "HTTP/1.1 200 ") &&
         head_end != std::string::npos && answer.size() == head_end + 4 + size;
}

// Callers that read their answers at the same time, each on its own thread.
class SlowCallers {
 public:
  SlowCallers(const std::string& address, int callers) {
    for (int n = 0; n < callers; ++n) {
      callers_.push_back(std::make_unique<RawCaller>(address, kReceiveBuffer));
    }
  }

  // Reads one small answer on each connection, so that the host knows it.
  void WarmUp() const {
    for (const auto& it : callers_) {
      it->Write(RequestFor(1, 0));
      CHECK(IsWhole(it->ReadMessage({}), 1));
    }
  }
  void Send(const std::string& request) const {
    for (const auto& it : callers_) {
      it->Write(request);
    }
  }
  // Returns the number of callers whose answer was not complete.
  int CountCut(support::ReadPace pace) const {
    std::atomic<int> cut = 0;
    std::vector<std::thread> threads;
    for (const auto& it : callers_) {
      threads.emplace_back(
          [&] { cut += IsWhole(it->ReadMessage(pace), kAnswerBytes) ? 0 : 1; });
    }
    for (std::thread& it : threads) {
      it.join();
    }
    return cut;
  }

 private:
  std::vector<std::unique_ptr<RawCaller>> callers_;
};

}  // namespace

// Guards against answers that are ready and are cut because their callers have
// slow links: the host reset connections that it closes after 1 s, and all
// connections whose callers did not read for 2.5 s.
TEST_CASE("an answer that is ready must reach a caller that reads slowly") {
  TrafficHost host(ServeSize);

  SUBCASE("when its connection is closed, for 40 callers at a time") {
    const SlowCallers callers(host.address(), 40);
    callers.Send(RequestFor(kAnswerBytes, 1, "Connection: close\r\n"));
    CHECK(callers.CountCut(kSlowLink) == 0);
  }
  SUBCASE("when the caller sends more behind its last request") {
    const SlowCallers callers(host.address(), 4);
    callers.Send(
        absl::StrCat(RequestFor(kAnswerBytes, 1, "Connection: close\r\n"),
                     RequestFor(kAnswerBytes, 2)));
    CHECK(callers.CountCut(kSlowLink) == 0);
  }
  SUBCASE("when the host stops while 40 callers send their requests") {
    const SlowCallers callers(host.address(), 40);
    callers.WarmUp();
    std::thread stopper([&host] { host.Stop(); });
    std::this_thread::sleep_for(milliseconds(300));
    callers.Send(RequestFor(kAnswerBytes, 1));
    CHECK(callers.CountCut(kSlowLink) == 0);
    stopper.join();
  }
  SUBCASE("when the host stops in the middle of answers on kept connections") {
    const SlowCallers callers(host.address(), 8);
    callers.WarmUp();
    callers.Send(RequestFor(kAnswerBytes, 1));
    std::this_thread::sleep_for(milliseconds(200));
    std::thread stopper([&host] { host.Stop(); });
    // 4 s, so that the answers end after the host stops to serve.
    CHECK(callers.CountCut({.bytes = 10'000, .interval = milliseconds(100)}) ==
          0);
    stopper.join();
  }
  SUBCASE("when the caller pauses for 4 s, on a kept connection") {
    constexpr size_t kBytes = 12'000'000;
    const RawCaller caller(host.address(), kReceiveBuffer);
    caller.Write(RequestFor(kBytes, 1));
    const std::string answer = caller.ReadMessage(
        {.pause_at = 1'000'000, .pause = milliseconds(4'000)});
    CHECK(IsWhole(answer, kBytes));
    caller.Write(RequestFor(1, 2));
    CHECK(IsWhole(caller.ReadMessage({}), 1));
  }
  SUBCASE("when the caller pauses for 4 s in an answer that the kernel holds") {
    const SlowCallers callers(host.address(), 8);
    callers.Send(RequestFor(kAnswerBytes, 1));
    CHECK(callers.CountCut(
              {.pause_at = 100'000, .pause = milliseconds(4'000)}) == 0);
  }
  SUBCASE("when the settings change meanwhile") {
    const SlowCallers callers(host.address(), 8);
    callers.Send(RequestFor(kAnswerBytes, 1, "Connection: close\r\n"));
    std::thread reloader([&host] {
      std::this_thread::sleep_for(milliseconds(1'200));
      host.ChangeSettings([](EntrySettings& it) { it.retries.slack = 8; });
    });
    CHECK(callers.CountCut(kSlowLink) == 0);
    reloader.join();
  }
}

// Guards against callers that fill the host's memory or descriptors by not
// reading their answers.
TEST_CASE("answers that callers do not read must be bounded") {
  // The kernel holds a part of such an answer only.
  constexpr size_t kBytes = 12'000'000;
  TrafficHost host(ServeSize);

  SUBCASE("in time, while a slow caller keeps its answer") {
    host.ChangeSettings(
        [](EntrySettings& it) { it.caller_read_limit = milliseconds(1'000); });
    const RawCaller silent(host.address(), kReceiveBuffer);
    const RawCaller slow(host.address(), kReceiveBuffer);
    silent.Write(RequestFor(kBytes, 1));
    slow.Write(RequestFor(kBytes, 2));
    // Many times the limit, since one read returns up to 64 KiB.
    CHECK(IsWhole(
        slow.ReadMessage({.bytes = 400'000, .interval = milliseconds(30)}),
        kBytes));
    CHECK_FALSE(IsWhole(silent.ReadMessage({}), kBytes));
  }
  SUBCASE("in bytes: the answer that was held longest gives way") {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < 7; ++n) {
      callers.push_back(
          std::make_unique<RawCaller>(host.address(), kReceiveBuffer));
      callers.back()->Write(RequestFor(kBytes, n));
      std::this_thread::sleep_for(milliseconds(300));
    }
    // 64 MiB hold five of these answers.
    std::vector<bool> whole;
    whole.reserve(callers.size());
    for (const auto& it : callers) {
      whole.push_back(IsWhole(it->ReadMessage({}), kBytes));
    }
    CHECK(whole ==
          std::vector<bool>{false, false, true, true, true, true, true});
  }
}

// Guards against uploads with an unknown outcome: the kernel ended connections
// to targets that read nothing for 2.5 s.
TEST_CASE("a target that pauses before it reads a long body must get it") {
  TrafficHost host([](http::RawConnection& connection) {
    std::this_thread::sleep_for(milliseconds(4'000));
    ServeSize(connection);
  });
  const RawCaller caller(host.address());
  constexpr size_t kBodyBytes = 1'000'000;
  caller.Write(
      absl::StrCat("POST /run/2 HTTP/1.1\r\nHost: x\r\nId: r1\r\n"
                   "Content-Length: ",
                   kBodyBytes, "\r\n\r\n", std::string(kBodyBytes, 'x')));
  CHECK(IsWhole(caller.ReadMessage({}), 2));
}

}  // namespace toucandock::entry
