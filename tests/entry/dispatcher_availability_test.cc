#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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
using std::chrono::seconds;
using std::chrono::steady_clock;
namespace beast_http = boost::beast::http;

// A refusal "at once" is one without any waiting.
constexpr milliseconds kAtOnce{150};

// A target that answers its n-th request, from 0, with the status and the
// headers that `answer` returns, or resets the connection if that is empty.
class ScriptedTarget {
 public:
  using Answer = std::function<std::string(int n)>;

  explicit ScriptedTarget(Answer answer = [](int) { return "200 OK"; })
      : answer_(std::move(answer)), target_([this](RawConnection& connection) {
          for (std::string it = connection.ReadRequest(); !it.empty();
               it = connection.ReadRequest()) {
            const std::string head = answer_(requests_++);
            if (head.empty()) {
              connection.Reset();
              return;
            }
            const size_t begin = it.find("Id: ") + 4;
            connection.Write(absl::StrCat(
                "HTTP/1.1 ", head,
                "\r\nId: ", it.substr(begin, it.find('\r', begin) - begin),
                "\r\nDigest: d\r\nContent-Length: 0\r\n\r\n"));
          }
        }) {}

  // To be called before the first request.
  void SetAnswer(Answer answer) { answer_ = std::move(answer); }

  int requests() const { return requests_; }
  int connections() const { return target_.connections(); }
  const std::string& address() const { return target_.address(); }

 private:
  Answer answer_;
  std::atomic<int> requests_ = 0;
  RawTarget target_;
};

ScriptedTarget::Answer Always(const std::string& head) {
  return [head](int) { return head; };
}

ScriptedTarget::Answer First(const std::string& first) {
  return [first](int n) { return n == 0 ? first : "200 OK"; };
}

constexpr char kLeaving[] = "200 OK\r\nLeaving: 1";

std::string Pause(const std::string& value) {
  return absl::StrCat("503 Full\r\nNot-Run: 1\r\nRetry-After: ", value);
}

struct CallerResult {
  bool done = false;
  CallerAnswer answer;
  milliseconds after{};
};

// A dispatcher with one service. Targets in its own failure domain, "a", are
// chosen first.
class AvailabilityFixture {
 public:
  explicit AvailabilityFixture(bool keyed = false,
                               bool idempotent = true,
                               const DispatchOptions& options = {})
      : keyed_(keyed),
        idempotent_(idempotent),
        dispatcher_(io_,
                    {.request_id = "Id",
                     .deadline = "Deadline",
                     .key = "Key",
                     .expected_target = "Expected",
                     .not_executed = "Not-Run",
                     .target_load = "Load",
                     .answer_digest = "Digest",
                     .leaving = "Leaving",
                     .target_id = "Target"},
                    "a",
                    {},
                    options,
                    {.report_load = [](const core::keyspace::LoadReport&) {},
                     .report_poison = [](const PoisonUpdate&) {}}) {}
  // Requests in flight would keep their connections open.
  ~AvailabilityFixture() {
    RunUntil([this] { return dispatcher_.running() == 0; });
  }

  struct Listed {
    const ScriptedTarget* target = nullptr;
    std::int64_t start_time_ms = 1;
    std::string id = "near";
    std::string failure_domain = "a";
  };

  // Lists the targets as ready. The first one owns all keys.
  void List(const std::vector<Listed>& targets,
            const std::vector<std::string>& evacuated = {}) {
    auto view = std::make_shared<RoutingView>();
    for (const std::string& it : evacuated) {
      view->evacuated[it] = steady_clock::now();
    }
    core::routing::RouteConfig config{.version = 1};
    config.routes = {{.host = "h",
                      .path_prefix = "/",
                      .services = {{.service = "s"}},
                      .kind = idempotent_ ? core::routing::RouteKind::kSafe
                                          : core::routing::RouteKind::kUnsafe,
                      .timeout = seconds(4),
                      .latency_goal = seconds(2),
                      .max_attempts = 3}};
    config.services = {{.name = "s", .keyed = keyed_}};
    view->routes = std::make_shared<core::routing::RouteTable>(config);
    for (const Listed& it : targets) {
      view->targets["s"].push_back(
          {.entry = {.instance = {it.id, it.start_time_ms},
                     .service = "s",
                     .address = it.target->address(),
                     .failure_domain = it.failure_domain,
                     .slots = 4}});
    }
    view->ownership["s"] = {
        .service = "s",
        .assignments = {
            {.owner = view->targets["s"][0].entry.instance, .serving = true}}};
    dispatcher_.SetView(std::move(view));
  }

