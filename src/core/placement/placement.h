#ifndef TOUCANDOCK_CORE_PLACEMENT_PLACEMENT_H_
#define TOUCANDOCK_CORE_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/unit.h"

namespace toucandock::core::placement {

// A target that may own shards.
struct Candidate {
  TargetId id;
  std::string failure_domain;
  // Share relative to the other candidates: below 1 while the target is cold.
  double weight = 1.0;
  // False for a target that keeps its shards but does not answer just now.
  bool accepts = true;
  // Load that the target has besides shards, in the unit of ShardState::load.
  double other_load = 0;
};

struct ShardState {
  // Empty: the shard has no owner.
  TargetId owner;
  // Relative request rate of the shard; equal for all when not yet known.
  double load = 1.0;
  // A move of the shard is under way; it stays where it is.
  bool moving = false;
};

struct PlacementInput {
  std::vector<Candidate> candidates;
  std::vector<ShardState> shards;
  // Limits planned moves per call; shards without an owner always move.
  std::uint32_t max_planned_moves = 4;
  // Shards move when the most loaded target is above its quota by more than
  // this part, or the least loaded one below it.
  double tolerance = 0.10;
};

struct ShardMove {
  std::uint64_t shard = 0;
  TargetId to;
};

std::vector<ShardMove> PlaceShards(const PlacementInput& input);

}  // namespace toucandock::core::placement

#endif  // TOUCANDOCK_CORE_PLACEMENT_PLACEMENT_H_
