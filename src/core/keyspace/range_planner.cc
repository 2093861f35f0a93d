#include "core/keyspace/range_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucandock::core::keyspace {
namespace {

// Load of the whole key space, in samples, that is assumed in addition to the
// actual samples, so that ranges without samples still count in proportion to
// their keys.
constexpr double kPriorSamples = 8.0;

class Planner {
 public:
  Planner(const PlanInput& input, const PlanOptions& options)
      : input_(input), options_(options), ranges_(input.assignments) {
    for (const OwnerCandidate& it : input.candidates) {
      loads_.push_back(0.0);
      owns_keys_.push_back(false);
      capacities_.push_back(std::max(0.05, it.capacity));
    }
  }

  std::optional<std::vector<Assignment>> Run() {
    if (input_.candidates.empty()) {
      return std::nullopt;
    }
    ComputeLoads();
    PlaceOrphans();
    AssignToIdleTargets();
    MoveHotKey();
    BalanceLoad();
    if (!changed_) {
      return std::nullopt;
    }
    return MergeNeighbours(std::move(ranges_));
  }

 private:
  double SamplesIn(const KeyRange& keys) const {
    const auto& s = input_.sampled_keys;
    const auto lo = std::lower_bound(s.begin(), s.end(), keys.first);
    const auto hi = std::upper_bound(lo, s.end(), keys.last);
    const double key_fraction =
        (keys.last - keys.first + 1.0) / (kLastKey + 1.0);
    return static_cast<double>(hi - lo) + kPriorSamples * key_fraction;
  }

