#include "core/keyspace/ownership.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::keyspace {

const Assignment* FindAssignment(const OwnershipTable& table,
                                 std::uint32_t key) {
  const auto it = std::lower_bound(
      table.assignments.begin(), table.assignments.end(), key,
      [](const Assignment& a, std::uint32_t k) { return a.keys.last < k; });
  return it == table.assignments.end() || !it->keys.Contains(key) ? nullptr
                                                                  : &*it;
}

bool CoversAllKeys(const std::vector<Assignment>& assignments) {
  std::uint32_t next = 0;
  for (const Assignment& it : assignments) {
    if (it.keys.first != next || it.keys.last < it.keys.first) {
      return false;
    }
    next = it.keys.last + 1;
  }
  return next == kLastKey + 1;
}

// Merges neighbouring ranges that differ in nothing but their keys.
std::vector<Assignment> MergeNeighbours(std::vector<Assignment> assignments) {
  std::vector<Assignment> merged;
  for (Assignment& it : assignments) {
    if (!merged.empty() && merged.back().owner == it.owner &&
        merged.back().serving == it.serving &&
        merged.back().previous == it.previous) {
      merged.back().keys.last = it.keys.last;
    } else {
      merged.push_back(std::move(it));
    }
  }
  return merged;
}

}  // namespace toucandock::core::keyspace
