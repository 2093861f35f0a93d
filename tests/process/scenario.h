#ifndef TOUCANDOCK_PROCESS_SCENARIO_H_
#define TOUCANDOCK_PROCESS_SCENARIO_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/journal.h"

namespace toucandock::process {

// Compares what the callers were told with what the targets ran. Any difference
// fails the test, and the first ones are printed.
inline void CheckAgainstJournals(Fleet& fleet,
                                 const std::vector<CallerRecord>& records,
                                 const JournalRules& rules = {}) {
  // A violated rule is usually violated many times, so a few lines are enough.
  constexpr size_t kShown = 5;
  const std::vector<std::string> faults =
      FindFaults(ReadJournals(fleet), records, rules);
  for (size_t n = 0; n < std::min(faults.size(), kShown); ++n) {
    MESSAGE(faults[n]);
  }
  CHECK(faults.empty());
}

inline std::string Describe(const CallerRecord& record) {
  constexpr const char* kOutcomeNames[] = {
      "answer", "ran", "not-run", "unknown", "not connected", "nothing"};
  return absl::StrCat(
      record.method, " ", record.request_id, ": ",
      kOutcomeNames[static_cast<size_t>(record.reported_outcome)], " ",
      record.kind, " after ",
      std::chrono::duration_cast<std::chrono::milliseconds>(record.answered_at -
                                                            record.sent_at)
          .count(),
      " ms");
}

// Checks that each record has one of the allowed outcomes.
inline void CheckOutcomes(const std::vector<CallerRecord>& records,
                          const std::vector<ReportedOutcome>& allowed) {
  constexpr size_t kShown = 5;
  size_t others = 0;
  for (const CallerRecord& it : records) {
    if (std::find(allowed.begin(), allowed.end(), it.reported_outcome) ==
            allowed.end() &&
        ++others <= kShown) {
      MESSAGE(Describe(it));
    }
  }
  CHECK(others == 0);
}

// Returns the requests that were sent through the host.
inline std::vector<CallerRecord> ThroughHost(
    const std::vector<CallerRecord>& records,
    size_t host) {
  std::vector<CallerRecord> result;
  for (const CallerRecord& it : records) {
    if (it.host == host) {
      result.push_back(it);
    }
  }
  return result;
}

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_SCENARIO_H_
