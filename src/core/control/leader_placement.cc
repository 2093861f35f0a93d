#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/control/leader.h"

// The part of Leader that places units: it decides which targets may own which
// units, and starts the moves that follow.
namespace toucandock::core::control {
namespace {

// Interval at which planned moves are considered for a service. Shards and hot
// keys without an owner are placed without this wait.
constexpr Duration kBalanceInterval = std::chrono::seconds(5);
constexpr std::uint32_t kMinPlannedMoves = 4;
// At most one in this many shards of a service may be in a planned move at a
// time.
constexpr std::uint32_t kShardsPerPlannedMove = 64;
// Minimum load of a shard as a fraction of the average load, so that shards
// without requests are spread as well.
constexpr double kMinShardLoad = 0.2;
constexpr double kMinTolerance = 0.10;
// Differences below three standard deviations of a Poisson count are treated as
// random.
constexpr double kDeviations = 3;

}  // namespace

void Leader::PlaceService(const config::ServiceConfig& service,
                          TimePoint now,
                          Actions& out) {
  std::vector<placement::Candidate> candidates;
  for (const config::TargetConfig& target : service.targets) {
    const TargetId id = config::MakeTargetId(service, target);
    if (!targets_.WasContacted(id)) {
      // Placing units before all targets have been contacted would move many of
      // them a second time.
      return;
    }
    if (targets_.MayOwn(id)) {
      candidates.push_back({.id = id,
                            .failure_domain = target.failure_domain,
                            .weight = targets_.WeightOf(id, now),
                            .accepts = targets_.IsUsable(id)});
    }
  }
  const bool balance = now >= balance_at_[service.name];
  if (balance) {
    balance_at_[service.name] = now + kBalanceInterval;
  }
  PlaceShards(service, candidates, balance, out, now);
  PlaceHotKeys(service, candidates, balance, out, now);
}

void Leader::PlaceShards(const config::ServiceConfig& service,
                         const std::vector<placement::Candidate>& candidates,
                         bool balance,
                         Actions& out,
                         TimePoint now) {
  placement::PlacementInput input;
  input.candidates = candidates;
  input.shards.resize(service.shards);
  for (std::uint64_t n = 0; n < service.shards; ++n) {
    const Unit unit{service.name, n};
    const UnitMove* move = replica_.MoveOf(unit);
    // A move whose new owner was lost must be replaced.
    input.shards[n].moving = move != nullptr &&
                             move->phase != MovePhase::kActive &&
                             targets_.MayOwn(move->to.owner);
    input.shards[n].owner = replica_.AssignmentOf(unit).owner;
  }
  input.max_planned_moves = 0;
  if (balance) {
    const std::uint32_t limit =
        std::max(kMinPlannedMoves, service.shards / kShardsPerPlannedMove);
    input.max_planned_moves =
        limit - std::min(limit, PlannedMoves(service.name));
    AddLoads(service, input);
  }
  for (const placement::ShardMove& it : placement::PlaceShards(input)) {
    StartMove({service.name, it.shard}, it.to, now, out);
  }
}

// Weighs shards by their measured request rates, without the rates of hot keys
// that have an owner of their own.
void Leader::AddLoads(const config::ServiceConfig& service,
                      placement::PlacementInput& input) const {
  const placement::ServiceRates rates = loads_.RatesOf(service.name);
  if (rates.shards.size() != service.shards || rates.per_second <= 0) {
    return;
  }
  std::vector<double> loads = rates.shards;
  const std::map<std::uint64_t, TargetId> placed = PlacedHotKeys(service.name);
  for (const placement::KeyRate& it : rates.hottest) {
    const auto found = placed.find(it.key_hash);
    if (found == placed.end()) {
      continue;
    }
    double& shard = loads[ShardOf(it.key_hash, service.shards)];
    shard = std::max(0.0, shard - it.per_second);
    for (placement::Candidate& candidate : input.candidates) {
      candidate.other_load += candidate.id == found->second ? it.per_second : 0;
    }
  }
  const double min_shard_load =
      kMinShardLoad * rates.per_second / service.shards;
  for (std::uint64_t n = 0; n < service.shards; ++n) {
    input.shards[n].load = min_shard_load + loads[n];
  }
  const double requests_per_target =
      rates.per_second *
      std::chrono::duration<double>(LoadTable::kTimeConstant).count() /
      static_cast<double>(std::max<size_t>(1, input.candidates.size()));
  input.tolerance =
      std::max(kMinTolerance, kDeviations / std::sqrt(requests_per_target));
}

void Leader::PlaceHotKeys(const config::ServiceConfig& service,
                          const std::vector<placement::Candidate>& candidates,
                          bool balance,
                          Actions& out,
                          TimePoint now) {
  placement::HotKeyInput input;
  input.placed = PlacedHotKeys(service.name);
  if (input.placed.empty() && !balance) {
    return;
  }
  input.candidates = candidates;
  for (std::uint64_t n = 0; n < service.shards; ++n) {
    input.shard_owners.push_back(
        replica_.AssignmentOf({service.name, n}).owner);
  }
  for (const UnitMove& it : leader_state_.moves) {
    if (it.unit.service == service.name && IsHotKey(it.unit) &&
        it.phase != MovePhase::kActive &&
        (it.to.owner.empty() || targets_.MayOwn(it.to.owner))) {
      input.moving.push_back(it.unit.number & ~kHotKeyBit);
    }
  }
  input.rates = loads_.RatesOf(service.name);
  placement::HotKeyOptions options;
  if (!balance) {
    options.max_changes = 0;
  }
  for (const placement::HotKeyChange& it :
       placement::PlaceHotKeys(input, options)) {
    ChangeHotKey(service, it, now, out);
  }
}

// When a key leaves or rejoins its shard, the shard gets a new fence as well,
// so that a late request under the old fence is rejected.
void Leader::ChangeHotKey(const config::ServiceConfig& service,
                          const placement::HotKeyChange& change,
                          TimePoint now,
                          Actions& out) {
  const Unit key{service.name, HotKeyNumber(change.key_hash)};
  const Unit shard{service.name, ShardOf(change.key_hash, service.shards)};
  const bool placed = !replica_.AssignmentOf(key).owner.empty();
  const TargetId shard_owner = replica_.AssignmentOf(shard).owner;
  if ((!placed || change.to.empty()) && IsMoving(shard)) {
    return;
  }
  UnitMove& move = StartMove(key, change.to, now, out);
  if (!placed) {
    move.from = shard_owner;
    move.planned = true;
  }
  if (placed && !change.to.empty()) {
    return;
  }
  UnitMove& raised = StartMove(shard, shard_owner, now, out);
  if (change.to.empty()) {
    raised.after = key;
  }
}

std::map<std::uint64_t, TargetId> Leader::PlacedHotKeys(
    const std::string& service) const {
  std::map<std::uint64_t, TargetId> placed;
  const auto& assignments = replica_.state().assignments;
  for (auto it = assignments.lower_bound({service, kHotKeyBit});
       it != assignments.end() && it->first.service == service; ++it) {
    placed[it->first.number & ~kHotKeyBit] =
        replica_.AssignmentOf(it->first).owner;
  }
  for (const UnitMove& it : leader_state_.moves) {
    if (it.unit.service == service && IsHotKey(it.unit)) {
      placed[it.unit.number & ~kHotKeyBit] = it.to.owner;
    }
  }
  return placed;
}

}  // namespace toucandock::core::control