  std::shared_ptr<CallerResult> Start() {
    net::HttpRequest request{beast_http::verb::get, "/x", 11};
    request.set(beast_http::field::host, "h");
    request.set("Id", absl::StrCat("r", ++sent_));
    request.set("Key", "7");
    auto result = std::make_shared<CallerResult>();
    const auto began = steady_clock::now();
    dispatcher_.Start(std::move(request), "10.0.0.7", began,
                      [result, began](CallerAnswer answer) {
                        result->done = true;
                        result->answer = std::move(answer);
                        result->after =
                            std::chrono::duration_cast<milliseconds>(
                                steady_clock::now() - began);
                      });
    return result;
  }

  std::vector<std::shared_ptr<CallerResult>> StartMany(int requests) {
    std::vector<std::shared_ptr<CallerResult>> results;
    results.reserve(static_cast<size_t>(requests));
    for (int n = 0; n < requests; ++n) {
      results.push_back(Start());
    }
    return results;
  }

  CallerResult Send() {
    const auto result = Start();
    RunUntil([&] { return result->done; });
    return *result;
  }

  // Sends requests one after the other and returns how many were answered by a
  // target.
  int SendMany(int requests) {
    int answered = 0;
    for (int n = 0; n < requests; ++n) {
      answered += IsAnswered(Send()) ? 1 : 0;
    }
    return answered;
  }

  static bool IsAnswered(const CallerResult& it) {
    return it.answer.response && it.answer.response->result_int() == 200;
  }

  void RunUntil(const std::function<bool()>& done,
                milliseconds limit = seconds(5)) {
    const auto end = steady_clock::now() + limit;
    while (!done() && steady_clock::now() < end) {
      io_.run_one_for(milliseconds(5));
    }
  }
  void RunFor(milliseconds time) {
    RunUntil([] { return false; }, time);
  }

  bool Counts(const std::string& line) {
    return absl::StrContains(dispatcher_.metrics().Text(), line);
  }

 private:
  const bool keyed_;
  const bool idempotent_;
  boost::asio::io_context io_;
  Dispatcher dispatcher_;
  int sent_ = 0;
};

}  // namespace

