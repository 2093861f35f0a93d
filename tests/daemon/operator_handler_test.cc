#include "daemon/operator_handler.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "codec/json.h"

namespace toucandock::daemon {
namespace {

using core::control::ControllerStatus;

std::string OwnerOf(const std::string& service,
                    const std::string& key,
                    std::string& unit) {
  if (service != "arkusz" || key.empty()) {
    return "";
  }
  unit = "arkusz/shard-1";
  return "arkusz/t1 with fence 9";
}

}  // namespace

TEST_CASE(
    "the operators' port must refuse wrong requests without side effects") {
  observe::DecisionHistory history(10);
  const observe::Metrics metrics;
  ControllerStatus status = {.host = "a",
                             .has_lease = true,
                             .log_available = true,
                             .config_version = 3,
                             .config_accepted = 3};
  bool stopping = false;
  int stops = 0;
  const OperatorHandler handler(history, metrics,
                                {.status = [&] { return status; },
                                 .config_text = [] { return "services:\n"; },
                                 .owner_of = OwnerOf,
                                 .is_stopping = [&] { return stopping; },
                                 .stop = [&] { ++stops; }});
  const auto get = [&](const char* path, const char* query = "") {
    return handler.Serve({.method = "GET", .path = path, .query = query});
  };

  SUBCASE("each known path is answered") {
    for (const char* path :
         {"/status", "/decisions", "/config", "/metrics", "/ready"}) {
      CAPTURE(path);
      CHECK(get(path).status == 200);
    }
    CHECK(handler.Serve({.method = "POST", .path = "/stop"}).status == 202);
    CHECK(stops == 1);
  }
  SUBCASE("wrong requests are refused with a problem document") {
    struct Case {
      const char* path;
      const char* query;
      int status;
      const char* kind;
    };
    for (const Case& it : std::vector<Case>{
             {"/", "", 404, "not-found"},
             {"/stop", "", 404, "not-found"},
             {"/status/x", "", 404, "not-found"},
             {"/decisions", "count=many", 400, "malformed-request"},
             {"/decisions", "count=-1", 400, "malformed-request"},
             {"/explain", "", 404, "unknown-service"},
             {"/explain", "service=nosuch&key=k", 404, "unknown-service"},
             {"/explain", "service=%zz&key", 404, "unknown-service"}}) {
      CAPTURE(it.path);
      CAPTURE(it.query);
      const http::Response response = get(it.path, it.query);
      CHECK(response.status == it.status);
      CHECK(absl::StrContains(response.body, it.kind));
      CHECK(stops == 0);
    }
  }
  SUBCASE("a host must not be ready when requests would be refused") {
    struct Case {
      const char* what;
      bool stopping;
      ControllerStatus status;
    };
    ControllerStatus no_lease = status;
    no_lease.has_lease = false;
    ControllerStatus no_config = status;
    no_config.config_version = no_config.config_accepted = 0;
    ControllerStatus unreadable = status;
    unreadable.config_accepted = 4;
    for (const Case& it : std::vector<Case>{
             {"stopping", true, status},
             {"no lease", false, no_lease},
             {"no configuration", false, no_config},
             {"an accepted text that it cannot read", false, unreadable}}) {
      CAPTURE(it.what);
      stopping = it.stopping;
      status = it.status;
      CHECK(get("/ready").status == 503);
    }
  }
  SUBCASE("a log outage alone must not make the host unready") {
    status.log_available = false;
    CHECK(get("/ready").status == 200);
    CHECK(absl::StrContains(get("/status").body, "the log cannot be read"));
  }
  SUBCASE("a host that saw no decision on a unit still explains its owner") {
    const char* query = "service=arkusz&key=12";
    CHECK(absl::StrContains(get("/explain", query).body,
                            "before this host's history begins"));
    history.Add({{}, "unit arkusz/shard-1 is served by t1", "planned move"});
    history.Add({{}, "unit arkusz/shard-12 is served by t2", "other"});
    const auto value = codec::ParseJson(get("/explain", query).body);
    REQUIRE(value.ok());
    REQUIRE((*value)["decisions"].size() == 1);
    CHECK((*value)["decisions"][0]["cause"] == "planned move");
  }
}

}  // namespace toucandock::daemon
