#include "entry/traffic.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/match.h"
#include "http/raw_target.h"
#include "support/raw_caller.h"

namespace toucandock::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using support::RawCaller;

constexpr milliseconds kHeaderTimeout{600};
constexpr milliseconds kIdleTimeout{700};
// Maximum delay of the entry host after a time limit: it closes idle
// connections 1 s later, and checks the limits every 500 ms.
constexpr milliseconds kMaxCloseDelay{1'500};

core::routing::Route RouteTo(const std::string& service,
                             const std::string& prefix) {
  return {.host = "x",
          .path_prefix = prefix,
          .services = {{.service = service}},
          .timeout = milliseconds(9'000),
          .latency_goal = milliseconds(9'000)};
}

// The traffic thread of a host whose configuration has two routes: to a service
// without targets, whose requests wait for a third of their time, and to a
// service with a target that never responds.
class TrafficHost {
 public:
  TrafficHost()
      : traffic_(io_,
                 {.host_name = "h",
                  .ip = "127.0.0.1",
                  .caller_address = "127.0.0.1:0",
                  .readiness_address = "127.0.0.1:0"},
                 {.request_id = "Id"},
                 {.report_load = [](const core::keyspace::LoadReport&) {},
                  .report_poison = [](const PoisonUpdate&) {}}) {
    REQUIRE(traffic_.Listen().ok());
    auto view = std::make_shared<RoutingView>();
    view->routes =
        std::make_shared<core::routing::RouteTable>(core::routing::RouteConfig{
            .version = 1,
            .routes = {RouteTo("none", "/wait/"), RouteTo("one", "/run/")},
            .limits = {.header_timeout = kHeaderTimeout,
                       .idle_timeout = kIdleTimeout}});
    view->targets["one"] = {
        {.entry = {.instance = {.id = "t1", .start_time_ms = 1},
                   .service = "one",
                   .address = target_.address(),
                   .slots = 4}}};
    view->complete = true;
    traffic_.SetView(std::move(view));
    address_ = traffic_.caller_address();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~TrafficHost() {
    io_.stop();
    thread_.join();
  }

  TrafficHost(const TrafficHost&) = delete;
  TrafficHost& operator=(const TrafficHost&) = delete;

  const std::string& address() const { return address_; }
  const http::RawTarget& target() const { return target_; }

  void Stop() {
    std::promise<void> stopped;
    boost::asio::post(io_,
                      [&] { traffic_.Stop([&] { stopped.set_value(); }); });
    stopped.get_future().wait();
  }

 private:
  http::RawTarget target_{[](http::RawConnection&) {}};
  boost::asio::io_context io_;
  Traffic traffic_;
  std::string address_;
  std::thread thread_;
};

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