// Guards against requests that reach a target after it has declared in a
// response that it leaves.
TEST_CASE("a leaving target must not get requests from any state") {
  ScriptedTarget near;
  ScriptedTarget far;
  const AvailabilityFixture::Listed other{
      .target = &far, .id = "far", .failure_domain = "b"};
  AvailabilityFixture host;

  SUBCASE("whatever it answered") {
    for (const char* status :
         {"200 OK", "404 Not Found", "500 Failed", "503 Full\r\nNot-Run: 1",
          "421 Wrong", "429 Many\r\nNot-Run: 1"}) {
      CAPTURE(std::string(status));
      ScriptedTarget it(First(absl::StrCat(status, "\r\nLeaving: 1")));
      AvailabilityFixture fixture;
      fixture.List({{.target = &it}, other});
      fixture.Send();
      CHECK(it.requests() == 1);
      CHECK(fixture.SendMany(10) == 10);
      CHECK(it.requests() == 1);
      CHECK(fixture.Counts("notice=\"leaving\",service=\"s\"} 1"));
    }
  }

  SUBCASE("also if the list of targets still says that it is ready") {
    near.SetAnswer(First(kLeaving));
    host.List({{.target = &near}, other});
    CHECK(host.SendMany(1) == 1);
    host.List({other});
    host.List({{.target = &near}, other});
    CHECK(host.SendMany(10) == 10);
    CHECK(near.requests() == 1);
    SUBCASE("but a later instance at its address gets requests") {
      host.List({{.target = &near, .start_time_ms = 2}, other});
      CHECK(host.SendMany(10) == 10);
      CHECK(near.requests() > 1);
    }
    SUBCASE("as does another target at its address") {
      host.List({{.target = &near, .id = "next"}, other});
      CHECK(host.SendMany(10) == 10);
      CHECK(near.requests() > 1);
    }
  }

  SUBCASE("nor if another target declared it at the same address") {
    near.SetAnswer(
        First("421 Wrong\r\nNot-Run: 1\r\nLeaving: 1\r\nTarget: next"));
    host.List({{.target = &near}, {.target = &near, .id = "next"}});
    CHECK(host.SendMany(10) == 10);
    CHECK(host.Counts("notice=\"leaving\",service=\"s\"} 1"));
  }

  SUBCASE("a value that is not 1 is only counted") {
    near.SetAnswer(Always("200 OK\r\nLeaving: 0"));
    host.List({{.target = &near}});
    CHECK(host.SendMany(3) == 3);
    CHECK(host.Counts("notice=\"bad-leaving\",service=\"s\"} 3"));
  }

  SUBCASE("requests that wait, when it is the only one, are refused at once") {
    near.SetAnswer([](int) {
      std::this_thread::sleep_for(milliseconds(50));
      return std::string(kLeaving);
    });
    host.List({{.target = &near}});
    const auto results = host.StartMany(20);
    host.RunUntil([&] { return results.back()->done; });
    const int sent = near.requests();
    CHECK(sent < 20);
    CHECK(results.back()->answer.error == ErrorKind::kOverloaded);
    CHECK(results.back()->answer.retry_after >= milliseconds(500));
    CHECK(results.back()->after < milliseconds(50) + kAtOnce);
    const CallerResult later = host.Send();
    CHECK(later.answer.error == ErrorKind::kOverloaded);
    CHECK(later.after < kAtOnce);
    CHECK(near.requests() == sent);
  }

  SUBCASE("a request that was chosen for it but not sent goes elsewhere") {
    near.SetAnswer(
        [](int n) { return n == 0 ? "200 OK" : std::string(kLeaving); });
    host.List({{.target = &near}, other});
    CHECK(host.SendMany(1) == 1);
    // The first one uses the kept connection, the second one needs a new one.
    const auto results = host.StartMany(2);
    host.RunUntil([&] { return results[0]->done && results[1]->done; });
    CHECK(near.requests() == 2);
    CHECK(AvailabilityFixture::IsAnswered(*results[1]));
    CHECK(host.Counts("action=\"other-target\",cause=\"leaving\""));
  }

  SUBCASE("what it received before is still answered") {
    near.SetAnswer([](int n) {
      std::this_thread::sleep_for(milliseconds(n == 0 ? 300 : 1));
      return std::string(kLeaving);
    });
    host.List({{.target = &near}, other});
    const auto results = host.StartMany(2);
    host.RunUntil([&] { return results[0]->done && results[1]->done; });
    CHECK(AvailabilityFixture::IsAnswered(*results[0]));
    CHECK(AvailabilityFixture::IsAnswered(*results[1]));
    CHECK(near.requests() == 2);
  }

  SUBCASE("no test connection is opened when it ends") {
    near.SetAnswer([](int n) {
      std::this_thread::sleep_for(milliseconds(n == 0 ? 10 : 100));
      return n == 0 ? kLeaving : std::string();
    });
    host.List({{.target = &near}, other});
    const auto results = host.StartMany(2);
    host.RunUntil([&] { return results[0]->done && results[1]->done; });
    host.RunFor(seconds(1));
    CHECK(near.connections() == 2);
  }
}