  int IndexOf(const TargetInstance& instance) const {
    for (size_t i = 0; i < input_.candidates.size(); ++i) {
      if (input_.candidates[i].instance == instance) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  void ComputeLoads() {
    for (const Assignment& it : ranges_) {
      const int n = IndexOf(it.owner);
      if (n >= 0) {
        loads_[n] += SamplesIn(it.keys);
        owns_keys_[n] = true;
      }
    }
  }

  double RelativeLoad(size_t n) const { return loads_[n] / capacities_[n]; }

  size_t LeastLoaded() const {
    size_t best = 0;
    for (size_t i = 1; i < loads_.size(); ++i) {
      if (RelativeLoad(i) < RelativeLoad(best)) {
        best = i;
      }
    }
    return best;
  }

  size_t MostLoaded() const {
    size_t best = 0;
    for (size_t i = 1; i < loads_.size(); ++i) {
      if (RelativeLoad(i) > RelativeLoad(best)) {
        best = i;
      }
    }
    return best;
  }

  double MeanRelativeLoad() const {
    double load = 0;
    double capacity = 0;
    for (size_t i = 0; i < loads_.size(); ++i) {
      load += loads_[i];
      capacity += capacities_[i];
    }
    return load / capacity;
  }

  void AssignTo(Assignment& range, size_t n) {
    const TargetInstance& to = input_.candidates[n].instance;
    if (!range.owner.id.empty()) {
      range.previous.push_back(range.owner);
    }
    range.owner = to;
    range.serving = false;
    loads_[n] += SamplesIn(range.keys);
    owns_keys_[n] = true;
    changed_ = true;
  }

  // Assigns ranges whose owner cannot serve to the least loaded targets. A
  // large range is split so that several targets share it.
  void PlaceOrphans() {
    double capacity = 0;
    for (const double it : capacities_) {
      capacity += it;
    }
    const double load_per_capacity = SamplesIn({0, kLastKey}) / capacity;
    for (size_t i = 0; i < ranges_.size(); ++i) {
      if (IndexOf(ranges_[i].owner) >= 0) {
        continue;
      }
      const size_t n = LeastLoaded();
      const double fair_load = load_per_capacity * capacities_[n];
      const double spare_load =
          std::max(0.25 * fair_load, fair_load - loads_[n]);
      const KeyRange& keys = ranges_[i].keys;
      // A single key cannot be split, however hot it is.
      if (keys.first < keys.last && SamplesIn(keys) > 1.5 * spare_load) {
        SplitAt(i, CutAfter(keys, spare_load));
      }
      AssignTo(ranges_[i], n);
    }
  }

  // Assigns a part of the most loaded target's keys to each target that owns
  // none, such as a new one.
  void AssignToIdleTargets() {
    for (size_t n = 0; n < owns_keys_.size(); ++n) {
      if (owns_keys_[n]) {
        continue;
      }
      const double wanted = MeanRelativeLoad() * capacities_[n] * 0.8;
      MoveLoad(MostLoaded(), n, wanted);
    }
  }

  // A single hot key may be the reason why a target is the most loaded one. The
  // key is then moved to the target whose relative load stays lowest with it,
  // such as a faster one. BalanceLoad() moves other keys away from that target
  // afterwards.
  void MoveHotKey() {
    const size_t from = MostLoaded();
    if (RelativeLoad(from) * input_.busy_slots_per_sample <
        options_.high_utilization) {
      return;
    }
    Assignment* hottest = nullptr;
    for (Assignment& it : ranges_) {
      if (IndexOf(it.owner) == static_cast<int>(from) && it.serving &&
          it.previous.empty() && it.keys.first == it.keys.last &&
          (hottest == nullptr ||
           SamplesIn(it.keys) > SamplesIn(hottest->keys))) {
        hottest = &it;
      }
    }
    if (hottest == nullptr) {
      return;
    }
    const double load = SamplesIn(hottest->keys);
    const auto relative_load_with = [this, load](size_t n) {
      return (loads_[n] + load) / capacities_[n];
    };
    size_t best = from == 0 ? 1 : 0;
    for (size_t i = 0; i < loads_.size(); ++i) {
      if (i != from && relative_load_with(i) < relative_load_with(best)) {
        best = i;
      }
    }
    if (best >= loads_.size() ||
        relative_load_with(best) >
            options_.max_hot_key_load_ratio * RelativeLoad(from)) {
      return;
    }
    loads_[from] -= load;
    AssignTo(*hottest, best);
  }

  void BalanceLoad() {
    for (int i = 0; i < options_.max_planned_moves; ++i) {
      const size_t from = MostLoaded();
      const size_t to = LeastLoaded();
      const double mean = MeanRelativeLoad();
      const double utilization =
          RelativeLoad(from) * input_.busy_slots_per_sample;
      if (from == to || utilization < options_.high_utilization ||
          RelativeLoad(from) < mean * options_.tolerance) {
        return;
      }
      const double excess = loads_[from] - mean * capacities_[from];
      const double spare_load = mean * capacities_[to] - loads_[to];
      const double wanted = std::min(excess, spare_load);
      if (wanted < options_.min_samples || !MoveLoad(from, to, wanted)) {
        return;
      }
    }
  }

  // Moves about `wanted` samples of load as one contiguous piece from the end
  // of a range of `from`. Ranges with a move in progress are not considered.
  bool MoveLoad(size_t from, size_t to, double wanted) {
    int best = -1;
    double best_load = 0;
    for (size_t i = 0; i < ranges_.size(); ++i) {
      const Assignment& it = ranges_[i];
      if (IndexOf(it.owner) != static_cast<int>(from) || !it.serving ||
          !it.previous.empty()) {
        continue;
      }
      const double load = SamplesIn(it.keys);
      // A single hot key cannot be split, but ranges next to it can still move.
      if (it.keys.first == it.keys.last && load > wanted * 1.3) {
        continue;
      }
      if (load > best_load) {
        best = static_cast<int>(i);
        best_load = load;
      }
    }
    if (best < 0) {
      return false;
    }
    size_t at = static_cast<size_t>(best);
    if (best_load > wanted * 1.3) {
      const KeyRange keys = ranges_[at].keys;
      // Takes the piece from the end at which its load comes closer to
      // `wanted`.
      const std::uint32_t low_cut = CutAfter(keys, wanted);
      const std::uint32_t high_cut = CutAfter(keys, best_load - wanted);
      const double low = SamplesIn({keys.first, low_cut});
      const double high = SamplesIn({high_cut + 1, keys.last});
      if (std::abs(low - wanted) <= std::abs(high - wanted)) {
        SplitAt(at, low_cut);
      } else {
        SplitAt(at, high_cut);
        ++at;
      }
    }
    const double moved = SamplesIn(ranges_[at].keys);
    // A piece that would only move the overload to the other target stays.
    if (RelativeLoad(to) + moved / capacities_[to] >= RelativeLoad(from)) {
      return false;
    }
    loads_[from] -= moved;
    AssignTo(ranges_[at], to);
    return true;
  }

  // Returns the last key of a piece at the low end of `keys` that holds about
  // `wanted` samples. The range must have at least two keys; both parts get at
  // least one.
  std::uint32_t CutAfter(const KeyRange& keys, double wanted) const {
    std::uint32_t lo = keys.first;
    std::uint32_t hi = keys.last - 1;
    while (lo < hi) {
      const std::uint32_t mid = lo + (hi - lo) / 2;
      if (SamplesIn({keys.first, mid}) < wanted) {
        lo = mid + 1;
      } else {
        hi = mid;
      }
    }
    // A key with many requests belongs to the piece only if the load of the
    // piece comes closer to `wanted` with it.
    if (lo > keys.first) {
      const double with = SamplesIn({keys.first, lo});
      const double without = SamplesIn({keys.first, lo - 1});
      if (wanted - without < with - wanted) {
        --lo;
      }
    }
    return lo;
  }

  void SplitAt(size_t i, std::uint32_t last_of_first) {
    Assignment rest = ranges_[i];
    ranges_[i].keys.last = last_of_first;
    rest.keys.first = last_of_first + 1;
    ranges_.insert(ranges_.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                   std::move(rest));
  }

  const PlanInput& input_;
  const PlanOptions& options_;
  std::vector<Assignment> ranges_;
  std::vector<double> loads_;
  std::vector<bool> owns_keys_;
  std::vector<double> capacities_;
  bool changed_ = false;
};

}  // namespace

// Returns the assignments to be recorded next, or nothing if none has to
// change.
std::optional<std::vector<Assignment>> PlanRanges(const PlanInput& input,
                                                  const PlanOptions& options) {
  return Planner(input, options).Run();
}

}  // namespace toucandock::core::keyspace
