#ifndef TOUCANDOCK_PROCESS_JOURNAL_H_
#define TOUCANDOCK_PROCESS_JOURNAL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process/load.h"

namespace toucandock::process {

// A start of a request that a target wrote to its journal.
struct JournalEntry {
  std::chrono::steady_clock::time_point started_at;
  std::string target;
  std::string instance;
  std::string method;
  std::string key;
  std::string unit;
  std::uint64_t fence = 0;
  std::string request_id;
};

struct JournalRules {
  // A target that does not check fences runs a request that was already in its
  // socket when it froze as soon as it resumes (design 3.4). If this is false,
  // such a start is a fault only if the caller sent the request after the next
  // owner had started its first request.
  bool checks_fences = true;
};

// Reads the journals of all targets, including those of killed processes.
std::vector<JournalEntry> ReadJournals(Fleet& fleet);

// Compares what targets ran with what callers were told and returns one line
// for each violated rule: units with overlapping owners, requests that ran
// twice, and responses that contradict the journals.
std::vector<std::string> FindFaults(const std::vector<JournalEntry>& journal,
                                    const std::vector<CallerRecord>& records,
                                    const JournalRules& rules = {});

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_JOURNAL_H_
