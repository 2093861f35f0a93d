#include "core/keyspace/range_planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <set>
#include <utility>

namespace toucandock::core::keyspace {
namespace {

// Load of the whole key space, in samples, that is assumed in addition to the
// actual samples, so that ranges without samples still count in proportion to
// their keys.
constexpr double kPriorSamples = 8.0;
// Capacity of a target that bears no load. It takes no keys.
constexpr double kMinCapacity = 0.05;
// A piece may exceed the load that is wanted by this factor.
constexpr double kPieceSlack = 1.3;
// The owner of the neighbouring range takes a piece if its room is at least
// this fraction of the largest room, since the piece then needs no range of its
// own.
constexpr double kNeighbourRoom = 0.5;
// Receivers that are tried for one piece.
constexpr int kTriedReceivers = 3;
constexpr int kNoOwner = -1;

// Returns the capacity in units of a target of typical speed. A rate that is
// not a number counts as 0.
double CapacityOf(const OwnerCandidate& candidate, Duration mean_work_time) {
  double capacity = candidate.capacity;
  if (candidate.cold_requests_per_second) {
    const double cold_capacity = *candidate.cold_requests_per_second *
                                 FloatSeconds(mean_work_time).count();
    capacity = cold_capacity > 0 ? std::min(capacity, cold_capacity) : 0;
  }
  return std::max(kMinCapacity, capacity);
}

class Planner {
 public:
  Planner(const PlanInput& input, const PlanOptions& options)
      : input_(input), options_(options) {}

  std::optional<std::vector<Assignment>> Run() {
    if (input_.candidates.empty()) {
      return std::nullopt;
    }
    SumSamples();
    ReadCandidates();
    ReadAssignments();
    PlaceOrphans();
    AssignToIdleTargets();
    if (total_samples_ >= options_.min_total_samples && !input_.is_settling) {
      BalanceLoad();
      JoinIdleRanges();
    }
    if (!changed_) {
      return std::nullopt;
    }
    return MergeNeighbours(Assignments());
  }

 private:
  // A range of keys with one owner.
  struct Piece {
    KeyRange keys;
    // Index of a candidate.
    int owner = kNoOwner;
    // Index of the assignment that it is a part of.
    size_t source = 0;
    // No other move of the keys is in progress.
    bool movable = false;
    bool moved = false;
  };

  // The key with the highest load in some keys.
  struct HotKey {
    std::uint32_t key = 0;
    double load = 0;
  };

  void SumSamples() {
    const auto& s = input_.sampled_keys;
    sums_.push_back(0);
    variance_sums_.push_back(0);
    for (size_t i = 0; i < s.size(); ++i) {
      const double weight =
          i < input_.sample_weights.size() ? input_.sample_weights[i] : 1.0;
      if (keys_.empty() || keys_.back() != s[i]) {
        keys_.push_back(s[i]);
        sums_.push_back(sums_.back());
        variance_sums_.push_back(variance_sums_.back());
      }
      sums_.back() += weight;
      variance_sums_.back() +=
          i < input_.sample_variances.size() ? input_.sample_variances[i] : 1.0;
    }
    total_samples_ = sums_.back();
  }

  // Returns the indices of the sampled keys in a range.
  std::pair<size_t, size_t> SampledIn(const KeyRange& keys) const {
    const auto lo = std::lower_bound(keys_.begin(), keys_.end(), keys.first);
    const auto hi = std::upper_bound(lo, keys_.end(), keys.last);
    return {lo - keys_.begin(), hi - keys_.begin()};
  }

  double LoadOf(const KeyRange& keys) const {
    const auto [lo, hi] = SampledIn(keys);
    const double key_fraction =
        (keys.last - keys.first + 1.0) / (kLastKey + 1.0);
    return sums_[hi] - sums_[lo] + kPriorSamples * key_fraction;
  }

  double VarianceOf(const KeyRange& keys) const {
    const auto [lo, hi] = SampledIn(keys);
    return variance_sums_[hi] - variance_sums_[lo];
  }

  HotKey HottestIn(const KeyRange& keys) const {
    const auto [lo, hi] = SampledIn(keys);
    HotKey hottest;
    for (size_t i = lo; i < hi; ++i) {
      const double load = sums_[i + 1] - sums_[i];
      if (load > hottest.load) {
        hottest = {keys_[i], load};
      }
    }
    return hottest;
  }

