#ifndef TOUCANDOCK_PROCESS_PLATFORM_JOURNAL_H_
#define TOUCANDOCK_PROCESS_PLATFORM_JOURNAL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process/platform_load.h"

namespace toucandock::process {

enum class PlatformEvent { kListed, kDraining, kGrant, kRelease, kStart, kEnd };

// One line of a target's journal.
struct PlatformJournalEntry {
  std::chrono::steady_clock::time_point at;
  PlatformEvent event = PlatformEvent::kStart;
  std::string target;
  // Start of the target's process.
  std::int64_t start_time_ms = 0;
  // Of a start or an end.
  std::string request_id;
  std::uint32_t key = 0;
  // Of a grant or a release; of a start, the fence under which the key is held.
  std::uint64_t fence = 0;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
};

// A time in which something was broken on purpose.
struct FaultInterval {
  std::chrono::steady_clock::time_point from;
  std::chrono::steady_clock::time_point to;
};

std::vector<PlatformJournalEntry> ReadPlatformJournals(PlatformFleet& fleet);

// Returns one line for each broken promise.
std::vector<std::string> FindPlatformFaults(
    const std::vector<PlatformJournalEntry>& journal,
    const std::vector<PlatformRecord>& records,
    const std::vector<FaultInterval>& faults);

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_PLATFORM_JOURNAL_H_
