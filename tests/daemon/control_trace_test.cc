#include "daemon/control_trace.h"

#include <doctest/doctest.h>

#include <chrono>
#include <sstream>
#include <string>

#include "absl/strings/match.h"
#include "replay/replay.h"
#include "support/files.h"

namespace toucandock::daemon {

TEST_CASE(
    "a trace that a daemon writes must be replayable from its first line") {
  const support::TemporaryFile file("");
  settings::Settings settings;

  SUBCASE("with trace_file") {
    settings.trace_file = file.path();
    ControlTrace trace(settings);
    const auto on_event = trace.Start({.self = {.id = "a"}});
    REQUIRE(on_event);
    on_event(core::control::TickEvent{},
             core::TimePoint(std::chrono::seconds(5)));
    CHECK(trace.NewRecordId([] { return "r1"; })() == "r1");
    const std::string text = support::ReadText(file.path());
    CHECK(absl::StrContains(text, "{\"id\":\"r1\",\"type\":\"record_id\"}\n"));
    std::istringstream lines(text);
    const auto result = replay::Replay("t", lines);
    REQUIRE_MESSAGE(result.ok(), result.status().message());
    CHECK(result->events == 1);
    CHECK(result->status.host == "a");
  }
  SUBCASE(
      "without trace_file, nothing is written and ids are still generated") {
    ControlTrace trace(settings);
    CHECK_FALSE(trace.Start({.self = {.id = "a"}}));
    CHECK(trace.NewRecordId([] { return "r2"; })() == "r2");
  }
  SUBCASE("a file that cannot be written must not stop the control thread") {
    settings.trace_file = "/nonexistent/trace";
    ControlTrace trace(settings);
    const auto on_event = trace.Start({.self = {.id = "a"}});
    REQUIRE(on_event);
    on_event(core::control::StopEvent{}, core::TimePoint());
  }
}

}  // namespace toucandock::daemon