  void ReadCandidates() {
    for (size_t i = 0; i < input_.candidates.size(); ++i) {
      const OwnerCandidate& it = input_.candidates[i];
      indices_.emplace(it.instance, static_cast<int>(i));
      capacities_.push_back(CapacityOf(it, input_.mean_work_time));
      loads_.push_back(0);
      variances_.push_back(0);
      piece_counts_.push_back(0);
      holds_hot_key_.push_back(false);
    }
  }

  void ReadAssignments() {
    for (size_t i = 0; i < input_.assignments.size(); ++i) {
      const Assignment& it = input_.assignments[i];
      const auto found = indices_.find(it.owner);
      Piece piece{.keys = it.keys,
                  .owner = found == indices_.end() ? kNoOwner : found->second,
                  .source = i,
                  .movable = it.serving && it.previous.empty()};
      if (piece.owner != kNoOwner) {
        loads_[piece.owner] += LoadOf(piece.keys);
        variances_[piece.owner] += VarianceOf(piece.keys);
        piece_counts_[piece.owner]++;
      }
      pieces_.push_back(piece);
    }
  }

  int candidates() const { return static_cast<int>(loads_.size()); }

  double RelativeLoad(int n) const { return loads_[n] / capacities_[n]; }

  double MeanRelativeLoad() const {
    double load = 0;
    double capacity = 0;
    for (int i = 0; i < candidates(); ++i) {
      load += loads_[i];
      capacity += capacities_[i];
    }
    return load / capacity;
  }

  void AssignTo(Piece& piece, int to) {
    const double load = LoadOf(piece.keys);
    const double variance = VarianceOf(piece.keys);
    if (piece.owner != kNoOwner) {
      loads_[piece.owner] -= load;
      variances_[piece.owner] -= variance;
      piece_counts_[piece.owner]--;
    }
    piece.owner = to;
    piece.movable = false;
    piece.moved = true;
    loads_[to] += load;
    variances_[to] += variance;
    piece_counts_[to]++;
    changed_ = true;
  }

  void SplitAt(size_t i, std::uint32_t last_of_first) {
    Piece rest = pieces_[i];
    pieces_[i].keys.last = last_of_first;
    rest.keys.first = last_of_first + 1;
    pieces_.insert(pieces_.begin() + static_cast<std::ptrdiff_t>(i) + 1, rest);
    if (rest.owner != kNoOwner) {
      piece_counts_[rest.owner]++;
    }
  }

  // Returns the last key of a piece at the low end of `keys` that holds about
  // `wanted` samples. The range must have at least two keys; both parts get at
  // least one.
  std::uint32_t CutAfter(const KeyRange& keys, double wanted) const {
    std::uint32_t lo = keys.first;
    std::uint32_t hi = keys.last - 1;
    while (lo < hi) {
      const std::uint32_t mid = lo + (hi - lo) / 2;
      if (LoadOf({keys.first, mid}) < wanted) {
        lo = mid + 1;
      } else {
        hi = mid;
      }
    }
    // A key with many requests belongs to the piece only if the load of the
    // piece comes closer to `wanted` with it.
    if (lo > keys.first) {
      const double with = LoadOf({keys.first, lo});
      const double without = LoadOf({keys.first, lo - 1});
      if (wanted - without < with - wanted) {
        --lo;
      }
    }
    return lo;
  }

  // Assigns ranges whose owner cannot serve to the least loaded targets. A
  // large range is split so that several targets share it.
  void PlaceOrphans() {
    double capacity = 0;
    std::set<std::pair<double, int>> by_load;
    for (int i = 0; i < candidates(); ++i) {
      capacity += capacities_[i];
      if (capacities_[i] > kMinCapacity) {
        by_load.emplace(RelativeLoad(i), i);
      }
    }
    // If no target bears any load, the keys need owners nevertheless.
    for (int i = 0; by_load.empty() && i < candidates(); ++i) {
      by_load.emplace(RelativeLoad(i), i);
    }
    const double load_per_capacity = LoadOf({0, kLastKey}) / capacity;
    for (size_t i = 0; i < pieces_.size(); ++i) {
      if (pieces_[i].owner != kNoOwner) {
        continue;
      }
      const int n = by_load.begin()->second;
      by_load.erase(by_load.begin());
      const double fair_load = load_per_capacity * capacities_[n];
      const double spare_load =
          std::max(0.25 * fair_load, fair_load - loads_[n]);
      const KeyRange& keys = pieces_[i].keys;
      // A single key cannot be split, however hot it is.
      if (keys.first < keys.last && LoadOf(keys) > 1.5 * spare_load) {
        SplitAt(i, CutAfter(keys, spare_load));
      }
      AssignTo(pieces_[i], n);
      by_load.emplace(RelativeLoad(n), n);
    }
  }

