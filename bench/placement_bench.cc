// Measures the imbalance and churn of the placement for a skewed distribution
// of keys, against plain modulo placement and rendezvous hashing of the same
// keys.
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench.h"
#include "core/placement/hot_keys.h"
#include "core/placement/placement.h"
#include "util/hash.h"

namespace toucandock::bench {
namespace {

using core::TargetId;
using core::placement::Candidate;
using core::placement::HotKeyInput;

constexpr int kTargets = 14;
constexpr std::uint32_t kShards = 256;
constexpr int kKeys = 20'000;
constexpr int kRequests = 200'000;
constexpr double kZipfExponent = 1.0;
constexpr int kSeeds = 10;
constexpr size_t kReportedKeys = 64;
constexpr int kRounds = 5;

struct Stream {
  // Number of requests for each key hash.
  std::map<std::uint64_t, int> counts;
};

Stream MakeStream(int seed) {
  std::mt19937_64 generator(seed);
  std::vector<double> weights;
  weights.reserve(kKeys);
  for (int n = 1; n <= kKeys; ++n) {
    weights.push_back(1 / std::pow(n, kZipfExponent));
  }
  std::discrete_distribution<int> zipf(weights.begin(), weights.end());
  Stream stream;
  for (int n = 0; n < kRequests; ++n) {
    ++stream.counts[core::HashKey(absl::StrCat(seed, "/", zipf(generator)))];
  }
  return stream;
}

std::vector<Candidate> MakeTargets(int count) {
  std::vector<Candidate> targets;
  targets.reserve(count);
  for (int n = 0; n < count; ++n) {
    targets.push_back({.id = absl::StrCat("callboard/", n),
                       .failure_domain = absl::StrCat("lk-west-", n % 4)});
  }
  return targets;
}

using Placement = std::function<TargetId(std::uint64_t)>;

// Returns the load of the busiest target divided by the average load.
double Imbalance(const Stream& stream,
                 const std::vector<Candidate>& targets,
                 const Placement& owner_of) {
  std::map<TargetId, int> loads;
  for (const auto& [key_hash, count] : stream.counts) {
    loads[owner_of(key_hash)] += count;
  }
  int max_load = 0;
  for (const Candidate& it : targets) {
    max_load = std::max(max_load, loads[it.id]);
  }
  return static_cast<double>(max_load) * static_cast<double>(targets.size()) /
         kRequests;
}

// Returns the fraction of keys whose owners differ.
double Churn(const Stream& stream, const Placement& a, const Placement& b) {
  int changed = 0;
  for (const auto& [key_hash, count] : stream.counts) {
    changed += a(key_hash) == b(key_hash) ? 0 : 1;
  }
  return static_cast<double>(changed) /
         static_cast<double>(stream.counts.size());
}

Placement Modulo(const std::vector<Candidate>& targets) {
  return [targets](std::uint64_t key_hash) {
    return targets[key_hash % targets.size()].id;
  };
}

Placement Rendezvous(const std::vector<Candidate>& targets) {
  return [targets](std::uint64_t key_hash) {
    return std::max_element(targets.begin(), targets.end(),
                            [&](const Candidate& a, const Candidate& b) {
                              return util::Hash64(a.id, key_hash) <
                                     util::Hash64(b.id, key_hash);
                            })
        ->id;
  };
}

// The placement of the product, repeated until it proposes no further changes.
class Table {
 public:
  Table() : shards_(kShards) {}

  // The placement of hot keys changes the loads of shards and the reverse, so
  // both are computed alternately, as the leader does.
  void Converge(const std::vector<Candidate>& targets, const Stream& stream) {
    for (int n = 0; n < kRounds; ++n) {
      PlaceShards(targets, stream);
      PlaceHotKeys(targets, stream);
    }
  }

  Placement AsFunction() const {
    return [shards = shards_, hot = hot_](std::uint64_t key_hash) {
      const auto it = hot.find(key_hash);
      return it != hot.end() ? it->second
                             : shards[core::ShardOf(key_hash, kShards)];
    };
  }

 private:
  void PlaceShards(const std::vector<Candidate>& targets,
                   const Stream& stream) {
    core::placement::PlacementInput input;
    input.candidates = targets;
    std::vector<double> loads(kShards, 0);
    for (const auto& [key_hash, count] : stream.counts) {
      const auto it = hot_.find(key_hash);
      if (it == hot_.end()) {
        loads[core::ShardOf(key_hash, kShards)] += count;
        continue;
      }
      for (Candidate& candidate : input.candidates) {
        candidate.other_load += candidate.id == it->second ? count : 0;
      }
    }
    // The number of rounds is limited, since two shards might otherwise be
    // exchanged endlessly.
    for (int n = 0; n < kKeys; ++n) {
      input.shards.clear();
      for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        input.shards.push_back({.owner = shards_[shard], .load = loads[shard]});
      }
      const auto moves = core::placement::PlaceShards(input);
      if (moves.empty()) {
        return;
      }
      for (const core::placement::ShardMove& it : moves) {
        shards_[it.shard] = it.to;
      }
    }
  }

