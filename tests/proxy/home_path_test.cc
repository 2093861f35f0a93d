#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "core/routing/queue_host.h"
#include "http/server.h"
#include "proxy/caller_handler.h"

namespace toucandock::proxy {
namespace {

using core::routing::RoutingSnapshot;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Fence kFence = 7;
constexpr milliseconds kWork{30};

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// A target that counts how many requests it runs at a time.
class FakeTarget {
 public:
  FakeTarget()
      : server_(*http::Server::Start({}, [this](const http::Request& request) {
          return Run(request);
        })) {}

  const std::string& address() const { return server_->address(); }
  int ran() const { return ran_; }
  int running() const { return running_; }
  int max_running() const { return max_running_; }

 private:
  http::Response Run(const http::Request& request) {
    const int now = ++running_;
    int seen = max_running_;
    while (now > seen && !max_running_.compare_exchange_weak(seen, now)) {
    }
    if (request.path == "/slow") {
      std::this_thread::sleep_for(kWork);
    }
    --running_;
    ++ran_;
    return http::JsonResponse(200, request.method + " " + request.body);
  }

  std::atomic<int> running_ = 0;
  std::atomic<int> max_running_ = 0;
  std::atomic<int> ran_ = 0;
  std::unique_ptr<http::Server> server_;
};

// The part of an entry host that serves requests, with its peer port.
class FakeHost {
 public:
  explicit FakeHost(core::HostId id)
      : id_(std::move(id)),
        gate_(Now),
        caller_handler_(
            {},
            view_,
            in_flight_,
            client_,
            metrics_,
            {.now = Now,
             .report_observation = [](const core::TargetId&,
                                      core::detection::ObservationKind) {},
             .record_attempt =
                 [](const core::request::AttemptKey&) {
                   return core::request::RecordResult::kRecorded;
                 },
             .finish_attempt = [](const core::request::AttemptKey&,
                                  core::request::FinishResult) {},
             .find_poison_match =
                 [](const core::request::PoisonKey&) {
                   return core::request::PoisonMatch::kNone;
                 },
             .on_broken = [](const core::request::CrashReport&,
                             const std::string&) {},
             .on_answer = [](const core::request::PoisonKey&) {},
             .wait_for_slot =
                 [this](const SlotRequest& it) { return gate_.Wait(it); },
             .queue_count =
                 [this](const core::TargetId& it) {
                   return gate_.CountFor(it);
                 },
             .is_self = [this](const core::HostId& it) { return it == id_; },
             .is_stopping = [this] { return stopping_.load(); },
             .new_request_id = [] { return "r"; }}),
        peer_server_(
            *http::Server::Start({}, [this](const http::Request& request) {
              while (paused_) {
                std::this_thread::sleep_for(milliseconds(1));
              }
              return caller_handler_.ServeForward(request);
            })) {}

  core::control::HostInfo info() const {
    return {.id = id_, .peer_address = peer_address_};
  }
  void Publish(const RoutingSnapshot& snapshot) {
    view_.Publish(std::make_shared<RoutingSnapshot>(snapshot));
    view_.SetLease(Now() + seconds(60), Now());
  }
  void LoseLease() { view_.SetLease(Now() - seconds(1), Now()); }
  void Stop() { stopping_ = true; }
  void Pause(bool paused) { paused_ = paused; }
  void ProbeQueueHosts() {
    for (const core::control::HostInfo& it :
         caller_handler_.QueueHostsToProbe()) {
      caller_handler_.ProbeQueueHost(it, milliseconds(50));
    }
  }
  void Kill() { peer_server_.reset(); }
  bool Drain() { return peer_server_->Drain(seconds(5)); }
  http::Response Serve(const http::Request& request) {
    return caller_handler_.Serve(request);
  }
  std::string metrics() const { return metrics_.Text(); }