  // Assigns a part of the most loaded target's keys to each target that owns
  // none, such as a new one.
  void AssignToIdleTargets() {
    std::vector<int> idle;
    for (int n = 0; n < candidates(); ++n) {
      if (piece_counts_[n] == 0 && capacities_[n] > kMinCapacity) {
        idle.push_back(n);
      }
    }
    if (idle.empty()) {
      return;
    }
    std::set<std::pair<double, int>> by_load;
    for (int i = 0; i < candidates(); ++i) {
      by_load.emplace(RelativeLoad(i), i);
    }
    const double mean = MeanRelativeLoad();
    for (const int n : idle) {
      const int from = std::prev(by_load.end())->second;
      by_load.erase(std::prev(by_load.end()));
      by_load.erase({RelativeLoad(n), n});
      TakeFromLargest(from, n, mean * capacities_[n] * 0.8);
      by_load.emplace(RelativeLoad(n), n);
      // A target without a piece that can move is not asked again.
      if (piece_counts_[n] > 0) {
        by_load.emplace(RelativeLoad(from), from);
      }
      if (by_load.size() < 2) {
        return;
      }
    }
  }

  // Moves about `wanted` samples of load from the range of `from` with the most
  // load.
  void TakeFromLargest(int from, int to, double wanted) {
    size_t largest = pieces_.size();
    double largest_load = 0;
    for (size_t i = 0; i < pieces_.size(); ++i) {
      const Piece& it = pieces_[i];
      const double load = it.owner == from && it.movable ? LoadOf(it.keys) : 0;
      const bool is_hot_key =
          it.keys.first == it.keys.last && load > wanted * kPieceSlack;
      if (load > largest_load && !is_hot_key) {
        largest = i;
        largest_load = load;
      }
    }
    if (largest < pieces_.size()) {
      MoveEnd(largest, to, wanted, kNoKey, 0);
    }
  }

  // Returns the low end of `keys` with a load of about `wanted`. A key that
  // would exceed `wanted` is a part of it only if the load comes closer to
  // `wanted` with the key, or is below half of it without.
  KeyRange LowEnd(const KeyRange& keys, double wanted) const {
    std::uint32_t lo = keys.first;
    std::uint32_t hi = keys.last - 1;
    while (lo < hi) {
      const std::uint32_t mid = lo + (hi - lo) / 2;
      if (LoadOf({keys.first, mid}) < wanted) {
        lo = mid + 1;
      } else {
        hi = mid;
      }
    }
    const KeyRange with{keys.first, lo};
    return lo > keys.first ? Closer(with, {keys.first, lo - 1}, wanted) : with;
  }

  // The same at the high end.
  KeyRange HighEnd(const KeyRange& keys, double wanted) const {
    std::uint32_t lo = keys.first + 1;
    std::uint32_t hi = keys.last;
    while (lo < hi) {
      const std::uint32_t mid = hi - (hi - lo) / 2;
      if (LoadOf({mid, keys.last}) < wanted) {
        hi = mid - 1;
      } else {
        lo = mid;
      }
    }
    const KeyRange with{lo, keys.last};
    return lo < keys.last ? Closer(with, {lo + 1, keys.last}, wanted) : with;
  }

  KeyRange Closer(const KeyRange& with,
                  const KeyRange& without,
                  double wanted) const {
    const double load = LoadOf(without);
    return load >= wanted / 2 && wanted - load < LoadOf(with) - wanted ? without
                                                                       : with;
  }

