#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/request/fingerprint.h"
#include "entry/dispatcher.h"
#include "http/raw_target.h"

namespace toucandock::entry {
namespace {

using core::ErrorKind;
using http::RawConnection;
using http::RawTarget;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace beast_http = boost::beast::http;

constexpr char kCaller[] = "10.0.0.7";
// Longer than the delay before a target is probed after a broken connection.
constexpr milliseconds kProbeWait{1'500};

std::string FingerprintOf(const std::string& path) {
  return core::request::Fingerprint(
      {.method = "GET", .path = path, .host = "h"});
}

// A dispatcher with one service without keys, which records crash reports and
// safe reports.
class DispatcherFixture {
 public:
  DispatcherFixture()
      : dispatcher_(io_,
                    {.request_id = "Id",
                     .deadline = "Deadline",
                     .key = "Key",
                     .expected_target = "Expected",
                     .not_executed = "Not-Run",
                     .target_load = "Load",
                     .answer_digest = "Digest"},
                    "a",
                    {},
                    DispatchOptions{},
                    {.report_load = [](const core::keyspace::LoadReport&) {},
                     .report_poison =
                         [this](const PoisonUpdate& it) {
                           if (hook_throws) {
                             throw std::length_error("test");
                           }
                           crashes.insert(crashes.end(), it.crashes.begin(),
                                          it.crashes.end());
                           safe_reports.insert(safe_reports.end(),
                                               it.safe_reports.begin(),
                                               it.safe_reports.end());
                         }}) {}

  void SetView(const std::vector<std::string>& addresses,
               const PoisonView& poison = {}) {
    auto view = std::make_shared<RoutingView>();
    core::routing::RouteConfig config{.version = 1};
    config.routes = {{.host = "h",
                      .path_prefix = "/",
                      .services = {{.service = "s"}},
                      .kind = core::routing::RouteKind::kSafe,
                      .timeout = milliseconds(4'000),
                      .latency_goal = milliseconds(2'000),
                      .max_attempts = 3}};
    config.services = {{.name = "s"}};
    view->routes = std::make_shared<core::routing::RouteTable>(config);
    for (const std::string& it : addresses) {
      view->targets["s"].push_back(
          {.entry = {.instance = {.id = it, .start_time_ms = 1},
                     .service = "s",
                     .address = it,
                     .version = "v1",
                     .slots = 4}});
    }
    view->poison = std::make_shared<PoisonView>(poison);
    dispatcher_.SetView(std::move(view));
  }

  void Start(const std::string& path) {
    net::HttpRequest request{beast_http::verb::get, path, 11};
    request.set(beast_http::field::host, "h");
    request.set("Id", absl::StrCat("r", ++sent_));
    dispatcher_.Start(
        std::move(request), kCaller, steady_clock::now(),
        [this](CallerAnswer it) { answers.push_back(std::move(it)); });
  }

  void RunFor(milliseconds time) {
    RunUntil([] { return false; }, time);
  }
  void RunUntil(const std::function<bool()>& done,
                milliseconds limit = milliseconds(5'000)) {
    const auto end = steady_clock::now() + limit;
    while (!done() && steady_clock::now() < end) {
      io_.run_one_for(milliseconds(5));
    }
  }
  void RunUntilAnswered() {
    RunUntil([this, n = answers.size()] { return answers.size() > n; });
  }

  std::vector<CallerAnswer> answers;
  std::vector<core::request::CrashReport> crashes;
  std::vector<SafeReport> safe_reports;
  bool hook_throws = false;

 private:
  boost::asio::io_context io_;
  Dispatcher dispatcher_;
  int sent_ = 0;
};

void Respond(RawConnection& connection, const std::string& request) {
  const size_t begin = request.find("Id: ");
  if (begin == std::string::npos) {
    return;
  }
  const std::string id =
      request.substr(begin + 4, request.find('\r', begin) - begin - 4);
  connection.Write(absl::StrCat("HTTP/1.1 200 OK\r\nId: ", id,
                                "\r\nDigest: d\r\nContent-Length: 0\r\n\r\n"));
}

}  // namespace

// Guards against a request that is known to crash targets being sent once more.
TEST_CASE("a refused request must not reach a target from any state") {
  RawTarget target([](RawConnection& connection) {
    if (connection.ReadRequest().empty()) {
      return;
    }
    std::this_thread::sleep_for(milliseconds(200));
    connection.Reset();
  });
  DispatcherFixture host;
  const PoisonView poison{.refused = {FingerprintOf("/x")}};

  SUBCASE("it arrives after its content was blocked") {
    host.SetView({target.address()}, poison);
    host.Start("/x");
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].error == ErrorKind::kCrashedTargets);
    CHECK(target.connections() == 0);
  }

  SUBCASE("only requests of one caller are blocked") {
    const std::string other =
        core::request::CallerFingerprint("10.9.9.9", FingerprintOf("/x"));
    host.SetView({}, {.refused = {other}});
    host.Start("/x");
    CHECK(host.answers.empty());
    host.SetView({}, {.refused = {core::request::CallerFingerprint(
                          kCaller, FingerprintOf("/x"))}});
    CHECK(host.answers.size() == 1);
  }

  SUBCASE("its content is blocked while it waits for a target") {
    host.SetView({});
    host.Start("/x");
    host.Start("/y");
    CHECK(host.answers.empty());
    host.SetView({}, poison);
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].error == ErrorKind::kCrashedTargets);
  }

