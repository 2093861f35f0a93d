#ifndef TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_H_
#define TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/discovery/target_directory.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::keyspace {

using discovery::TargetInstance;

// Keys of a keyed service are numbers up to this one.
inline constexpr std::uint32_t kLastKey = 65'535;

// Both ends are inclusive.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = kLastKey;

  bool Contains(std::uint32_t key) const { return first <= key && key <= last; }
  bool operator==(const KeyRange&) const = default;
};

struct Assignment {
  KeyRange keys;
  // An empty id means that no target can take the keys at present.
  TargetInstance owner;
  // The owner has confirmed its grant, so requests may be sent to it.
  bool serving = false;
  // Previous owners that may still hold the keys.
  std::vector<TargetInstance> previous;

  bool operator==(const Assignment&) const = default;
};

// Peer addresses of hosts ("IP:PORT"), sorted.
using HostList = std::vector<std::string>;

// The owners of the keys of one service, as last recorded on the store.
// Assignments are sorted by their keys and cover all of them.
struct OwnershipTable {
  std::string service;
  // The process that wrote the record and acts on it.
  std::string writer;
  // Address at which the writer accepts reports about the load of keys
  // ("IP:PORT").
  std::string report_address;
  // Position at which the record was written, which determines the order of all
  // records and of their fences. In a store that has come back from a copy, the
  // record may stand at the same offset of a later era.
  Offset offset = 0;
  std::vector<Assignment> assignments;
  // The other hosts, over which the writer counts reports of an outage, and
  // over which its successor counts the hosts that follow it. A writer without
  // such a list does not act while the store is unavailable.
  HostList hosts;
  // The lists of earlier writers that may still act.
  std::vector<HostList> earlier_hosts;
  // The writer took over in a later era of the store than that of the table
  // before, so records may have been lost and any target may hold any key.
  bool holders_unknown = false;
};

const Assignment* FindAssignment(const OwnershipTable& table,
                                 std::uint32_t key);

bool CoversAllKeys(const std::vector<Assignment>& assignments);

std::vector<Assignment> MergeNeighbours(std::vector<Assignment> assignments);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_H_
