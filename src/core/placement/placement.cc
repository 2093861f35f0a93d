#include "core/placement/placement.h"

#include <algorithm>
#include <limits>
#include <map>

#include "util/hash.h"

namespace toucandock::core::placement {
namespace {

struct TargetLoad {
  const Candidate* candidate = nullptr;
  double quota = 0;
  double load = 0;

  double RelativeLoad() const { return quota > 0 ? load / quota : load * 1e9; }
};

class ShardPlacer {
 public:
  explicit ShardPlacer(const PlacementInput& input) : input_(input) {
    double total_weight = 0;
    for (const Candidate& it : input.candidates) {
      total_weight += it.weight;
    }
    double total_load = 0;
    for (const Candidate& it : input.candidates) {
      total_load += it.other_load;
    }
    for (const ShardState& shard : input.shards) {
      total_load += shard.load;
    }
    for (const Candidate& it : input.candidates) {
      index_[it.id] = targets_.size();
      targets_.push_back(
          {&it, total_load * it.weight / total_weight, it.other_load});
    }
    for (const ShardState& shard : input.shards) {
      if (TargetLoad* owner = Find(shard.owner)) {
        owner->load += shard.load;
      }
    }
  }

  std::vector<ShardMove> Run() {
    if (targets_.empty()) {
      return {};
    }
    PlaceUnownedShards();
    MoveFromOverloaded();
    return std::move(moves_);
  }

 private:
  TargetLoad* Find(const TargetId& id) {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &targets_[it->second];
  }

  // Returns the load of the candidate's failure domain. Ties go to the domain
  // with the least load, so that the loss of one domain affects as little load
  // as possible.
  double DomainLoad(const Candidate& candidate) const {
    double load = 0;
    for (const TargetLoad& it : targets_) {
      if (it.candidate->failure_domain == candidate.failure_domain) {
        load += it.load;
      }
    }
    return load;
  }

  // Returns the target that has the least load relative to its quota after
  // taking the shard. Ties go to the less loaded failure domain, then to the
  // higher hash. Returns nullptr if no target accepts shards.
  TargetLoad* BestTargetFor(std::uint64_t shard) {
    constexpr double kTieTolerance = 1e-9;
    TargetLoad* best = nullptr;
    double best_relative = std::numeric_limits<double>::max();
    double best_domain = 0;
    std::uint64_t best_hash = 0;
    for (TargetLoad& it : targets_) {
      if (!it.candidate->accepts) {
        continue;
      }
      TargetLoad after = it;
      after.load += input_.shards[shard].load;
      const double relative = after.RelativeLoad();
      if (best != nullptr && relative > best_relative + kTieTolerance) {
        continue;
      }
      const double domain = DomainLoad(*it.candidate);
      const std::uint64_t hash = util::Hash64(it.candidate->id, shard);
      const bool better =
          best == nullptr || relative < best_relative - kTieTolerance ||
          domain < best_domain - kTieTolerance ||
          (domain < best_domain + kTieTolerance && hash > best_hash);
      if (better) {
        best = &it;
        best_relative = relative;
        best_domain = domain;
        best_hash = hash;
      }
    }
    return best;
  }

  void PlaceUnownedShards() {
    for (std::uint64_t n = 0; n < input_.shards.size(); ++n) {
      const ShardState& shard = input_.shards[n];
      if (shard.moving || Find(shard.owner) != nullptr) {
        continue;
      }
      TargetLoad* to = BestTargetFor(n);
      if (to == nullptr) {
        return;
      }
      to->load += shard.load;
      moves_.push_back({n, to->candidate->id});
    }
  }

  // Moves shards from the most loaded targets to the least loaded one while
  // that lowers the larger of the two relative loads. A new target therefore
  // takes no more than its share, and no shard moves between targets that are
  // within the tolerance.
  void MoveFromOverloaded() {
    std::vector<bool> moved(input_.shards.size(), false);
    for (std::uint32_t n = 0; n < input_.max_planned_moves; ++n) {
      TargetLoad* to = LeastLoaded();
      if (to == nullptr || !MoveOneShardTo(*to, moved)) {
        return;
      }
    }
  }

  TargetLoad* LeastLoaded() {
    TargetLoad* least = nullptr;
    for (TargetLoad& it : targets_) {
      if (it.candidate->accepts &&
          (least == nullptr || it.RelativeLoad() < least->RelativeLoad())) {
        least = &it;
      }
    }
    return least;
  }

  // Moves one shard to `to`. The most loaded target may own nothing but a hot
  // key, so the next ones are tried as well. Returns false if no move is
  // worthwhile.
  bool MoveOneShardTo(TargetLoad& to, std::vector<bool>& moved) {
    std::vector<TargetLoad*> by_load;
    by_load.reserve(targets_.size());
    for (TargetLoad& it : targets_) {
      by_load.push_back(&it);
    }
    std::sort(by_load.begin(), by_load.end(),
              [](const TargetLoad* a, const TargetLoad* b) {
                return a->RelativeLoad() > b->RelativeLoad();
              });
    const bool is_underloaded = to.RelativeLoad() < 1 - input_.tolerance;
    const double source_threshold = is_underloaded ? 1 : 1 + input_.tolerance;
    for (TargetLoad* from : by_load) {
      if (from->RelativeLoad() <= source_threshold) {
        return false;
      }
      const std::uint64_t shard = BestShardToMove(*from, to, moved);
      if (shard == input_.shards.size()) {
        continue;
      }
      moved[shard] = true;
      from->load -= input_.shards[shard].load;
      to.load += input_.shards[shard].load;
      moves_.push_back({shard, to.candidate->id});
      return true;
    }
    return false;
  }

  // Returns the largest shard of `from` whose move leaves the load of `to`
  // below the present load of `from`, or the number of shards if there is none.
  std::uint64_t BestShardToMove(const TargetLoad& from,
                                const TargetLoad& to,
                                const std::vector<bool>& moved) const {
    std::uint64_t best = input_.shards.size();
    for (std::uint64_t n = 0; n < input_.shards.size(); ++n) {
      const ShardState& shard = input_.shards[n];
      if (shard.moving || moved[n] || shard.owner != from.candidate->id) {
        continue;
      }
      TargetLoad after = to;
      after.load += shard.load;
      if (after.RelativeLoad() >= from.RelativeLoad()) {
        continue;
      }
      if (best == input_.shards.size() ||
          shard.load > input_.shards[best].load) {
        best = n;
      }
    }
    return best;
  }

  const PlacementInput& input_;
  std::vector<TargetLoad> targets_;
  std::map<TargetId, size_t> index_;
  std::vector<ShardMove> moves_;
};

}  // namespace

// Decides which shards move, and to which targets. Shards without a usable
// owner are placed first; then at most `max_planned_moves` shards leave targets
// that are above their quota.
std::vector<ShardMove> PlaceShards(const PlacementInput& input) {
  return ShardPlacer(input).Run();
}

}  // namespace toucandock::core::placement
