#include "core/placement/hot_keys.h"

#include <algorithm>
#include <set>

namespace toucandock::core::placement {
namespace {

class HotKeyPlacer {
 public:
  HotKeyPlacer(const HotKeyInput& input, const HotKeyOptions& options)
      : input_(input), options_(options) {
    for (const KeyRate& it : input.rates.hottest) {
      rate_[it.key_hash] += it.per_second;
    }
    average_ = input.rates.per_second / static_cast<double>(std::max<size_t>(
                                            1, input.candidates.size()));
    CountLoads();
  }

  std::vector<HotKeyChange> Run() {
    if (input_.candidates.empty() || input_.shard_owners.empty()) {
      return {};
    }
    ReplaceLost();
    if (input_.rates.per_second <= 0) {
      return std::move(changes_);
    }
    MergeCooled();
    std::vector<KeyRate> hottest = input_.rates.hottest;
    std::sort(hottest.begin(), hottest.end(),
              [](const KeyRate& a, const KeyRate& b) {
                return a.per_second > b.per_second;
              });
    for (const KeyRate& it : hottest) {
      if (changes_.size() >= options_.max_changes) {
        break;
      }
      if (!IsMoving(it.key_hash) && !replaced_.contains(it.key_hash)) {
        ConsiderKey(it);
      }
    }
    return std::move(changes_);
  }

 private:
  bool IsMoving(std::uint64_t key_hash) const {
    return std::find(input_.moving.begin(), input_.moving.end(), key_hash) !=
           input_.moving.end();
  }

  double RateOf(std::uint64_t key_hash) const {
    const auto it = rate_.find(key_hash);
    return it == rate_.end() ? 0 : it->second;
  }

  const TargetId& ShardOwner(std::uint64_t key_hash) const {
    return input_.shard_owners[ShardOf(
        key_hash, static_cast<std::uint32_t>(input_.shard_owners.size()))];
  }

  const TargetId& OwnerOf(std::uint64_t key_hash) const {
    const auto it = input_.placed.find(key_hash);
    return it == input_.placed.end() ? ShardOwner(key_hash) : it->second;
  }

  // The load of a separately placed key counts for the key's owner, not for its
  // shard.
  void CountLoads() {
    std::vector<double> shards = input_.rates.shards;
    const size_t n = input_.shard_owners.size();
    if (shards.size() != n) {
      shards.assign(n, input_.rates.per_second / static_cast<double>(n));
    }
    for (const auto& [key_hash, owner] : input_.placed) {
      const double rate = RateOf(key_hash);
      load_[owner] += rate;
      double& shard = shards[ShardOf(key_hash, static_cast<std::uint32_t>(n))];
      shard = std::max(0.0, shard - rate);
    }
    for (size_t shard = 0; shard < n; ++shard) {
      load_[input_.shard_owners[shard]] += shards[shard];
    }
  }

  // Moves the keys whose owner is no longer a candidate at once, even if the
  // move gains nothing.
  void ReplaceLost() {
    for (const auto& [key_hash, owner] : input_.placed) {
      const bool owner_is_candidate = std::any_of(
          input_.candidates.begin(), input_.candidates.end(),
          [&owner = owner](const Candidate& it) { return it.id == owner; });
      const Candidate* to =
          owner_is_candidate || IsMoving(key_hash) ? nullptr : LeastLoaded();
      if (to != nullptr) {
        load_[to->id] += RateOf(key_hash);
        replaced_.insert(key_hash);
        changes_.push_back({key_hash, to->id});
      }
    }
  }

  void MergeCooled() {
    for (const auto& [key_hash, owner] : input_.placed) {
      if (changes_.size() >= options_.max_changes) {
        return;
      }
      if (!IsMoving(key_hash) && !replaced_.contains(key_hash) &&
          RateOf(key_hash) < options_.merge_threshold * average_) {
        changes_.push_back({key_hash, ""});
      }
    }
  }

  void ConsiderKey(const KeyRate& key) {
    const bool placed = input_.placed.contains(key.key_hash);
    if (!placed && (key.per_second < options_.min_per_second ||
                    key.per_second < options_.split_threshold * average_ ||
                    input_.placed.size() + added_ >= options_.max_keys)) {
      return;
    }
    const TargetId& from = OwnerOf(key.key_hash);
    const Candidate* to = LeastLoaded();
    if (to == nullptr || to->id == from) {
      return;
    }
    const double gain = load_[from] - (load_[to->id] + key.per_second);
    if (gain < options_.min_move_gain * average_) {
      return;
    }
    load_[from] -= key.per_second;
    load_[to->id] += key.per_second;
    added_ += placed ? 0 : 1;
    changes_.push_back({key.key_hash, to->id});
  }

  const Candidate* LeastLoaded() {
    const Candidate* best = nullptr;
    for (const Candidate& it : input_.candidates) {
      if (it.accepts &&
          (best == nullptr ||
           load_[it.id] / it.weight < load_[best->id] / best->weight)) {
        best = &it;
      }
    }
    return best;
  }

  const HotKeyInput& input_;
  const HotKeyOptions& options_;
  std::map<std::uint64_t, double> rate_;
  std::map<TargetId, double> load_;
  double average_ = 0;
  size_t added_ = 0;
  std::set<std::uint64_t> replaced_;
  std::vector<HotKeyChange> changes_;
};

}  // namespace

// Decides which keys are placed separately, moved, or returned to their shards.
// A key whose owner remains a candidate moves only if that relieves its target.
std::vector<HotKeyChange> PlaceHotKeys(const HotKeyInput& input,
                                       const HotKeyOptions& options) {
  return HotKeyPlacer(input, options).Run();
}

}  // namespace toucandock::core::placement
