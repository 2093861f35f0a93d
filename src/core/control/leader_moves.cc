// The part of Leader that moves units between targets.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/control/leader.h"

namespace toucandock::core::control {
namespace {

// A planned move waits at most this long for requests in flight.
constexpr Duration kDrainLimit = std::chrono::seconds(10);

bool Contains(const std::vector<Unit>& units, const Unit& unit) {
  return std::find(units.begin(), units.end(), unit) != units.end();
}

}  // namespace

bool Leader::IsMoving(const Unit& unit) const {
  return std::any_of(leader_state_.moves.begin(), leader_state_.moves.end(),
                     [&](const UnitMove& it) {
                       return it.unit == unit && it.phase != MovePhase::kActive;
                     });
}

std::uint32_t Leader::PlannedMoves(const std::string& service) const {
  return std::count_if(leader_state_.moves.begin(), leader_state_.moves.end(),
                       [&](const UnitMove& it) {
                         return it.planned && it.unit.service == service &&
                                it.phase != MovePhase::kActive;
                       });
}

UnitMove& Leader::StartMove(const Unit& unit,
                            const TargetId& to,
                            TimePoint now,
                            Actions& out) {
  const Assignment current = replica_.AssignmentOf(unit);
  const UnitMove* replaced = replica_.MoveOf(unit);
  UnitMove move = {.unit = unit,
                   .to = {to, next_fence_++},
                   .from = current.owner,
                   .since = leader_state_.sequence + 1};
  if (replaced != nullptr && replaced->phase == MovePhase::kRevoking) {
    // The owner that was chosen before has not received a grant.
    move.from = replaced->from;
    move.after = replaced->after;
  }
  move.planned = !move.from.empty() && !leader_state_.lost.contains(move.from);
  std::erase_if(leader_state_.moves,
                [&](const UnitMove& it) { return it.unit == unit; });
  const char* cause = move.from.empty() ? "had no owner"
                      : move.planned    ? "rebalanced or drained"
                                        : "its owner was lost";
  out.push_back(
      DecisionAction{absl::StrCat("unit ", ToString(unit), " moves from ",
                                  move.from.empty() ? "nobody" : move.from,
                                  " to ", to, ", fence ", move.to.fence),
                     cause});
  leader_state_.moves.push_back(std::move(move));
  move_started_[unit] = now;
  changed_ = true;
  return leader_state_.moves.back();
}

void Leader::ProgressMoves(TimePoint now, Actions& out) {
  for (UnitMove& move : leader_state_.moves) {
    if (!ProgressMove(move, now)) {
      continue;
    }
    changed_ = true;
    if (move.phase == MovePhase::kActive) {
      out.push_back(DecisionAction{
          absl::StrCat("unit ", ToString(move.unit), " is served by ",
                       move.to.owner, ", fence ", move.to.fence),
          "the old owner and all hosts released it"});
    }
  }
}

// Returns whether the move entered its next phase.
bool Leader::ProgressMove(UnitMove& move, TimePoint now) {
  switch (move.phase) {
    case MovePhase::kRevoking:
      if (!IsRevokedEverywhere(move, now) || !IsDurable(move, now) ||
          (move.after && IsMoving(*move.after))) {
        return false;
      }
      move.phase =
          move.to.owner.empty() ? MovePhase::kActive : MovePhase::kGranting;
      return true;
    case MovePhase::kGranting:
      if (!targets_.IsGranted(move.to.owner, {move.unit, move.to.fence})) {
        return false;
      }
      move.phase = MovePhase::kActive;
      return true;
    case MovePhase::kActive:
      return false;
  }
  return false;
}

bool Leader::IsRevokedEverywhere(const UnitMove& move, TimePoint now) const {
  if (move.since > leader_state_.sequence || now < earlier_leases_end_) {
    return false;
  }
  const auto earlier = possible_earlier_owners_.find(move.unit);
  if (earlier != possible_earlier_owners_.end() &&
      !std::all_of(earlier->second.begin(), earlier->second.end(),
                   [&](const TargetId& id) {
                     return id == move.to.owner || targets_.IsReleased(id, now);
                   })) {
    return false;
  }
  const bool drain =
      move.planned && now - move_started_.at(move.unit) < kDrainLimit;
  for (const auto& [id, holder] : holders_) {
    const bool has_released = holder.acked_sequence >= move.since &&
                              !(drain && Contains(holder.busy, move.unit));
    if (!has_released && now < holder.lease_ends) {
      return false;
    }
  }
  return move.from.empty() || targets_.IsReleased(move.from, now);
}

// An assignment is durable once a majority of the voters has acknowledged it
// and, unless the log is unavailable or slow, the log contains it. The log
// alone is not enough: a successor may be elected before it has read the log up
// to this record.
bool Leader::IsDurable(const UnitMove& move, TimePoint now) const {
  return (IsMoveRecorded(move) || writer_.IsLogSlow(now)) &&
         VotersWhoAcked(move.since) >=
             MajorityOf(Voters(replica_.state()).size());
}

bool Leader::IsMoveRecorded(const UnitMove& move) const {
  const auto& assignments = replica_.state().assignments;
  const auto it = assignments.find(move.unit);
  if (move.to.owner.empty()) {
    return it == assignments.end();
  }
  return it != assignments.end() && it->second.fence >= move.to.fence;
}

void Leader::DropFinishedMoves() {
  const size_t n =
      std::erase_if(leader_state_.moves, [this](const UnitMove& it) {
        if (it.phase != MovePhase::kActive || !IsMoveRecorded(it)) {
          return false;
        }
        move_started_.erase(it.unit);
        possible_earlier_owners_.erase(it.unit);
        return true;
      });
  changed_ = changed_ || n > 0;
}

}  // namespace toucandock::core::control
