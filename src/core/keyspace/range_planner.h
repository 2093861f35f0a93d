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
  // Number of requests that the target can process at the same time, in units
  // of a target of typical speed.
  double capacity = 1.0;
};

struct PlanInput {
  std::vector<OwnerCandidate> candidates;
  std::vector<Assignment> assignments;
  // Keys of recent requests, sorted, one entry for each request.
  std::vector<std::uint32_t> sampled_keys;
  // Number of target slots that the requests represented by one sample keep
  // busy on average.
  double busy_slots_per_sample = 0;
};

struct PlanOptions {
  // Keys are moved away from a target only if its load exceeds this fraction of
  // its capacity.
  double high_utilization = 0.55;
  // In addition, its relative load must exceed the mean of all targets by this
  // factor.
  double tolerance = 1.25;
  // A single hot key cannot be shared. It moves to another target only if the
  // relative load of that target, including the key, is at most this fraction
  // of the present owner's.
  double max_hot_key_load_ratio = 0.75;
  // Maximum number of planned moves in one plan. Keys without an owner are
  // always assigned.
  int max_planned_moves = 6;
  // Load, in samples, below which a move is not worth its cost.
  double min_samples = 4;
};

std::optional<std::vector<Assignment>> PlanRanges(const PlanInput& input,
                                                  const PlanOptions& options);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_
