#include "replay/replay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "codec/event_json.h"
#include "replay/trace_writer.h"
#include "support/files.h"

namespace toucandock::replay {
namespace {

namespace fs = std::filesystem;

std::string HandWrittenTrace() {
  return support::ReadSource("tests/traces/member-with-delayed-replies.jsonl");
}

absl::StatusOr<ReplayResult> ReplayText(const std::string& text) {
  std::istringstream lines(text);
  return Replay("trace", lines);
}

// Replays every trace of a folder and returns their number.
size_t ReplayFolder(const char* folder) {
  size_t traces = 0;
  for (const fs::directory_entry& it :
       fs::directory_iterator(fs::path(TOUCANDOCK_SOURCE_DIR) / folder)) {
    if (it.path().extension() != ".jsonl") {
      continue;
    }
    ++traces;
    const std::string name = it.path().filename();
    CAPTURE(name);
    std::ifstream lines(it.path());
    const auto result = Replay(name, lines);
    REQUIRE_MESSAGE(result.ok(), result.status().message());
    CHECK(absl::StrJoin(result->failures, "\n") == "");
    CHECK(result->expectations > 0);
  }
  return traces;
}

}  // namespace

// A trace of a leader contains the record ids that were generated. When the
// leader writes other records than before, the trace has to be recorded again
// (scripts/record-traces).
TEST_CASE("a change of the core must not change the outcome of a known trace") {
  CHECK(ReplayFolder("tests/traces") >= 3);
}

TEST_CASE("a member must become a candidate when its leader stops replying") {
  CHECK(ReplayFolder("tests/traces/elections") == 1);
}

TEST_CASE("a replay must notice an outcome that differs, and name its line") {
  std::string text = HandWrittenTrace();
  const std::string right = "\"has_lease\":true,\"owners\"";
  const size_t n = text.find(right);
  REQUIRE(n != std::string::npos);
  text.replace(n, right.size(), "\"has_lease\":false,\"owners\"");
  const auto result = ReplayText(text);
  REQUIRE(result.ok());
  REQUIRE(result->failures.size() == 1);
  CHECK(result->failures[0] == "trace:7: has_lease is true, expected false");
}

// A line that is skipped or misread would replay other events than were
// recorded.
TEST_CASE("a damaged trace must be refused with its line") {
  const std::string good = HandWrittenTrace();
  const std::string options = good.substr(0, good.find('\n') + 1);
  struct Case {
    const char* what;
    std::string text;
    const char* error;
  };
  const std::vector<Case> cases = {
      {"empty", "", "trace:1: the trace is empty"},
      {"no options", "{\"type\":\"notify\",\"at\":1}\n",
       "trace:1: the first line must hold the options"},
      {"options twice", options + options,
       "trace:2: a second line with options"},
      {"a cut line", options + "{\"type\":\"nud", "trace:2: not JSON"},
      {"no type", options + "{}", "trace:2: 'type' is not a string"},
      {"an unknown type", options + "{\"type\":\"x\"}",
       "trace:2: unknown line type 'x'"},
      {"no time", options + "{\"type\":\"notify\"}",
       "trace:2: 'at' is not a number of nanoseconds"},
      {"time that goes back",
       options +
           "{\"type\":\"notify\",\"at\":2}\n{\"type\":\"notify\",\"at\":1}",
       "trace:3: the time is before"},
      {"a misspelt outcome",
       options + "{\"type\":\"expect\",\"has_leese\":true}",
       "trace:2: unknown expectation 'has_leese'"},
      {"an outcome of a wrong type",
       options + "{\"type\":\"expect\",\"voters\":\"2\"}",
       "trace:2: 'voters' is not a whole number"},
      {"a list within a list", options + std::string(40, '['),
       "trace:2: not JSON"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.what);
    const auto result = ReplayText(it.text);
    REQUIRE_FALSE(result.ok());
    CHECK_MESSAGE(absl::StartsWith(result.status().message(), it.error),
                  result.status().message());
  }
}

// The trace of a host that runs for long would otherwise fill the disk.
TEST_CASE("a trace file must not grow past its limit") {
  const support::TemporaryFile file("");
  TraceWriter writer(file.path(), 100);
  const codec::TraceLine line =
      codec::TracedEvent{core::TimePoint(), core::control::NotifyEvent{}};
  for (int n = 0; n < 20; ++n) {
    writer.Write(line);
  }
  CHECK_FALSE(writer.is_open());
  const std::string text = support::ReadText(file.path());
  CHECK(text.size() <= 100);
  CHECK(absl::EndsWith(text, "}\n"));

  SUBCASE("a file that cannot be written ends the trace at once") {
    TraceWriter nowhere("/nonexistent/trace", 100);
    CHECK_FALSE(nowhere.is_open());
    nowhere.Write(line);
  }
}

}  // namespace toucandock::replay
