#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace toucandock::docs {
namespace {

std::string PathOf(const std::string& name) {
  return absl::StrCat(TOUCANDOCK_SOURCE_DIR, "/", name);
}

std::vector<std::string> LinesOf(const std::string& path) {
  std::ifstream stream(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Returns the issues that KNOWN-RED.txt lists.
std::set<std::string> ListedIssues() {
  std::set<std::string> issues;
  for (const std::string& it : LinesOf(PathOf("KNOWN-RED.txt"))) {
    absl::string_view line = it;
    if (absl::ConsumePrefix(&line, "issue: ")) {
      issues.emplace(line);
    }
  }
  return issues;
}

// An open point is accounted for if its text says that the rules allow it, or
// if it names a listed issue.
bool IsAccountedFor(const std::string& text,
                    const std::set<std::string>& issues) {
  if (absl::StrContains(text, "allowed")) {
    return true;
  }
  for (const std::string& it : issues) {
    if (absl::StrContains(text, absl::StrCat("issue ", it, ")")) ||
        absl::StrContains(text, absl::StrCat("issue ", it, ";"))) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> CellsOf(const std::string& row) {
  std::vector<std::string> cells = absl::StrSplit(row, " | ");
  for (std::string& it : cells) {
    it = std::string(absl::StripAsciiWhitespace(it));
  }
  if (!cells.empty() && absl::EndsWith(cells.back(), "|")) {
    cells.back().pop_back();
    cells.back() = std::string(absl::StripAsciiWhitespace(cells.back()));
  }
  return cells;
}

// Returns the cells of table columns headed "Not proved", the items of lists
// under headings that end with "Not done" or "Open", and the lines that contain
// "hunts only" or "not proved:".
std::vector<std::string> OpenPoints(const std::string& path) {
  std::vector<std::string> points;
  size_t column = 0;
  bool in_list = false;
  for (const std::string& line : LinesOf(path)) {
    if (absl::StartsWith(line, "#")) {
      in_list =
          absl::EndsWith(line, "Not done") || absl::EndsWith(line, "Open");
      column = 0;
    }
    const bool is_row = absl::StartsWith(line, "|");
    const std::vector<std::string> cells =
        is_row ? CellsOf(line) : std::vector<std::string>();
    if (is_row && cells.back() == "Not proved") {
      column = cells.size();
    } else if (is_row && column > 0 && cells.size() >= column &&
               !absl::StartsWith(line, "|-") && !cells.back().empty()) {
      points.push_back(cells.back());
    }
    if (absl::StrContains(line, "hunts only") ||
        absl::StrContains(line, "not proved:")) {
      points.push_back(line);
    }
    if (in_list && absl::StartsWith(line, "- ")) {
      points.push_back(line);
    } else if (in_list && absl::StartsWith(line, "  ")) {
      points.back() += line;
    }
  }
  return points;
}

}  // namespace

// Guards against a guarantee that is known to be violated or untested and is
// mentioned only on a page, as happened with crashing requests (issue 16).
TEST_CASE("what the pages call open must have an issue or a reason") {
  const std::set<std::string> issues = ListedIssues();
  std::vector<std::string> pages = {PathOf("docs/proof.md"),
                                    PathOf("docs/platform.md")};
  for (const auto& it :
       std::filesystem::directory_iterator(PathOf("docs/incidents"))) {
    pages.push_back(it.path().string());
  }
  size_t points = 0;
  for (const std::string& page : pages) {
    for (const std::string& it : OpenPoints(page)) {
      CAPTURE(page);
      CAPTURE(it);
      CHECK(IsAccountedFor(it, issues));
      ++points;
    }
  }
  // Fails if the pages were not found or their format has changed.
  CHECK(points > 10);
}

}  // namespace toucandock::docs
