#include "core/keyspace/ownership_delta.h"

#include <algorithm>

namespace toucandock::core::keyspace {

OwnershipDelta ComputeDelta(const OwnershipTable& base,
                            const OwnershipTable& next) {
  OwnershipDelta delta{.base = base.offset, .changes = next};
  std::erase_if(delta.changes.assignments, [&base](const Assignment& it) {
    const Assignment* earlier = FindAssignment(base, it.keys.first);
    return earlier != nullptr && *earlier == it;
  });
  return delta;
}

// Returns nothing if the delta was computed for another table, or if the result
// does not cover all keys.
std::optional<OwnershipTable> ApplyDelta(const OwnershipTable& base,
                                         const OwnershipDelta& delta) {
  if (base.offset != delta.base || base.service != delta.changes.service) {
    return std::nullopt;
  }
  OwnershipTable table = delta.changes;
  for (const Assignment& it : base.assignments) {
    const bool replaced = std::any_of(
        delta.changes.assignments.begin(), delta.changes.assignments.end(),
        [&it](const Assignment& changed) {
          return changed.keys.first <= it.keys.last &&
                 it.keys.first <= changed.keys.last;
        });
    if (!replaced) {
      table.assignments.push_back(it);
    }
  }
  std::sort(table.assignments.begin(), table.assignments.end(),
            [](const Assignment& a, const Assignment& b) {
              return a.keys.first < b.keys.first;
            });
  if (!CoversAllKeys(table.assignments)) {
    return std::nullopt;
  }
  return table;
}

}  // namespace toucandock::core::keyspace
