#include "proxy/caller_handler.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "core/request/attempt_registry.h"
#include "core/request/poison_registry.h"
#include "http/raw_target.h"
#include "http/server.h"

namespace toucandock::proxy {
namespace {

using core::request::AttemptKey;
using core::request::BeginResult;
using core::request::FinishResult;
using core::request::RecordResult;
using http::RawConnection;
using http::RawTarget;
using std::chrono::milliseconds;

const char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// A caller handler with the attempt and poison registries of one host, so that
// resends meet the records of earlier requests.
class HandlerFixture {
 public:
  explicit HandlerFixture(const std::vector<std::string>& target_addresses)
      : attempts_(core::request::RegistryLimits{}),
        poison_(core::request::PoisonOptions{}) {
    auto snapshot = std::make_shared<core::routing::RoutingSnapshot>();
    snapshot->config_version = 1;
    snapshot->services["desk"] = Service("desk", false, target_addresses);
    snapshot->services["board"] = Service("board", true, target_addresses);
    view_.Publish(std::move(snapshot));
    view_.SetLease(Now() + std::chrono::hours(1), Now());
    caller_handler_ = std::make_unique<CallerHandler>(
        settings::Limits{.answer_bytes = 1'000}, view_, in_flight_, client_,
        metrics_, Hooks());
  }

  http::Response Serve(const http::Request& request) {
    return caller_handler_->Serve(request);
  }

  PublishedView& view() { return view_; }
  std::atomic<bool> stopping = false;
  std::atomic<bool> can_record = true;
  std::atomic<int> broken = 0;

 private:
  static core::routing::ServiceRoute Service(
      const std::string& name,
      bool keyed,
      const std::vector<std::string>& addresses) {
    core::routing::ServiceRoute route;
    route.config.name = name;
    route.config.keyed = keyed;
    route.config.shards = 1;
    route.config.classes = {
        {.name = "reads", .methods = {"GET", "HEAD"}, .idempotent = true},
        {.name = "writes"}};
    for (const std::string& it : addresses) {
      route.targets.push_back(
          {.id = absl::StrCat(name, "/", it), .address = it});
    }
    route.shards = {{.target = 0, .fence = 77}};
    return route;
  }

  CallerHandlerHooks Hooks() {
    return {.now = Now,
            .report_observation = [](const core::TargetId&,
                                     core::detection::ObservationKind) {},
            .record_attempt =
                [this](const AttemptKey& key) {
                  const std::lock_guard<std::mutex> lock(mutex_);
                  if (!can_record) {
                    return RecordResult::kFailed;
                  }
                  switch (attempts_.Begin(key, Now())) {
                    case BeginResult::kBegun:
                      return RecordResult::kRecorded;
                    case BeginResult::kStarted:
                      return RecordResult::kDuplicate;
                    case BeginResult::kRan:
                      return RecordResult::kDuplicateRan;
                    case BeginResult::kReused:
                      return RecordResult::kReusedId;
                    case BeginResult::kRefused:
                      break;
                  }
                  return RecordResult::kFailed;
                },
            .finish_attempt =
                [this](const AttemptKey& key, FinishResult result) {
                  const std::lock_guard<std::mutex> lock(mutex_);
                  attempts_.Finish(key, result, Now());
                },
            .find_poison_match =
                [this](const core::request::PoisonKey& key) {
                  const std::lock_guard<std::mutex> lock(mutex_);
                  return poison_.FindMatch(key, Now());
                },
            // Each broken connection counts as a crash of the target.
            .on_broken =
                [this](const core::request::CrashReport& report,
                       const std::string&) {
                  const std::lock_guard<std::mutex> lock(mutex_);
                  ++broken;
                  poison_.Report(report, Now());
                },
            .on_answer =
                [this](const core::request::PoisonKey& key) {
                  const std::lock_guard<std::mutex> lock(mutex_);
                  poison_.MarkSafe(key, "", Now());
                },
            .wait_for_slot =
                [this](const SlotRequest& it) { return gate_.Wait(it); },
            .queue_count =
                [this](const core::TargetId& it) { return gate_.CountFor(it); },
            .is_self = [](const core::HostId&) { return true; },
            .is_stopping = [this] { return stopping.load(); },
            .new_request_id =
                [this] { return absl::StrCat("generated-", ++ids_); }};
  }

  PublishedView view_;
  InFlightTable in_flight_;
  SlotGate gate_{Now};
  http::Client client_;
  observe::Metrics metrics_;
  std::atomic<int> ids_ = 0;
  std::mutex mutex_;
  core::request::AttemptRegistry attempts_;
  core::request::PoisonRegistry poison_;
  std::unique_ptr<CallerHandler> caller_handler_;
};

http::Request OrderRequest(const std::string& id) {
  return {.method = "POST",
          .path = "/desk/orders",
          .headers = {{"Idempotency-Key", id}, {"Toucandock-Deadline", "600"}},
          .body = "order"};
}

// Returns a member of a problem document, or an empty text.
std::string ProblemMember(const http::Response& response, const char* name) {
  const auto value = codec::ParseJson(response.body);
  return value.ok() && value->isObject() ? (*value)[name].asString() : "";
}

// Returns "KIND OUTCOME" of a problem document.
std::string ProblemOf(const http::Response& response) {
  return absl::StrCat(ProblemMember(response, "kind"), " ",
                      ProblemMember(response, "outcome"));
}

RawTarget::Serve Always(const std::string& answer) {
  return [answer](RawConnection& it) {
    while (!it.ReadRequest().empty()) {
      it.Write(answer);
    }
  };
}

}  // namespace

TEST_CASE("a request that cannot be served must be refused as not run") {
  std::atomic<int> requests = 0;
  RawTarget target([&](RawConnection& it) {
    while (!it.ReadRequest().empty()) {
      ++requests;
      it.Write(kCompleteResponse);
    }
  });
  HandlerFixture handler({target.address()});
  struct Row {
    const char* what;
    http::Request request;
    int status;
    const char* kind;
  };
  const auto get = [](const std::string& path, http::Headers headers = {}) {
    return http::Request{.path = path, .headers = std::move(headers)};
  };
  http::Request too_large = OrderRequest("order-1");
  too_large.body_too_large = true;
  http::Request fragment = get("/desk/a#b");
  http::Request bad_query = get("/desk/a");
  bad_query.query = "a=\x01";
  http::Request tunnel = get("/desk/a");
  tunnel.method = "CONNECT";
  const Row rows[] = {
      {"the body is too large", too_large, 413, "request-too-large"},
      {"unknown service", get("/nothing/x"), 404, "unknown-service"},
      {"no service", get("/"), 404, "unknown-service"},
      {"an empty path", get(""), 400, "malformed-request"},
      {"a path without a slash", get("*"), 400, "malformed-request"},
      {"a fragment in the path", fragment, 400, "malformed-request"},
      {"a control character in the query", bad_query, 400, "malformed-request"},
      {"a byte outside ASCII in the path", get("/desk/\xc3\xa4"), 400,
       "malformed-request"},
      {"a CONNECT request", tunnel, 400, "malformed-request"},
      {"no key", get("/board/x"), 400, "missing-key"},
      {"an empty key", get("/board/x", {{"Toucandock-Key", ""}}), 400,
       "missing-key"},
      {"a key that is too long",
       get("/board/x", {{"Toucandock-Key", std::string(513, 'k')}}), 400,
       "malformed-request"},
      {"a request id that is too long",
       get("/desk/x", {{"Idempotency-Key", std::string(129, 'i')}}), 400,
       "malformed-request"},
      {"a request id with a control character",
       get("/desk/x", {{"Idempotency-Key", "a\x01"}}), 400,
       "malformed-request"},
      {"a request id outside ASCII",
       get("/desk/x", {{"Idempotency-Key", "\xff"}}), 400, "malformed-request"},
      {"a deadline that is no number",
       get("/desk/x", {{"Toucandock-Deadline", "soon"}}), 400,
       "malformed-request"},
      {"a deadline of zero", get("/desk/x", {{"Toucandock-Deadline", "0"}}),
       400, "malformed-request"},
      {"a negative deadline", get("/desk/x", {{"Toucandock-Deadline", "-5"}}),
       400, "malformed-request"},
      {"a deadline above an hour",
       get("/desk/x", {{"Toucandock-Deadline", "3600001"}}), 400,
       "malformed-request"},
      {"a deadline that no integer can hold",
       get("/desk/x", {{"Toucandock-Deadline", "99999999999999999999"}}), 400,
       "malformed-request"},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      const http::Response response = handler.Serve(row.request);
      CHECK(response.status == row.status);
      CHECK(ProblemOf(response) == absl::StrCat(row.kind, " not-run"));
      CHECK(*http::FindHeader(response.headers, "Content-Type") ==
            "application/problem+json");
      CHECK(requests == 0);
    }
  }