  void PlaceHotKeys(const std::vector<Candidate>& targets,
                    const Stream& stream) {
    std::erase_if(hot_, [&](const auto& it) {
      return std::none_of(
          targets.begin(), targets.end(),
          [&](const Candidate& target) { return target.id == it.second; });
    });
    HotKeyInput input;
    input.candidates = targets;
    input.shard_owners = shards_;
    input.rates.per_second = kRequests;
    input.rates.shards.assign(kShards, 0);
    for (const auto& [key_hash, count] : stream.counts) {
      input.rates.shards[core::ShardOf(key_hash, kShards)] += count;
      input.rates.hottest.push_back({key_hash, static_cast<double>(count)});
    }
    std::partial_sort(input.rates.hottest.begin(),
                      input.rates.hottest.begin() + kReportedKeys,
                      input.rates.hottest.end(),
                      [](const auto& a, const auto& b) {
                        return a.per_second > b.per_second;
                      });
    input.rates.hottest.resize(kReportedKeys);
    // The number of rounds is limited, since two keys might otherwise be
    // exchanged endlessly.
    for (int n = 0; n < kKeys; ++n) {
      input.placed = hot_;
      const auto changes = core::placement::PlaceHotKeys(input, {});
      if (changes.empty()) {
        return;
      }
      for (const core::placement::HotKeyChange& it : changes) {
        if (it.to.empty()) {
          hot_.erase(it.key_hash);
        } else {
          hot_[it.key_hash] = it.to;
        }
      }
    }
  }

  std::vector<TargetId> shards_;
  std::map<std::uint64_t, TargetId> hot_;
};

void Run(Report& report) {
  const std::string setting = absl::StrCat(
      " (", kTargets, " targets, Zipf ", kZipfExponent, ", ", kKeys, " keys)");
  Figure imbalance = {.name = "imbalance, busiest over average" + setting,
                      .unit = "ratio",
                      .baseline_name = "plain modulo"};
  Figure imbalance_rendezvous = imbalance;
  imbalance_rendezvous.baseline_name = "rendezvous";
  Figure churn = {.name = "churn when a target is lost" + setting,
                  .unit = "part",
                  .baseline_name = "plain modulo",
                  .target = "about its share, 1/14 = 0.071"};
  Figure churn_rendezvous = churn;
  churn_rendezvous.baseline_name = "rendezvous";
  Figure joined = {.name = "churn when a target joins" + setting,
                   .unit = "part",
                   .baseline_name = "plain modulo",
                   .target = "at most its share, 1/14 = 0.071"};
  const std::vector<Candidate> all = MakeTargets(kTargets);
  const std::vector<Candidate> fewer = MakeTargets(kTargets - 1);
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Stream stream = MakeStream(seed);
    Table table;
    table.Converge(all, stream);
    const Placement before = table.AsFunction();
    table.Converge(fewer, stream);
    const Placement lost = table.AsFunction();
    table.Converge(all, stream);
    const Placement back = table.AsFunction();
    imbalance.values.push_back(Imbalance(stream, all, before));
    imbalance.baseline_values.push_back(Imbalance(stream, all, Modulo(all)));
    imbalance_rendezvous.baseline_values.push_back(
        Imbalance(stream, all, Rendezvous(all)));
    churn.values.push_back(Churn(stream, before, lost));
    churn.baseline_values.push_back(Churn(stream, Modulo(all), Modulo(fewer)));
    churn_rendezvous.baseline_values.push_back(
        Churn(stream, Rendezvous(all), Rendezvous(fewer)));
    joined.values.push_back(Churn(stream, lost, back));
    joined.baseline_values.push_back(Churn(stream, Modulo(fewer), Modulo(all)));
  }
  imbalance_rendezvous.values = imbalance.values;
  churn_rendezvous.values = churn.values;
  for (Figure* it : {&imbalance, &imbalance_rendezvous, &churn,
                     &churn_rendezvous, &joined}) {
    report.Add(*it);
  }
}

const Registration kRegistration("placement", Run);

}  // namespace
}  // namespace toucandock::bench
