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
  // A key is placed on its own when its rate passes this part of the average
  // rate of a target.
  double split_threshold = 0.25;
  // Below this rate a key is never placed on its own: the measured rate is
  // mostly chance.
  double min_per_second = 5;
  // It goes back to its shard when its rate falls below this part.
  double merge_threshold = 0.05;
  // A placed key moves when that lowers the load of its target by this part of
  // the average.
  double min_move_gain = 0.25;
  // Keys placed on their own in one service.
  size_t max_keys = 1'024;
  // Changes per call, to bound churn; keys that lost their owner come on top.
  size_t max_changes = 8;
};

struct HotKeyInput {
  std::vector<Candidate> candidates;
  // Owner of each shard; empty: none.
  std::vector<TargetId> shard_owners;
  // Keys that are placed on their own now, by hash, with their owners.
  std::map<std::uint64_t, TargetId> placed;
  // Keys that must stay as they are because a move is under way.
  std::vector<std::uint64_t> moving;
  // Rates of the service, summed over all hosts.
  ServiceRates rates;
};

struct HotKeyChange {
  std::uint64_t key_hash = 0;
  // Empty: the key goes back to its shard.
  TargetId to;
};

std::vector<HotKeyChange> PlaceHotKeys(const HotKeyInput& input,
                                       const HotKeyOptions& options);

}  // namespace toucandock::core::placement

#endif  // TOUCANDOCK_CORE_PLACEMENT_HOT_KEYS_H_
