#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
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

constexpr milliseconds kAtOnce{150};

struct CallerResult {
  std::optional<CallerAnswer> answer;
  milliseconds after{};
};

// A dispatcher with one keyed service, whose keys may have no serving owner.
class WaitingFixture {
 public:
  explicit WaitingFixture(milliseconds goal, milliseconds timeout)
      : target_([](RawConnection& connection) {
          for (std::string it = connection.ReadRequest(); !it.empty();
               it = connection.ReadRequest()) {
            const size_t begin = it.find("Id: ") + 4;
            connection.Write(
                absl::StrCat("HTTP/1.1 200 OK\r\nId: ",
                             it.substr(begin, it.find('\r', begin) - begin),
                             "\r\nDigest: d\r\nContent-Length: 0\r\n\r\n"));
          }
        }),
        goal_(goal),
        timeout_(timeout),
        dispatcher_(io_,
                    {.request_id = "Id",
                     .deadline = "Deadline",
                     .key = "Key",
                     .expected_target = "Expected",
                     .not_executed = "Not-Run",
                     .target_load = "Load",
                     .answer_digest = "Digest"},
                    "a",
                    {},
                    {},
                    {.report_load = [](const core::keyspace::LoadReport&) {},
                     .report_poison = [](const PoisonUpdate&) {}}) {}

  void SetOwnerServes(bool is_serving) {
    const core::discovery::TargetInstance instance{.id = "t1",
                                                   .start_time_ms = 1};
    auto view = std::make_shared<RoutingView>();
    core::routing::RouteConfig config{.version = 1};
    config.routes = {{.host = "h",
                      .path_prefix = "/",
                      .services = {{.service = "s"}},
                      .kind = core::routing::RouteKind::kUnsafe,
                      .timeout = timeout_,
                      .latency_goal = goal_}};
    config.services = {{.name = "s", .keyed = true}};
    view->routes = std::make_shared<core::routing::RouteTable>(config);
    view->targets["s"] = {{.entry = {.instance = instance,
                                     .service = "s",
                                     .address = target_.address(),
                                     .slots = 4}}};
    view->ownership["s"] = {
        .service = "s",
        .assignments = {{.owner = instance, .serving = is_serving}}};
    dispatcher_.SetView(std::move(view));
  }

  std::shared_ptr<CallerResult> Start(const std::string& path = "/x") {
    auto result = std::make_shared<CallerResult>();
    net::HttpRequest request{beast_http::verb::get, path, 11};
    request.set(beast_http::field::host, "h");
    request.set("Id", absl::StrCat("r", ++sent_));
    request.set("Key", "7");
    const auto began = steady_clock::now();
    dispatcher_.Start(std::move(request), "127.0.0.1", began,
                      [result, began](CallerAnswer answer) {
                        result->answer = std::move(answer);
                        result->after =
                            std::chrono::duration_cast<milliseconds>(
                                steady_clock::now() - began);
                      });
    return result;
  }

  void RunFor(milliseconds time) {
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      io_.run_one_for(milliseconds(5));
    }
  }

  bool HasMetric(const std::string& line) {
    return absl::StrContains(dispatcher_.metrics().Text(), line);
  }
  Dispatcher& dispatcher() { return dispatcher_; }

 private:
  RawTarget target_;
  const milliseconds goal_;
  const milliseconds timeout_;
  boost::asio::io_context io_;
  Dispatcher dispatcher_;
  int sent_ = 0;
};

}  // namespace

// A move is assumed to take 750 ms before any has been seen.
TEST_CASE("a request whose key moves must wait only if the move ends in time") {
  SUBCASE("it waits if it still can meet its goal, and is sent") {
    WaitingFixture host(milliseconds(2'000), milliseconds(4'000));
    host.SetOwnerServes(false);
    const auto result = host.Start();
    host.RunFor(milliseconds(200));
    CHECK_FALSE(result->answer.has_value());
    CHECK(host.HasMetric("waiting_requests{caller=\"new\",goal=\"met\","));
    host.SetOwnerServes(true);
    host.RunFor(milliseconds(200));
    REQUIRE(result->answer.has_value());
    CHECK(result->answer->response.has_value());
    CHECK(host.HasMetric("wait_error_seconds_count{service=\"s\"} 1"));

    SUBCASE("after which moves are expected to take as long again") {
      host.SetOwnerServes(false);
      host.RunFor(milliseconds(50));
      CHECK_FALSE(host.Start()->answer.has_value());
    }
  }
  SUBCASE("or else is refused at once, with a time within its caller's") {
    WaitingFixture host(milliseconds(300), milliseconds(900));
    host.SetOwnerServes(false);
    const auto result = host.Start();
    REQUIRE(result->answer.has_value());
    CHECK(result->answer->error == ErrorKind::kOwnerUnavailable);
    CHECK(result->after < kAtOnce);
    CHECK(result->answer->retry_after > milliseconds(0));
    CHECK(result->answer->retry_after <= milliseconds(300));
    CHECK(host.HasMetric("wait_refusals_total{reason=\"too-late\""));

    SUBCASE("and a caller that comes back earlier keeps that time") {
      const auto second = host.Start();
      REQUIRE(second->answer.has_value());
      CHECK(second->answer->retry_after <= result->answer->retry_after);
      CHECK(host.HasMetric("returns_total{service=\"s\",when=\"early\"} 1"));
    }
  }
  SUBCASE("it does not wait beyond its time if the move takes longer") {
    WaitingFixture host(milliseconds(1'300), milliseconds(1'500));
    host.SetOwnerServes(false);
    const auto result = host.Start();
    CHECK_FALSE(result->answer.has_value());
    host.RunFor(milliseconds(1'300));
    REQUIRE(result->answer.has_value());
    CHECK(result->answer->error == ErrorKind::kOwnerUnavailable);
    CHECK(host.HasMetric("reason=\"waited-too-long\""));
  }
}

TEST_CASE("a host that stops must refuse waiting requests as not run") {
  WaitingFixture host(milliseconds(2'000), milliseconds(4'000));
  host.SetOwnerServes(false);
  const auto first = host.Start("/1");
  const auto second = host.Start("/2");
  REQUIRE_FALSE(first->answer.has_value());
  host.dispatcher().FailAll();
  for (const auto& it : {first, second}) {
    REQUIRE(it->answer.has_value());
    CHECK(it->answer->error == ErrorKind::kStopping);
  }
}

}  // namespace toucandock::entry
