#ifndef TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_
#define TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/keyspace/ownership.h"
#include "core/time.h"

namespace toucandock::core::keyspace {

// A target that may own keys.
struct OwnerCandidate {
  TargetInstance instance;
  // Number of requests that the target can process at the same time, in units
  // of a target of typical speed.
  double capacity = 1.0;
  // Set while the target is cold and its service limits the requests to such
  // targets.
  std::optional<double> cold_requests_per_second;
};

struct PlanInput {
  std::vector<OwnerCandidate> candidates;
  std::vector<Assignment> assignments;
  // Keys of recent requests, sorted, one entry for each request.
  std::vector<std::uint32_t> sampled_keys;
  // Number of requests that each of the sampled keys stands for; 1 for each if
  // empty.
  std::vector<float> sample_weights;
  // Their statistical variances, also 1 for each if empty.
  std::vector<float> sample_variances;
  // Number of target slots that the requests represented by one sample keep
  // busy on average.
  double busy_slots_per_sample = 0;
  // The load is changing, so that no load is balanced yet.
  bool is_settling = false;
  // Mean time for which a request occupies a slot of a target.
  Duration mean_work_time = std::chrono::milliseconds(200);
};

struct PlanOptions {
  // Keys are moved away from a target only if its load exceeds this fraction of
  // its capacity. Below it, requests hardly wait.
  double high_utilization = 0.65;
  // In addition, its relative load must exceed the mean of all targets by this
  // factor.
  double tolerance = 1.25;
  // The excess must also be larger than the statistical variation of the
  // samples by this factor, so that noise alone moves no keys.
  double significance = 3.0;
  // A target that takes keys is filled up to this fraction of its capacity, or
  // up to the mean relative load if that is higher.
  double fill_utilization = 0.45;
  // Beyond this fraction of its capacity, a target takes no keys: requests
  // would only wait elsewhere.
  double max_fill_utilization = 0.95;
  // A key that cannot be shared moves to another target only if the relative
  // load of that target, including the key, is at most this fraction of what
  // the present owner has without the move.
  double max_hot_key_load_ratio = 0.75;
  // Load, in samples, below which a move is not worth its cost.
  double min_samples = 4;
  // With fewer samples than this, no load is balanced.
  double min_total_samples = 100;
  // Maximum number of idle ranges that join a neighbour in one plan. Ranges
  // join only while there are more than `ranges_per_target` for each target,
  // since each range costs a renewal of its grant, and only in a plan that
  // moves other ranges anyway, or if there are twice as many.
  int max_joins = 8;
  double ranges_per_target = 1.25;
};

std::optional<std::vector<Assignment>> PlanRanges(const PlanInput& input,
                                                  const PlanOptions& options);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_RANGE_PLANNER_H_