  // Moves about `wanted` samples of load from one end of a piece, the end whose
  // load comes closer to `wanted`, but not the key `kept`. Returns whether a
  // part with at least `min_load` has moved: it does not if the target would
  // then be as loaded as the owner is.
  bool MoveEnd(size_t at,
               int to,
               double wanted,
               std::uint32_t kept,
               double min_load) {
    const KeyRange keys = pieces_[at].keys;
    const bool holds_kept = keys.Contains(kept);
    KeyRange part = keys;
    if (keys.first == keys.last) {
      if (holds_kept) {
        return false;
      }
    } else if (holds_kept || LoadOf(keys) > wanted * kPieceSlack) {
      KeyRange low = LowEnd(keys, wanted);
      KeyRange high = HighEnd(keys, wanted);
      bool use_low = true;
      bool use_high = true;
      if (holds_kept) {
        use_low = keys.first < kept;
        use_high = kept < keys.last;
        low.last = use_low ? std::min(low.last, kept - 1) : low.last;
        high.first = use_high ? std::max(high.first, kept + 1) : high.first;
      }
      part = use_low && (!use_high || std::abs(LoadOf(low) - wanted) <=
                                          std::abs(LoadOf(high) - wanted))
                 ? low
                 : high;
    }
    const double moved = LoadOf(part);
    const double after = (loads_[to] + moved) / capacities_[to];
    // A key that exceeds what the target has room for must gain enough.
    const double limit =
        RelativeLoad(pieces_[at].owner) *
        (moved > wanted * kPieceSlack ? options_.max_hot_key_load_ratio : 1.0);
    if (moved < min_load || after >= limit) {
      return false;
    }
    MovePart(at, part, to);
    return true;
  }

  // Moves a part of a piece, and leaves the keys on both sides of it.
  void MovePart(size_t at, const KeyRange& part, int to) {
    if (part.last < pieces_[at].keys.last) {
      SplitAt(at, part.last);
    }
    if (pieces_[at].keys.first < part.first) {
      SplitAt(at, part.first - 1);
      ++at;
    }
    AssignTo(pieces_[at], to);
  }

  // Computes the relative load that all targets would have if the load were
  // spread evenly. Keys that exceed it alone, and the targets that they occupy,
  // are left out.
  void ComputeLevel() {
    std::vector<double> hot;
    for (size_t i = 0; i < keys_.size(); ++i) {
      hot.push_back(sums_[i + 1] - sums_[i]);
    }
    std::vector<double> capacities = capacities_;
    const size_t n = std::min(hot.size(), capacities.size() - 1);
    std::partial_sort(hot.begin(), hot.begin() + static_cast<std::ptrdiff_t>(n),
                      hot.end(), std::greater<>());
    std::sort(capacities.begin(), capacities.end(), std::greater<>());
    double load = 0;
    double capacity = 0;
    for (int i = 0; i < candidates(); ++i) {
      load += loads_[i];
      capacity += capacities_[i];
    }
    for (size_t i = 0; i < n && hot[i] * capacity > load * capacities[i]; ++i) {
      load -= hot[i];
      capacity -= capacities[i];
    }
    level_ = std::max(load, 0.0) / capacity;
    const double slots_per_sample =
        std::max(input_.busy_slots_per_sample, 1e-9);
    high_ = std::max(options_.high_utilization / slots_per_sample,
                     options_.tolerance * level_);
    fill_ = std::min(
        std::max(level_ * 1.05, options_.fill_utilization / slots_per_sample),
        options_.max_fill_utilization / slots_per_sample);
    hot_load_ = fill_ *
                std::accumulate(capacities_.begin(), capacities_.end(), 0.0) /
                candidates();
  }

  double RoomOf(int n) const {
    return holds_hot_key_[n] ? 0 : fill_ * capacities_[n] - loads_[n];
  }

  bool IsOverloaded(int n) const {
    const double excess = loads_[n] - level_ * capacities_[n];
    return RelativeLoad(n) > high_ && excess >= options_.min_samples &&
           excess >
               options_.significance * std::sqrt(std::max(0.0, variances_[n]));
  }

  void UpdateRoom(int n) {
    rooms_.erase({known_rooms_[n], n});
    known_rooms_[n] = RoomOf(n);
    rooms_.emplace(known_rooms_[n], n);
  }

