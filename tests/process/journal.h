#ifndef TOUCANDOCK_PROCESS_JOURNAL_H_
#define TOUCANDOCK_PROCESS_JOURNAL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process/load.h"

namespace toucandock::process {

// One request that a target started, as its journal says.
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
  // Without fences, a request that is already in the socket of a frozen target
  // runs when the target resumes (design 3.4). Such a start counts as a fault
  // only if the caller sent the request after the next owner's first start.
  bool checks_fences = true;
};

std::vector<JournalEntry> ReadJournals(Fleet& fleet);

std::vector<std::string> FindFaults(const std::vector<JournalEntry>& journal,
                                    const std::vector<CallerRecord>& records,
                                    const JournalRules& rules = {});

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_JOURNAL_H_
