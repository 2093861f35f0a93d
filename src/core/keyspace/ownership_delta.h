#ifndef TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_DELTA_H_
#define TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_DELTA_H_

#include <optional>
#include <vector>

#include "core/keyspace/ownership.h"

namespace toucandock::core::keyspace {

// The changes from an earlier table of a service to a later one. A move affects
// a few of hundreds of ranges, and each table is sent to every host of the
// fleet.
struct OwnershipDelta {
  // Offset of the table to which the changes apply.
  Offset base = 0;
  // The later table, but only with the ranges that the earlier table does not
  // contain.
  OwnershipTable changes;
};

OwnershipDelta ComputeDelta(const OwnershipTable& base,
                            const OwnershipTable& next);

std::optional<OwnershipTable> ApplyDelta(const OwnershipTable& base,
                                         const OwnershipDelta& delta);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_OWNERSHIP_DELTA_H_
