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
  // False for a target that does not respond at present: it keeps its shards
  // and gets no further ones.
  bool accepts = true;
  // Load of the target that does not come from shards, in the unit of
  // ShardState::load.
  double other_load = 0;
};

struct ShardState {
  // Empty if the shard has no owner.
  TargetId owner;
  // Relative request rate of the shard; equal for all shards while the rates
  // are unknown.
  double load = 1.0;
  // A move of the shard is in progress, so no other move is planned for it.
  bool moving = false;
};

struct PlacementInput {
  std::vector<Candidate> candidates;
  std::vector<ShardState> shards;
  // Maximum number of planned moves per call; shards without an owner are
  // placed in addition.
  std::uint32_t max_planned_moves = 4;
  // Shards move if the most loaded target exceeds its quota by more than this
  // fraction, or if the least loaded one is below its quota by more than it.
  double tolerance = 0.10;
};

struct ShardMove {
  std::uint64_t shard = 0;
  TargetId to;
};

std::vector<ShardMove> PlaceShards(const PlacementInput& input);

}  // namespace toucandock::core::placement

#endif  // TOUCANDOCK_CORE_PLACEMENT_PLACEMENT_H_
