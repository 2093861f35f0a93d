#ifndef TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_
#define TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/keyspace/ownership.h"

namespace toucandock::core::keyspace {

// A target that may own keys.
struct OwnerCandidate {
  TargetInstance instance;
  // Requests that the target can work on at a time, in units of a target of
  // ordinary speed.
  double capacity = 1.0;
};

struct PlanInput {
  std::vector<OwnerCandidate> candidates;
  std::vector<Assignment> assignments;
  // Keys of recent requests, sorted, one entry for each request.
  std::vector<std::uint32_t> sampled_keys;
  // Requests that one sample stands for, as slots of a target that they keep
  // busy on average.
  double busy_slots_per_sample = 0;
};

struct PlanOptions {
  // Keys move from a target whose load is above this part of its capacity ...
  double high_utilization = 0.55;
  // ... and above the mean of all targets by this factor.
  double tolerance = 1.25;
  // A single hot key, which cannot be shared, moves to another target only if
  // that is then loaded by this part at most of what the owner is now.
  double max_hot_key_load_ratio = 0.75;
  // Limits planned moves of one plan; keys without an owner always move.
  int max_planned_moves = 6;
  // A move below this load, in samples, is not worth its cost.
  double min_samples = 4;
};

std::optional<std::vector<Assignment>> PlanRanges(const PlanInput& input,
                                                  const PlanOptions& options);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_
