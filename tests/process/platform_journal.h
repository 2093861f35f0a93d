#ifndef TOUCANDOCK_PROCESS_PLATFORM_JOURNAL_H_
#define TOUCANDOCK_PROCESS_PLATFORM_JOURNAL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process/platform_load.h"

namespace toucandock::process {

enum class PlatformEvent { kListed, kDraining, kGrant, kRelease, kStart, kEnd };

// An event that a target wrote to its journal.
struct PlatformJournalEntry {
  std::chrono::steady_clock::time_point at;
  PlatformEvent event = PlatformEvent::kStart;
  std::string target;
  // Start time of the target's process, which identifies the instance.
  std::int64_t start_time_ms = 0;
  // Set for the start and the end of a request.
  std::string request_id;
  std::uint32_t key = 0;
  // Set for a grant or a release. For the start of a request it is the fence
  // under which the target holds the key, and 0 for a request without a key.
  // `first` and `last` are the range of keys of a grant or a release.
  std::uint64_t fence = 0;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  // Set for a grant.
  std::chrono::milliseconds lease{};
};

// A period in which the test injected a fault. Requests that overlap with it
// may be cut off or time out.
struct FaultInterval {
  std::chrono::steady_clock::time_point from;
  std::chrono::steady_clock::time_point to;
};

// Reads the journals of all targets in the order of time.
std::vector<PlatformJournalEntry> ReadPlatformJournals(PlatformFleet& fleet);

// Returns one line for each pair of targets that held a key at the same time
// for longer than the limit. Assumes that no target ended before its leases
// did.
std::vector<std::string> FindSharedKeys(
    const std::vector<PlatformJournalEntry>& journal,
    std::chrono::milliseconds limit);

// Compares what targets ran with what callers were told and returns one line
// for each violated guarantee.
std::vector<std::string> FindPlatformFaults(
    const std::vector<PlatformJournalEntry>& journal,
    const std::vector<PlatformRecord>& records,
    const std::vector<FaultInterval>& faults);

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_PLATFORM_JOURNAL_H_
