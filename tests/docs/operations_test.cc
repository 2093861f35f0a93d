#include <doctest/doctest.h>

#include <filesystem>
#include <set>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "cli/commands.h"
#include "core/error_kind.h"
#include "support/files.h"

namespace toucandock {
namespace {

namespace fs = std::filesystem;

// Returns all string literals of the source that look like the name of a
// metric.
std::set<std::string> MetricNames() {
  std::set<std::string> names;
  const std::string start = "\"toucandock_";
  for (const auto& it : fs::recursive_directory_iterator(
           fs::path(TOUCANDOCK_SOURCE_DIR) / "src")) {
    if (it.path().extension() != ".cc") {
      continue;
    }
    const std::string text = support::ReadText(it.path());
    for (size_t n = text.find(start); n != std::string::npos;
         n = text.find(start, n + 1)) {
      names.insert(text.substr(n + 1, text.find('"', n + 1) - n - 1));
    }
  }
  return names;
}

}  // namespace

// Guards against an error, metric or command that is added to the code but not
// to the operators' page.
TEST_CASE("operators must find everything that they can see on their page") {
  const std::string page = support::ReadSource("docs/OPERATIONS.md");

  SUBCASE("each refusal, with what the table of errors says") {
    for (int n = 0; n <= static_cast<int>(core::ErrorKind::kInternal); ++n) {
      const core::ErrorAnswer& it =
          core::AnswerFor(static_cast<core::ErrorKind>(n));
      const std::string row =
          absl::StrCat("\n| `", it.name, "` | ", it.http_status, " | ",
                       core::ToString(it.outcome), " | ",
                       it.retriable ? "yes" : "no", " | ", it.exit_code, " | ");
      CHECK_MESSAGE(absl::StrContains(page, row), row);
    }
  }
  SUBCASE("each metric, with a row of its own") {
    const std::set<std::string> names = MetricNames();
    CHECK(names.size() >= 10);
    for (const std::string& name : names) {
      CHECK_MESSAGE(
          absl::StrContains(page, absl::StrCat("\n| `", name, "` | ")), name);
    }
  }
  SUBCASE("each command that changes something or shows the state") {
    for (const cli::Command& it : cli::AllCommands()) {
      const bool shown =
          absl::StrContains(page, absl::StrCat("toucandock ", it.name)) ||
          absl::string_view(it.name) == "replay";
      CHECK_MESSAGE(shown, it.name);
    }
  }
}

TEST_CASE("the brief's words must stay mapped to the terms of the field") {
  const std::string page = support::ReadSource("docs/glossary.md");
  for (const char* word :
       {"host, entry host", "failure domain", "caller", "target", "unit",
        "fence", "grant", "directive", "leader", "serving lease", "ballot",
        "shard", "settle", "reform", "poison request"}) {
    CHECK_MESSAGE(absl::StrContains(page, absl::StrCat("\n| ", word, " | ")),
                  word);
  }
}

}  // namespace toucandock
