#include "process/platform_journal.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

// A draining target must get no new request after two seconds. Half a second is
// added for requests that are in flight on a busy machine.
constexpr milliseconds kDrainLimit{2'500};
// Besides the keys of all requests, every key at this distance is checked,
// since grants also concern keys without requests.
constexpr std::uint32_t kKeyStep = 97;
constexpr std::uint32_t kLastKey = 65'535;

std::optional<PlatformEvent> EventFromName(const std::string& name) {
  static const std::map<std::string, PlatformEvent> kEvents = {
      {"listed", PlatformEvent::kListed},
      {"draining", PlatformEvent::kDraining},
      {"grant", PlatformEvent::kGrant},
      {"release", PlatformEvent::kRelease},
      {"start", PlatformEvent::kStart},
      {"end", PlatformEvent::kEnd}};
  const auto it = kEvents.find(name);
  return it == kEvents.end() ? std::nullopt : std::optional(it->second);
}

std::string InstanceOf(const PlatformJournalEntry& it) {
  return absl::StrCat(it.target, "/", it.start_time_ms);
}

std::string Describe(const PlatformJournalEntry& it) {
  const auto at = std::chrono::duration_cast<std::chrono::microseconds>(
      it.at.time_since_epoch());
  return absl::StrCat(InstanceOf(it), " at ", at.count(), " us, fence ",
                      it.fence, ", ", it.request_id);
}

// Checks the grants and starts of one key, which are in the order of time: when
// the key moves to another instance, the fence must be higher.
void CheckKey(std::uint32_t key,
              const std::vector<PlatformJournalEntry>& journal,
              std::vector<std::string>& found) {
  const PlatformJournalEntry* highest = nullptr;
  const PlatformJournalEntry* holder = nullptr;
  for (const PlatformJournalEntry& it : journal) {
    if (it.event == PlatformEvent::kGrant && it.first <= key &&
        key <= it.last) {
      if (highest != nullptr && InstanceOf(*highest) != InstanceOf(it) &&
          it.fence <= highest->fence) {
        found.push_back(absl::StrCat("key ", key, " was granted with no higher",
                                     " fence: ", Describe(it), " after ",
                                     Describe(*highest)));
      }
      if (highest == nullptr || it.fence > highest->fence) {
        highest = &it;
      }
    }
    if (it.event != PlatformEvent::kStart || it.fence == 0 || it.key != key) {
      continue;
    }
    if (holder != nullptr && InstanceOf(*holder) != InstanceOf(it) &&
        it.fence <= holder->fence) {
      found.push_back(absl::StrCat("key ", key, " has two owners: ",
                                   Describe(it), " after ", Describe(*holder)));
    }
    holder = &it;
  }
}

void CheckOwners(const std::vector<PlatformJournalEntry>& journal,
                 std::vector<std::string>& found) {
  std::vector<std::uint32_t> keys;
  for (const PlatformJournalEntry& it : journal) {
    if (it.event == PlatformEvent::kStart && it.fence != 0) {
      keys.push_back(it.key);
    }
  }
  for (std::uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
    keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  for (const std::uint32_t key : keys) {
    CheckKey(key, journal, found);
  }
}

// A time in which an instance of a target held a key.
struct Hold {
  std::string instance;
  TimePoint from;
  TimePoint until;
};

// Returns the holds of one key. Grants that follow each other before a lease
// ends are one hold.
std::vector<Hold> HoldsOf(std::uint32_t key,
                          const std::vector<PlatformJournalEntry>& journal) {
  std::vector<Hold> holds;
  std::map<std::string, size_t> last_holds;
  for (const PlatformJournalEntry& it : journal) {
    const bool is_grant = it.event == PlatformEvent::kGrant;
    if ((!is_grant && it.event != PlatformEvent::kRelease) || key < it.first ||
        it.last < key) {
      continue;
    }
    const std::string instance = InstanceOf(it);
    const auto last = last_holds.find(instance);
    const bool holds_key =
        last != last_holds.end() && holds[last->second].until > it.at;
    if (is_grant && !holds_key) {
      last_holds[instance] = holds.size();
      holds.push_back({.instance = instance, .from = it.at});
    }
    if (is_grant || holds_key) {
      holds[last_holds[instance]].until = is_grant ? it.at + it.lease : it.at;
    }
  }
  return holds;
}

bool Overlaps(const FaultInterval& fault, TimePoint from, TimePoint to) {
  return fault.from <= to && from <= fault.to;
}

void CheckRecord(const PlatformRecord& record,
                 const std::vector<const PlatformJournalEntry*>& starts,
                 const std::vector<FaultInterval>& faults,
                 std::vector<std::string>& found) {
  if (!record.idempotent && starts.size() > 1) {
    found.push_back(absl::StrCat(record.request_id, " ran ", starts.size(),
                                 " times: ", Describe(*starts[0]), "; ",
                                 Describe(*starts[1])));
  }
  const bool excused = std::any_of(
      faults.begin(), faults.end(), [&record](const FaultInterval& it) {
        return Overlaps(it, record.sent_at, record.answered_at);
      });
  switch (record.reported_outcome) {
    case PlatformOutcome::kAnswer: {
      const std::string expected = absl::StrCat(" ", record.request_id, " ");
      if (!absl::StrContains(record.body, expected)) {
        found.push_back(absl::StrCat(record.request_id,
                                     " got a wrong response: ", record.body));
      }
      if (starts.empty()) {
        found.push_back(
            absl::StrCat(record.request_id, " got a response but did not run"));
      }
      break;
    }
    case PlatformOutcome::kNotRun:
    case PlatformOutcome::kNotConnected:
      // An idempotent request may be reported as not run although it ran. This
      // does no harm, since it may run again.
      if (!starts.empty() && !record.idempotent) {
        found.push_back(absl::StrCat(record.request_id, " was reported as not",
                                     " run (", record.status,
                                     ") but ran: ", Describe(*starts[0])));
      }
      break;
    case PlatformOutcome::kCut:
      if (!starts.empty() && !excused) {
        found.push_back(absl::StrCat(
            record.request_id, " ran and was cut off: ", Describe(*starts[0])));
      }
      break;
    case PlatformOutcome::kNoAnswer:
      if (!excused) {
        found.push_back(
            absl::StrCat(record.request_id, " got no response in time"));
      }
      break;
    case PlatformOutcome::kFailed:
      break;
  }
}

void CheckDraining(const std::vector<PlatformJournalEntry>& journal,
                   const std::vector<FaultInterval>& faults,
                   std::vector<std::string>& found) {
  std::map<std::string, TimePoint> draining;
  for (const PlatformJournalEntry& it : journal) {
    if (it.event == PlatformEvent::kDraining) {
      draining.emplace(InstanceOf(it), it.at);
    }
    const auto since = draining.find(InstanceOf(it));
    if (it.event != PlatformEvent::kStart || since == draining.end() ||
        it.at - since->second <= kDrainLimit) {
      continue;
    }
    const bool excused = std::any_of(
        faults.begin(), faults.end(), [&](const FaultInterval& fault) {
          return Overlaps(fault, since->second, it.at);
        });
    if (!excused) {
      found.push_back(
          absl::StrCat("a draining target got a request: ", Describe(it)));
    }
  }
}

}  // namespace

// Reads the files rather than asking the processes, since the files also
// contain the events of killed processes.
std::vector<PlatformJournalEntry> ReadPlatformJournals(PlatformFleet& fleet) {
  std::vector<PlatformJournalEntry> journal;
  for (size_t n = 0; n < fleet.target_count(); ++n) {
    std::ifstream stream(fleet.target(n).journal_file);
    std::string line;
    while (std::getline(stream, line)) {
      const auto value = codec::ParseJson(line);
      // The last line of a killed process may be incomplete.
      const auto event = value.ok()
                             ? EventFromName((*value)["event"].asString())
                             : std::nullopt;
      if (!event) {
        continue;
      }
      PlatformJournalEntry entry{
          .at =
              TimePoint(std::chrono::microseconds((*value)["at_us"].asInt64())),
          .event = *event,
          .target = (*value)["target"].asString(),
          .start_time_ms = (*value)["born"].asInt64(),
          .request_id = (*value)["request_id"].asString()};
      // Members that an event does not have remain zero.
      (void)absl::SimpleAtoi((*value)["key"].asString(), &entry.key);
      (void)absl::SimpleAtoi((*value)["fence"].asString(), &entry.fence);
      (void)absl::SimpleAtoi((*value)["first"].asString(), &entry.first);
      (void)absl::SimpleAtoi((*value)["last"].asString(), &entry.last);
      std::int64_t lease_ms = 0;
      (void)absl::SimpleAtoi((*value)["lease_ms"].asString(), &lease_ms);
      entry.lease = milliseconds(lease_ms);
      journal.push_back(std::move(entry));
    }
  }
  std::stable_sort(journal.begin(), journal.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return journal;
}

std::vector<std::string> FindSharedKeys(
    const std::vector<PlatformJournalEntry>& journal,
    milliseconds limit) {
  std::vector<std::string> found;
  for (std::uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
    const std::vector<Hold> holds = HoldsOf(key, journal);
    for (size_t n = 0; n < holds.size(); ++n) {
      for (size_t m = n + 1; m < holds.size(); ++m) {
        const auto shared = std::chrono::duration_cast<milliseconds>(
            std::min(holds[n].until, holds[m].until) -
            std::max(holds[n].from, holds[m].from));
        if (holds[n].instance != holds[m].instance && shared > limit) {
          found.push_back(absl::StrCat(
              "key ", key, " was held by ", holds[n].instance, " and ",
              holds[m].instance, " for ", shared.count(), " ms"));
        }
      }
    }
  }
  return found;
}

std::vector<std::string> FindPlatformFaults(
    const std::vector<PlatformJournalEntry>& journal,
    const std::vector<PlatformRecord>& records,
    const std::vector<FaultInterval>& faults) {
  std::vector<std::string> found;
  CheckOwners(journal, found);
  CheckDraining(journal, faults, found);
  std::map<std::string, std::vector<const PlatformJournalEntry*>> starts;
  for (const PlatformJournalEntry& it : journal) {
    if (it.event == PlatformEvent::kStart) {
      starts[it.request_id].push_back(&it);
    }
  }
  for (const PlatformRecord& it : records) {
    CheckRecord(it, starts[it.request_id], faults, found);
  }
  return found;
}

}  // namespace toucandock::process
