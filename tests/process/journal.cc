#include "process/journal.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace toucandock::process {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;

long long Milliseconds(TimePoint at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

std::string Describe(const JournalEntry& entry) {
  return absl::StrCat("unit ", entry.unit, ": ", entry.method, " ",
                      entry.request_id, " on ", entry.target, " with fence ",
                      entry.fence, " at ", Milliseconds(entry.started_at));
}

std::map<std::string, TimePoint> SendTimes(
    const std::vector<CallerRecord>& records) {
  std::map<std::string, TimePoint> times;
  for (const CallerRecord& it : records) {
    times[it.request_id] = it.sent_at;
  }
  return times;
}

// Only one target may run requests of a unit under a given fence, and no
// request may start under it after the first start under a higher fence.
void CheckOwnership(const std::vector<JournalEntry>& journal,
                    const std::vector<CallerRecord>& records,
                    const JournalRules& rules,
                    std::vector<std::string>& faults) {
  std::map<std::string, std::map<std::uint64_t, std::vector<JournalEntry>>>
      units;
  for (const JournalEntry& it : journal) {
    units[it.unit][it.fence].push_back(it);
  }
  const std::map<std::string, TimePoint> sent = SendTimes(records);
  const auto may_be_late = [&](const JournalEntry& entry, TimePoint limit) {
    const auto it = sent.find(entry.request_id);
    return !rules.checks_fences && it != sent.end() && it->second < limit;
  };
  for (const auto& [unit, fences] : units) {
    const JournalEntry* next = nullptr;
    for (auto it = fences.rbegin(); it != fences.rend(); ++it) {
      const std::vector<JournalEntry>& entries = it->second;
      for (const JournalEntry& entry : entries) {
        if (entry.target != entries.front().target) {
          faults.push_back(
              absl::StrCat("two owners under one fence: ", Describe(entry),
                           "; ", Describe(entries.front())));
        }
        if (next != nullptr && entry.started_at > next->started_at &&
            !may_be_late(entry, next->started_at)) {
          faults.push_back(
              absl::StrCat("overlapping ownership: ", Describe(entry),
                           " after ", Describe(*next)));
        }
      }
      const auto first =
          std::min_element(entries.begin(), entries.end(),
                           [](const JournalEntry& a, const JournalEntry& b) {
                             return a.started_at < b.started_at;
                           });
      if (next == nullptr || first->started_at < next->started_at) {
        next = &*first;
      }
    }
  }
}

void CheckAnswers(const std::vector<JournalEntry>& journal,
                  const std::vector<CallerRecord>& records,
                  std::vector<std::string>& faults) {
  std::map<std::string, std::vector<const JournalEntry*>> started;
  for (const JournalEntry& it : journal) {
    started[it.request_id].push_back(&it);
  }
  for (const CallerRecord& it : records) {
    const std::vector<const JournalEntry*>& entries = started[it.request_id];
    const std::string name = absl::StrCat(it.method, " ", it.request_id);
    if (it.method == "POST" && entries.size() > 1) {
      faults.push_back(absl::StrCat("ran ", entries.size(), " times: ", name));
    }
    for (const JournalEntry* entry : entries) {
      if (entry->key != it.key) {
        faults.push_back(
            absl::StrCat("ran with another key: ", Describe(*entry)));
      }
    }
    switch (it.reported_outcome) {
      case ReportedOutcome::kAnswer:
        if (it.answered_key != it.key || it.answered_id != it.request_id ||
            (it.method == "POST" && it.answered_body != it.request_id)) {
          faults.push_back(absl::StrCat(
              "wrong response: ", name, " got the response for key '",
              it.answered_key, "', id '", it.answered_id, "'"));
        }
        [[fallthrough]];
      case ReportedOutcome::kRan:
        if (entries.empty()) {
          faults.push_back(
              absl::StrCat("reported as run but did not run: ", name));
        }
        break;
      case ReportedOutcome::kNotRun:
      case ReportedOutcome::kNotConnected:
        if (!entries.empty()) {
          faults.push_back(absl::StrCat("reported as not run (", it.kind,
                                        ") but ran: ", Describe(*entries[0])));
        }
        break;
      case ReportedOutcome::kUnknown:
      case ReportedOutcome::kNothing:
        break;
    }
  }
}

}  // namespace

// Reads the files rather than asking the processes, since the files also
// contain the starts of killed processes.
std::vector<JournalEntry> ReadJournals(Fleet& fleet) {
  std::vector<JournalEntry> journal;
  for (size_t n = 0; n < fleet.target_count(); ++n) {
    std::ifstream stream(fleet.target(n).journal_file);
    std::string line;
    while (std::getline(stream, line)) {
      const auto value = codec::ParseJson(line);
      // The last line of a killed process may be incomplete.
      if (!value.ok() || (*value)["event"].asString() != "start") {
        continue;
      }
      JournalEntry entry = {.started_at = TimePoint(std::chrono::milliseconds(
                                (*value)["at_ms"].asUInt64())),
                            .target = (*value)["target"].asString(),
                            .instance = (*value)["instance"].asString(),
                            .method = (*value)["method"].asString(),
                            .key = (*value)["key"].asString(),
                            .unit = (*value)["unit"].asString(),
                            .request_id = (*value)["request_id"].asString()};
      (void)absl::SimpleAtoi((*value)["fence"].asString(), &entry.fence);
      journal.push_back(std::move(entry));
    }
  }
  return journal;
}

std::vector<std::string> FindFaults(const std::vector<JournalEntry>& journal,
                                    const std::vector<CallerRecord>& records,
                                    const JournalRules& rules) {
  std::vector<std::string> faults;
  CheckOwnership(journal, records, rules, faults);
  CheckAnswers(journal, records, faults);
  return faults;
}

}  // namespace toucandock::process
