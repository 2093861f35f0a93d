#ifndef TOUCANDOCK_CORE_PLACEMENT_HOT_KEYS_H_
#define TOUCANDOCK_CORE_PLACEMENT_HOT_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/placement/key_rates.h"
#include "core/placement/placement.h"
#include "core/unit.h"

namespace toucandock::core::placement {

struct HotKeyOptions {
  // A key is placed separately from its shard when its rate exceeds this
  // fraction of the average rate of a target.
  double split_threshold = 0.25;
  // A key below this rate is never placed separately, since such a low measured
  // rate is mostly chance.
  double min_per_second = 5;
  // A separately placed key returns to its shard when its rate falls below this
  // fraction of the average.
  double merge_threshold = 0.05;
  // A key moves only if the load of its new target is then lower than the
  // present load of its old one by at least this fraction of the average.
  double min_move_gain = 0.25;
  // Maximum number of separately placed keys in one service.
  size_t max_keys = 1'024;
  // Maximum number of changes per call, to limit churn. Keys that lost their
  // owner are moved in addition.
  size_t max_changes = 8;
};

struct HotKeyInput {
  std::vector<Candidate> candidates;
  // Owner of each shard; an empty id if the shard has none.
  std::vector<TargetId> shard_owners;
  // Owners of the keys that are placed separately now, by key hash.
  std::map<std::uint64_t, TargetId> placed;
  // Keys that must not change because a move of them is in progress.
  std::vector<std::uint64_t> moving;
  // Rates of the service, summed over all hosts.
  ServiceRates rates;
};

struct HotKeyChange {
  std::uint64_t key_hash = 0;
  // Empty if the key returns to its shard.
  TargetId to;
};

std::vector<HotKeyChange> PlaceHotKeys(const HotKeyInput& input,
                                       const HotKeyOptions& options);

}  // namespace toucandock::core::placement

#endif  // TOUCANDOCK_CORE_PLACEMENT_HOT_KEYS_H_
