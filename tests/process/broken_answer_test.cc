#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "http/client.h"
#include "http/raw_target.h"
#include "process/platform_fleet.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRouteTimeout{4'000};
constexpr milliseconds kStartLimit{10'000};
// Exceeds what the kernel buffers between a host and a target that does not
// read, so that the upload stays unfinished.
constexpr size_t kUploadBytes = 12 << 20;

const char kEntry[] =
    R"({"service":"lodger","address":"%s","zone":"lk-west-0","version":"v1",)"
    R"("concurrency":8,"state":"ready","warmupLeft":"0ms","sequence":1,)"
    R"("born":1})";

// How the target answers a request of which it has read only the head.
struct EarlyAnswer {
  // Behind the status line, the id of the request and the digest.
  std::string rest;
  milliseconds delay{0};
};

}  // namespace

// Guards against a part of an answer that a caller gets as the whole one
// (MIXED, issue 46): the target answers a long upload at once and resets the
// connection while the host still writes.
TEST_CASE("on the platform, a broken answer must not reach a caller") {
  std::mutex mutex;
  EarlyAnswer early;
  std::atomic<int> arrivals = 0;
  http::RawTarget target([&](http::RawConnection& connection) {
    const std::string head = connection.ReadHead();
    const size_t id = head.find("Request-Id: ");
    if (id == std::string::npos) {
      return;
    }
    ++arrivals;
    EarlyAnswer it;
    {
      const std::lock_guard lock(mutex);
      it = early;
    }
    connection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                  head.substr(id, head.find('\r', id) - id),
                                  "\r\nResponse-Signature: s\r\n", it.rest));
    std::this_thread::sleep_for(it.delay);
    connection.Reset();
  });
  PlatformFleet fleet({.hosts = 2,
                       .keyed_targets = 1,
                       .plain_targets = 0,
                       .max_body_bytes = kUploadBytes});
  REQUIRE(fleet.PublishConfig(kRouteTimeout));
  REQUIRE(fleet.WriteTargetEntry("i-raw",
                                 absl::StrFormat(kEntry, target.address())));
  fleet.WaitUntilReady();

  http::Client client;
  int sent = 0;
  const auto status_of = [&](size_t host, const char* path, size_t bytes) {
    const http::ExchangeResult result =
        client.Exchange(fleet.CallerAddress(host),
                        {.method = "POST",
                         .path = path,
                         .headers = {{"Host", "a.example"},
                                     {"Request-Id", absl::StrCat("r-", ++sent)},
                                     {"Deadline-Ms", "4000"}},
                         .body = std::string(bytes, 'u')},
                        {.timeout = 2 * kRouteTimeout});
    CHECK(result.progress == http::Progress::kComplete);
    return result.response.status;
  };
  // The hosts know the target once they return its complete answers.
  early.rest = "Content-Length: 2\r\n\r\nok";
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    WaitUntil(
        "the target is in use",
        [&] { return status_of(n, "/look/1", 2) == 200; }, kStartLimit);
  }

  const char* path = "/lodge/1";
  SUBCASE("to a request that may run once") {}
  SUBCASE("to a request that may be repeated") {
    path = "/look/1";
  }
  for (const char* rest : {"\r\npart", "Connection: close\r\n\r\npart", "\r\n",
                           "Content-Le", "Content-Length: 9\r\n\r\npart",
                           "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
    for (const int delay : {0, 5, 50}) {
      CAPTURE(std::string(rest));
      CAPTURE(delay);
      {
        const std::lock_guard lock(mutex);
        early = {.rest = rest, .delay = milliseconds(delay)};
      }
      for (size_t n = 0; n < fleet.host_count(); ++n) {
        const int before = arrivals;
        const int status = status_of(n, path, kUploadBytes);
        // A target whose answers break off may be left out for a while.
        CHECK((status == 502 || (status == 503 && arrivals == before)));
      }
    }
  }
  CHECK(arrivals > sent / 2);
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    CHECK_FALSE(fleet.host(n).process->exit_code());
  }
}

}  // namespace toucandock::process