  SUBCASE("its content is blocked before it is retried") {
    host.SetView({target.address()});
    host.Start("/x");
    host.RunUntil([&target] { return target.connections() == 1; });
    host.SetView({target.address()}, poison);
    host.RunUntilAnswered();
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].error == ErrorKind::kCrashedTargets);
    CHECK(target.connections() == 1);
  }
}

// Guards against requests being blocked because of connections that were merely
// reset or of targets that were stopped as planned. Targets are declared before
// the host, because they can only be destroyed after it has closed its
// connections.
TEST_CASE("requests must be suspected only when their target has ended") {
  SUBCASE("its port is closed when the connection ends") {
    RawTarget* ended = nullptr;
    RawTarget target([&ended](RawConnection& connection) {
      connection.ReadRequest();
      ended->Stop();
      connection.Reset();
    });
    ended = &target;

    SUBCASE("while it was in use") {
      DispatcherFixture host;
      host.SetView({target.address()});
      host.Start("/x");
      host.RunUntil([&host] { return host.crashes.size() == 2; });
      REQUIRE(host.crashes.size() == 2);
      CHECK(host.crashes[0].key.fingerprint ==
            core::request::CallerFingerprint(kCaller, FingerprintOf("/x")));
      CHECK(host.crashes[1].key.fingerprint == FingerprintOf("/x"));
      CHECK(host.crashes[0].target == target.address() + "/1");
      CHECK(host.crashes[0].target_version ==
            core::request::TargetVersion{.service = "s", .version = "v1"});
    }

    SUBCASE("but the same content completed shortly before") {
      RawTarget good([](RawConnection& connection) {
        Respond(connection, connection.ReadRequest());
      });
      DispatcherFixture host;
      host.SetView({good.address()});
      host.Start("/x");
      host.RunUntilAnswered();
      host.SetView({target.address()});
      host.Start("/x");
      host.RunFor(kProbeWait);
      CHECK(host.crashes.empty());
    }
  }

  SUBCASE("it was no longer listed, so its end was planned") {
    RawTarget* ended = nullptr;
    RawTarget target([&ended](RawConnection& connection) {
      connection.ReadRequest();
      std::this_thread::sleep_for(milliseconds(200));
      ended->Stop();
      connection.Reset();
    });
    ended = &target;
    DispatcherFixture host;
    host.SetView({target.address()});
    host.Start("/x");
    host.RunUntil([&target] { return target.connections() == 1; });
    host.SetView({});
    host.RunFor(kProbeWait);
    CHECK(host.crashes.empty());
  }

  SUBCASE("it resets connections but still runs") {
    RawTarget target([](RawConnection& connection) {
      connection.ReadRequest();
      connection.Reset();
    });
    DispatcherFixture host;
    host.SetView({target.address()});
    host.Start("/x");
    host.RunFor(kProbeWait);
    CHECK(host.crashes.empty());
    CHECK_FALSE(host.answers.empty());
  }
}

TEST_CASE(
    "a host must report suspected requests as safe that it saw complete") {
  RawTarget target([](RawConnection& connection) {
    Respond(connection, connection.ReadRequest());
  });
  DispatcherFixture host;
  const PoisonView poison_view{.suspected = {{FingerprintOf("/x"), "v1"}}};

  SUBCASE("before they were suspected") {
    host.SetView({target.address()});
    host.Start("/x");
    host.RunUntilAnswered();
    CHECK(host.safe_reports.empty());
    host.SetView({target.address()}, poison_view);
  }
  SUBCASE("after they were suspected") {
    host.SetView({target.address()}, poison_view);
    host.Start("/x");
    host.RunUntilAnswered();
  }
  REQUIRE(host.safe_reports.size() == 1);
  CHECK(host.safe_reports[0].fingerprint == FingerprintOf("/x"));
  CHECK(host.safe_reports[0].version == "v1");
}

// Guards against a library's exception that ends the requests of all callers:
// the hook stands for any call that throws while the answer of a target is
// handled.
TEST_CASE("an exception must cost only the request under which it is thrown") {
  const RawTarget target([](RawConnection& connection) {
    for (std::string it = connection.ReadRequest(); !it.empty();
         it = connection.ReadRequest()) {
      Respond(connection, it);
    }
  });
  DispatcherFixture host;
  host.SetView({target.address()},
               {.suspected = {{FingerprintOf("/odd"), "v1"}}});
  host.hook_throws = true;
  host.Start("/odd");
  host.Start("/proper");
  host.RunUntil([&] { return host.answers.size() == 2; });
  REQUIRE(host.answers.size() == 2);
  const bool is_odd_first = !host.answers[0].response;
  const CallerAnswer& odd = host.answers[is_odd_first ? 0 : 1];
  const CallerAnswer& proper = host.answers[is_odd_first ? 1 : 0];
  CHECK(odd.error == core::ErrorKind::kInternal);
  CHECK(proper.response);

  SUBCASE("and the target is used as before") {
    host.Start("/proper");
    host.RunUntilAnswered();
    REQUIRE(host.answers.size() == 3);
    CHECK(host.answers[2].response);
  }
}

}  // namespace toucandock::entry