  // Relieves each overloaded target by as many pieces as it takes. The targets
  // that take the pieces are only filled up to the mean, so that the next plan
  // moves nothing back.
  void BalanceLoad() {
    ComputeLevel();
    for (int i = 0; i < candidates(); ++i) {
      known_rooms_.push_back(RoomOf(i));
      rooms_.emplace(known_rooms_[i], i);
      if (IsOverloaded(i)) {
        overloaded_.emplace(RelativeLoad(i), i);
      }
    }
    while (!overloaded_.empty()) {
      const int from = overloaded_.top().second;
      overloaded_.pop();
      Relieve(from);
    }
  }

  void Relieve(int from) {
    HotKey hottest;
    std::vector<KeyRange> ranges;
    for (const Piece& it : pieces_) {
      if (it.owner != from) {
        continue;
      }
      const HotKey hot = HottestIn(it.keys);
      if (hot.load > hottest.load) {
        hottest = hot;
      }
      if (it.movable) {
        ranges.push_back(it.keys);
      }
    }
    std::uint32_t kept = kNoKey;
    double goal = std::max(level_ * capacities_[from],
                           std::min(fill_, options_.fill_utilization /
                                               input_.busy_slots_per_sample) *
                               capacities_[from]);
    // The key exceeds what any target should have, so it needs one of its own.
    if (hottest.load > goal && hottest.load > hot_load_) {
      if (MoveHotKey(from, hottest)) {
        if (IsOverloaded(from)) {
          overloaded_.emplace(RelativeLoad(from), from);
        }
        return;
      }
      holds_hot_key_[from] = true;
      UpdateRoom(from);
      kept = hottest.key;
      goal = hottest.load;
    }
    // Large ranges first, for few pieces.
    std::sort(ranges.begin(), ranges.end(),
              [this](const KeyRange& a, const KeyRange& b) {
                return LoadOf(a) > LoadOf(b);
              });
    for (const KeyRange& it : ranges) {
      Shed(from, it, goal, kept);
    }
  }

  // Moves a key that its owner cannot serve to a target that can serve clearly
  // more of it. The other keys of that target move away afterwards.
  bool MoveHotKey(int from, const HotKey& hot) {
    int best = kNoOwner;
    double best_load = 0;
    for (int i = 0; i < candidates(); ++i) {
      const double load = (loads_[i] + hot.load) / capacities_[i];
      if (i != from && !holds_hot_key_[i] &&
          (best == kNoOwner || load < best_load)) {
        best = i;
        best_load = load;
      }
    }
    const size_t at = FindPiece(hot.key);
    if (best == kNoOwner || !pieces_[at].movable ||
        best_load >
            options_.max_hot_key_load_ratio * hot.load / capacities_[from]) {
      return false;
    }
    MovePart(at, {hot.key, hot.key}, best);
    holds_hot_key_[best] = true;
    UpdateRoom(best);
    UpdateRoom(from);
    if (IsOverloaded(best)) {
      overloaded_.emplace(RelativeLoad(best), best);
    }
    return true;
  }

  size_t FindPiece(std::uint32_t key) const {
    const auto it = std::lower_bound(
        pieces_.begin(), pieces_.end(), key,
        [](const Piece& a, std::uint32_t k) { return a.keys.last < k; });
    return static_cast<size_t>(it - pieces_.begin());
  }

  // Moves pieces of a range away until its owner has only `goal` left.
  void Shed(int from, const KeyRange& range, double goal, std::uint32_t kept) {
    size_t at = FindPiece(range.first);
    while (at < pieces_.size() && pieces_[at].keys.first <= range.last) {
      const double excess = loads_[from] - goal;
      if (excess < options_.min_samples) {
        return;
      }
      if (pieces_[at].owner != from || !pieces_[at].movable) {
        ++at;
        continue;
      }
      // After a move, the rest of the range is at `at` or behind it.
      if (!MoveToRoom(at, excess, kept)) {
        ++at;
      }
    }
  }

