#include "process/journal.h"

#include <doctest/doctest.h>

namespace toucandock::process {
namespace {

std::chrono::steady_clock::time_point At(int ms) {
  return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms));
}

JournalEntry Entry(const char* target, int at, std::uint64_t fence, int id) {
  return {.started_at = At(at),
          .target = target,
          .method = "POST",
          .key = "k",
          .unit = "callboard/1",
          .fence = fence,
          .request_id = std::to_string(id)};
}

CallerRecord Record(int id, ReportedOutcome reported_outcome) {
  const std::string name = std::to_string(id);
  return {.method = "POST",
          .key = "k",
          .request_id = name,
          .sent_at = At(0),
          .reported_outcome = reported_outcome,
          .answered_key = "k",
          .answered_id = name,
          .answered_body = name};
}

}  // namespace

TEST_CASE("a broken rule does not pass the journal checker unnoticed") {
  std::vector<JournalEntry> journal = {Entry("a", 10, 1, 1),
                                       Entry("b", 20, 2, 2)};
  std::vector<CallerRecord> records = {Record(1, ReportedOutcome::kAnswer),
                                       Record(2, ReportedOutcome::kAnswer)};
  REQUIRE(FindFaults(journal, records).empty());

  SUBCASE("an earlier owner starts a request after the next owner did") {
    journal.push_back(Entry("a", 30, 1, 3));
    CHECK(FindFaults(journal, records).size() == 1);
    SUBCASE("also when targets check no fences and it was sent afterwards") {
      records.push_back(Record(3, ReportedOutcome::kUnknown));
      records.back().sent_at = At(25);
      CHECK(FindFaults(journal, records, {.checks_fences = false}).size() == 1);
    }
    SUBCASE("but not when it was in a frozen target's socket before") {
      records.push_back(Record(3, ReportedOutcome::kUnknown));
      records.back().sent_at = At(5);
      CHECK(FindFaults(journal, records, {.checks_fences = false}).empty());
    }
  }
  SUBCASE("two targets run requests under one fence") {
    journal.push_back(Entry("c", 21, 2, 3));
    CHECK(FindFaults(journal, records).size() == 1);
  }
  SUBCASE("a request runs twice") {
    journal.push_back(Entry("b", 21, 2, 2));
    CHECK(FindFaults(journal, records).size() == 1);
  }
  SUBCASE("a request that was answered as not run has run") {
    records[0].reported_outcome = ReportedOutcome::kNotRun;
    CHECK(FindFaults(journal, records).size() == 1);
  }
  SUBCASE("a request that was answered has not run") {
    records.push_back(Record(3, ReportedOutcome::kAnswer));
    CHECK(FindFaults(journal, records).size() == 1);
  }
  SUBCASE("a caller gets another request's answer") {
    records[0].answered_id = records[1].request_id;
    CHECK(FindFaults(journal, records).size() == 1);
  }
}

}  // namespace toucandock::process
