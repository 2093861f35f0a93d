#include "observe/ownership_watch.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace toucandock::observe {
namespace {

using core::TargetId;
using core::Unit;
using core::control::LeaderState;
using core::control::MovePhase;
using core::control::Replica;
using core::control::UnitMove;

std::string CauseOf(const UnitMove* move, const LeaderState& leader_state) {
  const std::string by = absl::StrCat(", directive ", leader_state.sequence,
                                      " of host ", leader_state.ballot.host);
  if (move == nullptr) {
    return "read from the log";
  }
  if (move->from.empty()) {
    return "had no owner" + by;
  }
  return (move->planned ? "planned move" : "its owner was lost") + by;
}

}  // namespace

OwnershipWatch::OwnershipWatch(OwnershipHooks hooks)
    : hooks_(std::move(hooks)) {}

// Compares the replica with its state at the previous call. The first call with
// a configuration reports no changes of owners, as they were decided earlier.
void OwnershipWatch::Observe(const Replica& replica, bool is_leader) {
  const LeaderState& leader_state = replica.leader_state();
  if (!is_leader && leader_state.ballot != ballot_ &&
      !leader_state.ballot.host.empty()) {
    hooks_.decided(
        absl::StrCat("host ", leader_state.ballot.host,
                     " is the leader, ballot ", leader_state.ballot.number),
        "its directive was received");
  }
  ballot_ = leader_state.ballot;
  if (!is_leader) {
    ObserveTargets(leader_state);
  }
  lost_ = leader_state.lost;
  draining_ = leader_state.draining;
  for (const auto& [unit, assignment] : replica.state().assignments) {
    ObserveUnit(replica, unit, is_leader);
  }
  for (const UnitMove& move : leader_state.moves) {
    ObserveUnit(replica, move.unit, is_leader);
  }
  CountWithoutOwner(replica);
  started_ = replica.config() != nullptr;
}

void OwnershipWatch::ObserveUnit(const Replica& replica,
                                 const Unit& unit,
                                 bool is_leader) {
  const UnitMove* move = replica.MoveOf(unit);
  const core::control::Assignment assignment = replica.AssignmentOf(unit);
  UnitView after = {
      .owner = assignment.owner,
      .fence = assignment.fence,
      .moving = move != nullptr && move->phase != MovePhase::kActive};
  UnitView& known = units_[unit];
  if (known.owner == after.owner && known.fence == after.fence &&
      known.moving == after.moving) {
    return;
  }
  const bool finished = move == nullptr && known.moving;
  after.cause = finished ? known.cause : CauseOf(move, replica.leader_state());
  const TargetId last_owner = known.owner;
  known = std::move(after);
  if (is_leader) {
    if (!last_owner.empty() && last_owner != known.owner) {
      hooks_.owner_changed(unit.service);
    }
    return;
  }
  if (!started_) {
    return;
  }
  std::string what = absl::StrCat("unit ", core::ToString(unit));
  if (known.moving) {
    absl::StrAppend(&what, " moves from ",
                    move->from.empty() ? "nobody" : move->from, " to ");
  } else {
    absl::StrAppend(&what, " is served by ");
  }
  absl::StrAppend(&what, known.owner, ", fence ", known.fence);
  hooks_.decided(what, known.cause);
}

void OwnershipWatch::ObserveTargets(const LeaderState& leader_state) {
  const std::string cause = absl::StrCat("directive ", leader_state.sequence,
                                         " of host ", leader_state.ballot.host);
  const auto report = [&](const std::set<TargetId>& from,
                          const std::set<TargetId>& to, const char* change) {
    for (const TargetId& it : to) {
      if (!from.contains(it)) {
        hooks_.decided(absl::StrCat("target ", it, change), cause);
      }
    }
  };
  report(lost_, leader_state.lost, " lost");
  report(leader_state.lost, lost_, " back");
  report(draining_, leader_state.draining, " is draining");
}

void OwnershipWatch::CountWithoutOwner(const Replica& replica) {
  without_owner_.clear();
  if (replica.config() == nullptr) {
    return;
  }
  for (const auto& service : replica.config()->services) {
    if (!service.keyed) {
      continue;
    }
    for (std::uint64_t n = 0; n < service.shards; ++n) {
      const auto it = units_.find({service.name, n});
      if (it == units_.end() || it->second.owner.empty() || it->second.moving) {
        ++without_owner_[service.name];
      }
    }
    for (auto it = units_.lower_bound({service.name, core::kHotKeyBit});
         it != units_.end() && it->first.service == service.name; ++it) {
      without_owner_[service.name] += it->second.moving ? 1 : 0;
    }
  }
}

// Counts the time since the previous call for the units without an owner and,
// if the host has no lease, for the host.
void OwnershipWatch::Advance(core::TimePoint now, bool has_lease) {
  const core::Duration passed =
      advanced_to_ ? now - *advanced_to_ : core::Duration::zero();
  advanced_to_ = now;
  for (const auto& [service, units] : without_owner_) {
    if (units != 0) {
      hooks_.without_owner(service, passed * static_cast<int>(units));
    }
  }
  if (!has_lease) {
    hooks_.without_lease(passed);
  }
}

}  // namespace toucandock::observe