  // Moves one end of a piece to a target that has room for it.
  bool MoveToRoom(size_t at, double excess, std::uint32_t kept) {
    const int from = pieces_[at].owner;
    std::vector<int> receivers = NeighboursWithRoom(at);
    int tried = 0;
    for (auto it = rooms_.rbegin();
         it != rooms_.rend() && tried < kTriedReceivers; ++it) {
      if (it->second != from && !holds_hot_key_[it->second]) {
        receivers.push_back(it->second);
        tried++;
      }
    }
    for (const int to : receivers) {
      const double wanted = std::min(excess, std::max(RoomOf(to), 0.0));
      if (MoveEnd(at, to, wanted, kept, options_.min_samples / 2)) {
        UpdateRoom(from);
        UpdateRoom(to);
        if (IsOverloaded(to)) {
          overloaded_.emplace(RelativeLoad(to), to);
        }
        return true;
      }
    }
    return false;
  }

  // Returns the owners of the ranges next to a piece that have about as much
  // room as any other target.
  std::vector<int> NeighboursWithRoom(size_t at) const {
    std::vector<int> owners;
    const auto add = [&](const Piece& it) {
      if (it.owner != pieces_[at].owner && it.movable &&
          RoomOf(it.owner) > kNeighbourRoom * rooms_.rbegin()->first &&
          RoomOf(it.owner) >= options_.min_samples) {
        owners.push_back(it.owner);
      }
    };
    if (at > 0) {
      add(pieces_[at - 1]);
    }
    if (at + 1 < pieces_.size()) {
      add(pieces_[at + 1]);
    }
    return owners;
  }

  // Lets ranges without load join a neighbour, so that fewer grants have to be
  // renewed. No request is likely to notice such a move.
  void JoinIdleRanges() {
    const double max_pieces = options_.ranges_per_target * candidates();
    const double narrow = (kLastKey + 1.0) / candidates() / 4;
    auto excess =
        static_cast<int>(static_cast<double>(pieces_.size()) - max_pieces);
    if (!changed_ && excess < max_pieces) {
      return;
    }
    int joins = 0;
    for (size_t i = 0;
         i < pieces_.size() && excess > 0 && joins < options_.max_joins; ++i) {
      Piece& it = pieces_[i];
      const auto [lo, hi] = SampledIn(it.keys);
      if (!it.movable || lo != hi || piece_counts_[it.owner] < 2 ||
          it.keys.last - it.keys.first + 1.0 > narrow) {
        continue;
      }
      // The piece joins the range before or behind it, which must not move.
      Piece* to = nullptr;
      for (const size_t neighbour : {i - 1, i + 1}) {
        if (neighbour < pieces_.size() && pieces_[neighbour].movable &&
            pieces_[neighbour].owner != it.owner &&
            !holds_hot_key_[pieces_[neighbour].owner]) {
          to = &pieces_[neighbour];
        }
      }
      if (to != nullptr) {
        AssignTo(it, to->owner);
        to->movable = false;
        joins++;
        excess--;
      }
    }
  }

  std::vector<Assignment> Assignments() const {
    std::vector<Assignment> out;
    for (const Piece& it : pieces_) {
      Assignment assignment = input_.assignments[it.source];
      assignment.keys = it.keys;
      if (it.moved) {
        if (!assignment.owner.id.empty()) {
          assignment.previous.push_back(assignment.owner);
        }
        assignment.owner = input_.candidates[it.owner].instance;
        assignment.serving = false;
      }
      out.push_back(std::move(assignment));
    }
    return out;
  }

  static constexpr std::uint32_t kNoKey = kLastKey + 1;

  const PlanInput& input_;
  const PlanOptions& options_;
  // The sampled keys, each once, and the sums of the weights before each.
  std::vector<std::uint32_t> keys_;
  std::vector<double> sums_;
  std::vector<double> variance_sums_;
  double total_samples_ = 0;
  std::vector<Piece> pieces_;
  // For each candidate.
  std::map<TargetInstance, int> indices_;
  std::vector<double> capacities_;
  std::vector<double> loads_;
  std::vector<double> variances_;
  std::vector<int> piece_counts_;
  std::vector<bool> holds_hot_key_;
  std::vector<double> known_rooms_;
  std::set<std::pair<double, int>> rooms_;
  std::priority_queue<std::pair<double, int>> overloaded_;
  double level_ = 0;
  // Relative load above which a target is relieved, and up to which others take
  // keys.
  double high_ = 0;
  double fill_ = 0;
  // Load above which a key needs a target of its own.
  double hot_load_ = 0;
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