// Guards against requests that reach a target in the time for which it asked
// for none.
TEST_CASE("a target that asked for a pause must get nothing until its end") {
  ScriptedTarget near;
  ScriptedTarget far;
  const AvailabilityFixture::Listed other{
      .target = &far, .id = "far", .failure_domain = "b"};
  AvailabilityFixture host;

  SUBCASE("the refused request and later ones go elsewhere") {
    near.SetAnswer(First(Pause("1")));
    host.List({{.target = &near}, other});
    const auto began = steady_clock::now();
    while (steady_clock::now() - began < milliseconds(950)) {
      CHECK(host.SendMany(1) == 1);
    }
    CHECK(near.requests() == 1);
    CHECK(host.Counts("notice=\"pause\",service=\"s\"} 1"));
    CHECK(host.Counts("action=\"other-target\",cause=\"paused\""));
    SUBCASE("and then gradually to it again") {
      host.RunFor(milliseconds(350));
      CHECK(host.SendMany(20) == 20);
      CHECK(near.requests() > 1);
      CHECK(near.requests() < 8);
      CHECK(host.Counts("toucandock_entry_ended_pauses_total 1"));
    }
  }

  SUBCASE("a pause that cannot be read is counted, and a 503 remains a 503") {
    for (const char* value : {"-1", "soon", "", "0"}) {
      CAPTURE(std::string(value));
      ScriptedTarget it(First(Pause(value)));
      AvailabilityFixture fixture;
      fixture.List({{.target = &it}});
      CHECK(fixture.SendMany(1) == 1);
      CHECK(it.requests() == 2);
      CHECK(fixture.Counts("notice=\"bad-pause\",service=\"s\"} 1") ==
            (std::string(value) != "0"));
    }
  }

  SUBCASE("a pause beyond the limit is limited") {
    near.SetAnswer(First(Pause("99999999999999999999")));
    host.List({{.target = &near}, other});
    CHECK(host.SendMany(10) == 10);
    CHECK(near.requests() == 1);
    CHECK(host.Counts("notice=\"limited-pause\",service=\"s\"} 1"));
  }

  SUBCASE("the test connection after a break waits for its end") {
    near.SetAnswer([](int n) {
      std::this_thread::sleep_for(milliseconds(n == 0 ? 10 : 100));
      return n == 0 ? Pause("1") : std::string();
    });
    host.List({{.target = &near}, other});
    const auto results = host.StartMany(2);
    host.RunUntil([&] { return results[0]->done && results[1]->done; });
    host.RunFor(milliseconds(600));
    CHECK(near.connections() == 2);
    host.RunFor(milliseconds(1'200));
    CHECK(near.connections() == 3);
  }
}

// Guards against callers that wait for what is known not to happen in time.
TEST_CASE("callers must learn at once that a pause outlasts their time") {
  SUBCASE("the owner of the key pauses for longer than a request waits") {
    ScriptedTarget owner(Always(Pause("3")));
    AvailabilityFixture host(true);
    host.List({{.target = &owner}});
    for (int n = 0; n < 3; ++n) {
      const CallerResult it = host.Send();
      CHECK(it.answer.error == ErrorKind::kOwnerUnavailable);
      CHECK(it.after < kAtOnce);
      CHECK(it.answer.retry_after > milliseconds(2'500));
      CHECK(it.answer.retry_after < milliseconds(5'000));
    }
    CHECK(owner.requests() == 1);
  }

  SUBCASE("the owner pauses shortly, so that its requests wait") {
    for (const bool idempotent : {true, false}) {
      ScriptedTarget owner(First(Pause("0.4")));
      AvailabilityFixture host(true, idempotent);
      host.List({{.target = &owner}});
      const CallerResult it = host.Send();
      CHECK(AvailabilityFixture::IsAnswered(it));
      CHECK(it.after >= milliseconds(400));
      CHECK(owner.requests() == 2);
    }
  }

  SUBCASE("all targets of a service pause") {
    ScriptedTarget first(Always(Pause("2")));
    ScriptedTarget second(Always(Pause("3")));
    AvailabilityFixture host;
    host.List({{.target = &first}, {.target = &second, .id = "second"}});
    host.Send();
    const CallerResult it = host.Send();
    CHECK(it.answer.error == ErrorKind::kOverloaded);
    CHECK(it.after < kAtOnce);
    CHECK(it.answer.retry_after > milliseconds(1'500));
    CHECK(it.answer.retry_after < milliseconds(3'000));
    CHECK(host.Counts("action=\"refused\",cause=\"paused\""));
  }

  SUBCASE("the owner of the key leaves") {
    ScriptedTarget owner(Always(kLeaving));
    ScriptedTarget heir;
    const AvailabilityFixture::Listed next{.target = &heir, .id = "heir"};
    AvailabilityFixture host(true);
    host.List({{.target = &owner}, next});
    CHECK(AvailabilityFixture::IsAnswered(host.Send()));
    SUBCASE("requests wait for the move of the key") {
      const auto result = host.Start();
      host.RunFor(milliseconds(200));
      CHECK_FALSE(result->done);
      host.List({next, {.target = &owner}});
      host.RunUntil([&] { return result->done; });
      CHECK(AvailabilityFixture::IsAnswered(*result));
    }
    SUBCASE("unless the key has not moved for a long time") {
      host.RunFor(milliseconds(2'100));
      const CallerResult it = host.Send();
      CHECK(it.answer.error == ErrorKind::kOwnerUnavailable);
      CHECK(it.after < kAtOnce);
      CHECK(it.answer.retry_after >= milliseconds(500));
    }
    CHECK(owner.requests() == 1);
  }
}

// Guards against requests that reach a failure domain after the operator has
// evacuated it, and against callers that wait although no target is left.
TEST_CASE("an evacuated failure domain must not get requests") {
  ScriptedTarget near;
  ScriptedTarget far;
  const AvailabilityFixture::Listed first{.target = &near};
  const AvailabilityFixture::Listed other{
      .target = &far, .id = "far", .failure_domain = "b"};

  SUBCASE("for a service without keys, from the moment it is known") {
    AvailabilityFixture host;
    host.List({first, other}, {"a"});
    CHECK(host.SendMany(10) == 10);
    CHECK(near.requests() == 0);
    SUBCASE("and again once it is revoked") {
      host.List({first, other});
      CHECK(host.SendMany(10) == 10);
      CHECK(near.requests() > 0);
    }
    SUBCASE("and callers are refused at once if no domain is left") {
      host.List({first, other}, {"a", "b"});
      const CallerResult result = host.Send();
      CHECK(result.answer.error == ErrorKind::kOverloaded);
      CHECK(result.after < kAtOnce);
      CHECK(result.answer.retry_after == seconds(1));
      CHECK(host.Counts("cause=\"evacuated\""));
      CHECK(near.requests() == 0);
    }
  }
  SUBCASE("while a connection to it is being opened") {
    AvailabilityFixture host;
    host.List({first, other});
    const auto result = host.Start();
    host.List({first, other}, {"a"});
    host.RunUntil([&] { return result->done; });
    CHECK(AvailabilityFixture::IsAnswered(*result));
    CHECK(near.requests() == 0);
    CHECK(far.requests() == 1);
  }
  SUBCASE("for keys, once their handover has had its time") {
    DispatchOptions options;
    options.evacuation = {.limit = milliseconds(1'200),
                          .notice_delay = milliseconds(500),
                          .transit_margin = milliseconds(300)};
    options.max_move_time = milliseconds(100);
    AvailabilityFixture host(true, true, options);
    host.List({first, other}, {"a"});
    CHECK(host.SendMany(3) == 3);
    CHECK(near.requests() == 3);
    host.RunFor(milliseconds(550));
    const CallerResult result = host.Send();
    CHECK(result.answer.error == ErrorKind::kOwnerUnavailable);
    CHECK(result.after < kAtOnce);
    CHECK(near.requests() == 3);
    SUBCASE("and from their new owner without delay") {
      host.List({other, first}, {"a"});
      CHECK(host.SendMany(3) == 3);
      CHECK(near.requests() == 3);
    }
  }
}

}  // namespace toucandock::entry