  SUBCASE("the limits themselves are allowed") {
    CHECK(handler
              .Serve(get("/desk/x", {{"Idempotency-Key", std::string(128, 'i')},
                                     {"Toucandock-Deadline", "3600000"}}))
              .status == 200);
    CHECK(
        handler
            .Serve(get("/board/x", {{"Toucandock-Key", std::string(512, 'k')}}))
            .status == 200);
  }

  SUBCASE("the host is stopping") {
    handler.stopping = true;
    CHECK(ProblemOf(handler.Serve(OrderRequest("order-1"))) ==
          "stopping not-run");
    CHECK(requests == 0);
  }

  SUBCASE("the attempt cannot be recorded until the deadline") {
    handler.can_record = false;
    const http::Response response = handler.Serve(OrderRequest("order-1"));
    CHECK(response.status >= 500);
    CHECK(ProblemMember(response, "outcome") == "not-run");
    CHECK(requests == 0);

    SUBCASE("and is sent again later") {
      handler.can_record = true;
      CHECK(handler.Serve(OrderRequest("order-1")).status == 200);
    }
  }
}

// A caller that could set the fence or the unit would bypass the checks of the
// router and the target.
TEST_CASE("control headers must not pass through in either direction") {
  std::string seen;
  RawTarget target([&](RawConnection& it) {
    seen = it.ReadRequest();
    it.Write(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nToucandock-Fence: 9\r\n"
        "toucandock-outcome: x\r\nConnection: close\r\nKeep-Alive: 5\r\n"
        "X-Kept: yes\r\n\r\ngood");
  });
  HandlerFixture handler({target.address()});
  const http::Response response =
      handler.Serve({.path = "/board/x",
                     .headers = {{"Toucandock-Key", "k"},
                                 {"Toucandock-Fence", "1000"},
                                 {"TOUCANDOCK-UNIT", "shard-9"},
                                 {"toucandock-anything", "x"},
                                 {"Connection", "close"},
                                 {"Transfer-Encoding", "chunked"},
                                 {"Proxy-Authorization", "secret"},
                                 {"X-Kept", "yes"}}});
  REQUIRE(response.status == 200);
  CHECK(response.body == "good");
  CHECK(absl::StrContains(seen, "\r\nToucandock-Fence: 77\r\n"));
  CHECK(absl::StrContains(seen, "\r\nToucandock-Unit: shard-0\r\n"));
  CHECK(absl::StrContains(seen, "\r\nX-Kept: yes\r\n"));
  for (const char* removed :
       {"1000", "shard-9", "anything", "secret", "close", "chunked"}) {
    CHECK_FALSE(absl::StrContains(seen, removed));
  }
  REQUIRE(response.headers.size() == 1);
  CHECK(response.headers[0].first == "X-Kept");
}

// A broken or late response leaves open whether the request ran. If it were
// reported as not run, the caller would repeat a request that ran; if a resend
// were sent to the target, the request would run twice.
TEST_CASE("a caller must learn the actual outcome of its request") {
  struct Row {
    const char* what;
    // Written by the target for each request; the target then closes the
    // connection.
    std::string answer;
    // Problem document of the non-idempotent request; blank when the response
    // is forwarded.
    const char* problem;
    // Problem document of its resend under the same id.
    const char* resend;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const Row rows[] = {
      {"the response is complete", kCompleteResponse, " ",
       "duplicate-request ran"},
      {"the target reports an error",
       "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\ngood", " ",
       "duplicate-request ran"},
      {"no response", "", "outcome-unknown unknown",
       "duplicate-request unknown"},
      {"only an interim response", "HTTP/1.1 100 Continue\r\n\r\n",
       "outcome-unknown unknown", "duplicate-request unknown"},
      {"the response is truncated", ok + "Content-Length: 4\r\n\r\ngo",
       "answer-incomplete ran", "duplicate-request ran"},
      {"the response has no length", ok + "\r\ngood", "answer-incomplete ran",
       "duplicate-request ran"},
      {"the response is too large",
       absl::StrCat(ok, "Content-Length: 1001\r\n\r\n",
                    std::string(1'001, 'x')),
       "answer-too-large ran", "duplicate-request ran"},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      std::atomic<int> requests = 0;
      RawTarget target([&](RawConnection& it) {
        it.ReadRequest();
        ++requests;
        it.Write(row.answer);
      });
      HandlerFixture handler({target.address()});
      const http::Response response = handler.Serve(OrderRequest("order-1"));
      CHECK(ProblemOf(response) == row.problem);
      CHECK(ProblemOf(handler.Serve(OrderRequest("order-1"))) == row.resend);
      CHECK(requests == 1);
    }
  }

  SUBCASE("the response is late") {
    RawTarget target([](RawConnection& it) {
      it.ReadRequest();
      it.IsClosedWithin(std::chrono::seconds(2));
      it.Write(kCompleteResponse);
    });
    HandlerFixture handler({target.address()});
    CHECK(ProblemOf(handler.Serve(OrderRequest("order-1"))) ==
          "outcome-unknown unknown");
    CHECK(ProblemOf(handler.Serve(OrderRequest("order-1"))) ==
          "duplicate-request unknown");
  }

  SUBCASE("the id is reused for another request") {
    RawTarget target(Always(kCompleteResponse));
    HandlerFixture handler({target.address()});
    REQUIRE(handler.Serve(OrderRequest("order-1")).status == 200);
    http::Request other = OrderRequest("order-1");
    other.body += " changed";
    CHECK(ProblemOf(handler.Serve(other)) == "malformed-request not-run");
  }

  SUBCASE("the target refuses it as not run") {
    std::atomic<bool> serves = false;
    RawTarget target([&](RawConnection& it) {
      it.ReadRequest();
      it.Write(serves ? kCompleteResponse
                      : "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
                        "Toucandock-Outcome: not-run\r\n\r\n");
    });
    HandlerFixture handler({target.address()});
    CHECK(ProblemMember(handler.Serve(OrderRequest("order-1")), "outcome") ==
          "not-run");

    SUBCASE("and the caller may send it again") {
      serves = true;
      CHECK(handler.Serve(OrderRequest("order-1")).status == 200);
    }
  }

  SUBCASE("the target does not accept connections") {
    RawTarget target(Always(kCompleteResponse));
    target.Stop();
    HandlerFixture handler({target.address()});
    CHECK(ProblemMember(handler.Serve(OrderRequest("order-1")), "outcome") ==
          "not-run");
  }
}

// A waiting request uses parts of the routing snapshot. Without copies of its
// own, it would read freed memory after the snapshot is replaced.
TEST_CASE("the configuration may be replaced while a request waits") {
  RawTarget lost(Always(kCompleteResponse));
  lost.Stop();
  RawTarget target(Always(kCompleteResponse));
  HandlerFixture handler({lost.address()});
  std::thread replace([&] {
    for (int n = 0; n < 20; ++n) {
      std::this_thread::sleep_for(milliseconds(5));
      auto next = std::make_shared<core::routing::RoutingSnapshot>(
          *handler.view().snapshot());
      next->sequence = n;
      if (n == 19) {
        next->services["desk"].targets[0].address = target.address();
      }
      handler.view().Publish(std::move(next));
    }
  });
  CHECK(handler.Serve(OrderRequest("order-1")).status == 200);
  replace.join();
}

// Without the limit, retries would send the request to one target after another
// and crash them all.
TEST_CASE("a request that crashes targets must be stopped") {
  std::atomic<int> crashes = 0;
  const auto crash = [&](RawConnection& it) {
    const std::string request = it.ReadRequest();
    if (absl::StrContains(request, "poison")) {
      ++crashes;
      it.Reset();
    } else {
      it.Write(kCompleteResponse);
    }
  };
  RawTarget first(crash);
  RawTarget second(crash);
  RawTarget third(crash);
  HandlerFixture handler({first.address(), second.address(), third.address()});
  const http::Request poison = {.path = "/desk/poison",
                                .headers = {{"Toucandock-Deadline", "2000"}}};
  const http::Response response = handler.Serve(poison);
  CHECK(ProblemOf(response) == "poison-request unknown");
  CHECK(crashes == 2);

  SUBCASE("its resends are refused as not run") {
    CHECK(ProblemOf(handler.Serve(poison)) == "poison-request not-run");
    CHECK(crashes == 2);
  }

  SUBCASE("other requests are served") {
    CHECK(handler.Serve({.path = "/desk/other"}).status == 200);
    CHECK(handler.Serve(OrderRequest("order-1")).status == 200);
  }
}

// The target would otherwise work on a request whose response nobody reads.
TEST_CASE("a request whose caller went away must not occupy its target") {
  std::atomic<bool> cancelled = false;
  RawTarget target([&](RawConnection& it) {
    it.ReadRequest();
    cancelled = it.IsClosedWithin(std::chrono::seconds(5));
  });
  HandlerFixture handler({target.address()});
  auto server = http::Server::Start(
      {}, [&](const http::Request& it) { return handler.Serve(it); });
  REQUIRE(server.ok());
  http::Client caller;
  const http::ExchangeResult result =
      caller.Exchange((*server)->address(), {.path = "/desk/slow"},
                      {.timeout = milliseconds(100)});
  CHECK(result.failure == http::Failure::kTimeout);
  for (int n = 0; n < 100 && !cancelled; ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(cancelled);
}

// The handler sees a truncated body when the server's limit is exceeded. It
// must refuse the request instead of sending the target a part of it.
TEST_CASE("the server must not truncate request bodies") {
  RawTarget target(Always(kCompleteResponse));
  HandlerFixture handler({target.address()});
  auto server = http::Server::Start(
      {.max_body = 100},
      [&](const http::Request& it) { return handler.Serve(it); });
  REQUIRE(server.ok());
  http::Client caller;
  const auto post = [&](size_t size) {
    return caller
        .Exchange((*server)->address(),
                  {.method = "POST",
                   .path = "/desk/orders",
                   .body = std::string(size, 'x')},
                  {})
        .response;
  };
  CHECK(post(100).status == 200);
  const http::Response response = post(101);
  CHECK(response.status == 413);
  CHECK(ProblemOf(response) == "request-too-large not-run");
}

}  // namespace toucandock::proxy