 private:
  const core::HostId id_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> paused_ = false;
  http::Client client_;
  observe::Metrics metrics_;
  PublishedView view_;
  InFlightTable in_flight_;
  SlotGate gate_;
  CallerHandler caller_handler_;
  std::unique_ptr<http::Server> peer_server_;
  const std::string peer_address_ = peer_server_->address();
};

// A snapshot with one target with one slot, in a keyed service and in one that
// is not keyed.
RoutingSnapshot MakeSnapshot(
    const FakeTarget& target,
    const std::vector<core::control::HostInfo>& hosts) {
  RoutingSnapshot snapshot = {
      .sequence = 1, .config_version = 1, .hosts = hosts};
  for (const char* name : {"keyed", "desk"}) {
    core::routing::ServiceRoute route;
    route.config.name = name;
    route.config.keyed = std::string(name) == "keyed";
    route.config.shards = 1;
    route.config.slots = 1;
    route.config.queue = 4;
    route.config.classes = {
        {.name = "read", .methods = {"GET"}, .idempotent = true},
        {.name = "write"}};
    route.targets = {{.id = std::string(name) + "/" + target.address(),
                      .address = target.address()}};
    route.shards = {{0, kFence}};
    snapshot.services[name] = route;
  }
  return snapshot;
}

http::Request RequestTo(const std::string& path, const std::string& method) {
  return {.method = method,
          .path = path,
          .headers = {{"Toucandock-Key", "k"}, {"Toucandock-Deadline", "2000"}},
          .body = "text"};
}

}  // namespace

// Two entry hosts send requests to a target with one slot. Without a common
// queue, each host would fill the slot by itself and overload the target.
// Without another path, requests would fail while the queue host is lost.
TEST_CASE(
    "a target must have one queue, and its queue host must not be a single "
    "point of failure") {
  FakeTarget target;
  FakeHost one("one");
  FakeHost two("two");
  RoutingSnapshot snapshot = MakeSnapshot(target, {one.info(), two.info()});
  one.Publish(snapshot);
  two.Publish(snapshot);
  const bool one_is_queue_host =
      core::routing::QueueHost(snapshot, "keyed/" + target.address(),
                               [](const core::HostId&) { return false; })
          ->id == "one";
  FakeHost& queue_host = one_is_queue_host ? one : two;
  FakeHost& entry = one_is_queue_host ? two : one;

  SUBCASE(
      "a request goes through the queue host and its response is complete") {
    for (const char* path : {"/keyed/a", "/desk/a"}) {
      for (const char* method : {"GET", "POST", "GET", "POST"}) {
        const http::Response answer = entry.Serve(RequestTo(path, method));
        CHECK(answer.status == 200);
        CHECK(answer.body == std::string(method) + " text");
      }
    }
    const char* queue_time_metric =
        "toucandock_queue_seconds_count{class=\"write\",service=\"keyed\"}";
    CHECK(absl::StrContains(queue_host.metrics(), queue_time_metric));
    CHECK(!absl::StrContains(entry.metrics(), queue_time_metric));
  }

  SUBCASE("both hosts get more requests at a time than the target has slots") {
    constexpr int kRequests = 12;
    std::vector<std::future<http::Response>> answers;
    for (int n = 0; n < kRequests; ++n) {
      FakeHost& host = n % 2 == 0 ? queue_host : entry;
      answers.push_back(std::async(std::launch::async, [&host] {
        return host.Serve(RequestTo("/keyed/slow", "POST"));
      }));
    }
    int served = 0;
    for (auto& it : answers) {
      const http::Response answer = it.get();
      if (answer.status == 200) {
        ++served;
        continue;
      }
      CHECK(answer.status == 503);
      CHECK(absl::StrContains(answer.body, "\"kind\":\"overloaded\""));
      CHECK(absl::StrContains(answer.body, "\"outcome\":\"not-run\""));
      CHECK(http::FindHeader(answer.headers, "Retry-After") != nullptr);
    }
    CHECK(target.max_running() == 1);
    CHECK(target.ran() == served);
    CHECK(served >= 5);
    CHECK(served < kRequests);
    CHECK(absl::StrContains(queue_host.metrics(), "toucandock_shed_total"));
  }

  SUBCASE("the queue host is killed: another path is used") {
    queue_host.Kill();
    CHECK(entry.Serve(RequestTo("/keyed/a", "POST")).status == 200);
    CHECK(target.ran() == 1);
  }

  SUBCASE("the queue host is stopping: another path is used") {
    queue_host.Stop();
    CHECK(entry.Serve(RequestTo("/keyed/a", "POST")).status == 200);
    CHECK(target.ran() == 1);
    CHECK(!absl::StrContains(queue_host.metrics(),
                             "toucandock_queue_seconds_count"));
  }

  SUBCASE(
      "the queue host stops while it has a request: that request completes") {
    auto answer = std::async(std::launch::async, [&] {
      return entry.Serve(RequestTo("/keyed/slow", "POST"));
    });
    while (target.running() == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    queue_host.Stop();
    CHECK(queue_host.Drain());
    CHECK(target.ran() == 1);
    queue_host.Kill();
    CHECK(answer.get().status == 200);
    CHECK(target.ran() == 1);
  }

  SUBCASE("the queue host is paused: requests to it are abandoned soon") {
    queue_host.Pause(true);
    const core::TimePoint start = Now();
    const auto send = [&](const char* method) {
      auto answer = std::async(std::launch::async, [&entry, method] {
        return entry.Serve(RequestTo("/keyed/a", method));
      });
      while (answer.wait_for(milliseconds(5)) != std::future_status::ready) {
        entry.ProbeQueueHosts();
      }
      return answer.get();
    };

    SUBCASE("an idempotent request takes another path") {
      CHECK(send("GET").status == 200);
      CHECK(Now() - start < seconds(1));
    }

    SUBCASE("any other request may have run") {
      const http::Response answer = send("POST");
      CHECK(absl::StrContains(answer.body, "\"outcome\":\"unknown\""));
      CHECK(Now() - start < seconds(1));

      SUBCASE("and the next request takes another path immediately") {
        CHECK(send("POST").status == 200);
      }
    }
    queue_host.Pause(false);
  }

  SUBCASE("the queue host has no lease: it does not send to owners of keys") {
    queue_host.LoseLease();
    http::Request request = RequestTo("/keyed/a", "POST");
    request.headers.back().second = "100";
    const http::Response answer = entry.Serve(request);
    CHECK(absl::StrContains(answer.body, "\"outcome\":\"not-run\""));
    CHECK(target.ran() == 0);
  }

  SUBCASE(
      "the queue host knows a later fence: it does not send under the old") {
    RoutingSnapshot later = snapshot;
    later.services["keyed"].shards = {{0, kFence + 1}};
    queue_host.Publish(later);
    http::Request request = RequestTo("/keyed/a", "POST");
    request.headers.back().second = "100";
    const http::Response answer = entry.Serve(request);
    CHECK(absl::StrContains(answer.body, "\"outcome\":\"not-run\""));
    CHECK(target.ran() == 0);

    SUBCASE("until the entry host knows it too") {
      entry.Publish(later);
      CHECK(entry.Serve(RequestTo("/keyed/a", "POST")).status == 200);
    }
  }
}

}  // namespace toucandock::proxy
