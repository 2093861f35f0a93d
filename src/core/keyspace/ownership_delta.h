#ifndef TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_DELTA_H_
#define TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_DELTA_H_

#include <optional>
#include <vector>

#include "core/keyspace/ownership.h"

namespace toucandock::core::keyspace {

// What a later table of a service changes in an earlier one. A move touches a
// few ranges of hundreds, and a table goes to every host of the fleet.
struct OwnershipDelta {
  // Offset of the table that it applies to.
  Offset base = 0;
  // The later table with the ranges that the earlier one does not have.
  OwnershipTable changes;
};

OwnershipDelta ComputeDelta(const OwnershipTable& base,
                            const OwnershipTable& next);

std::optional<OwnershipTable> ApplyDelta(const OwnershipTable& base,
                                         const OwnershipDelta& delta);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_DELTA_H_
