#include "core/control/replica.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::control {

Offset Replica::log_end() const {
  return std::max(read_end_, state_.next);
}

// Adds consecutive log entries. Returns false when retention has removed
// records that this host needs and the entries contain no checkpoint to start
// from.
bool Replica::AddEntries(const LogReadEvent& read) {
  const bool gap = read.first_retained > log_end();
  // A host that found no records in the log has no members yet. If another
  // fleet is running, a checkpoint of its leader may follow.
  const bool may_initialize = !started_ || gap || state_.members.empty();
  if (may_initialize && !InitializeFrom(read) && (!started_ || gap)) {
    return false;
  }
  for (const LogEntry& entry : read.entries) {
    if (entry.offset >= log_end()) {
      unapplied_.push_back(entry);
      read_end_ = entry.offset + 1;
    }
  }
  read_end_ = std::max(read_end_, read.end);
  return true;
}

// Starts from the latest checkpoint among the entries, or from the first entry
// when the log begins with it.
bool Replica::InitializeFrom(const LogReadEvent& read) {
  std::optional<ControlState> checkpoint = StateFromCheckpoint(read.entries);
  const bool needed = !started_ || read.first_retained > log_end();
  if (checkpoint) {
    state_ = *std::move(checkpoint);
  } else if (needed && (read.first_retained == 0 || read.entries.empty())) {
    state_ = ControlState{};
    state_.next = read.first_retained;
  } else {
    return false;
  }
  unapplied_.clear();
  read_end_ = state_.next;
  started_ = true;
  ReadConfig();
  return true;
}

// Applies entries with offsets below `end`.
void Replica::ApplyUpTo(Offset end) {
  const Offset membership_offset = state_.membership_offset;
  while (!unapplied_.empty() && unapplied_.front().offset < end) {
    const LogEntry entry = std::move(unapplied_.front());
    unapplied_.pop_front();
    NoteEarlyAssignments(entry);
    ApplyEntry(state_, entry);
  }
  state_.next = std::max(state_.next, std::min(end, read_end_));
  if (state_.membership_offset != membership_offset &&
      leader_state_.membership_offset < state_.membership_offset) {
    set_leader_state(LeaderState{});
  }
  ReadConfig();
}

// Keeps the previous assignments of units that an assignment record beyond the
// commit offset changes: its author may not have waited for the old owners to
// release them. If the record turns out to be invalid, the unit's current fence
// is not higher than the kept one.
void Replica::NoteEarlyAssignments(const LogEntry& entry) {
  const auto* assignment_record =
      std::get_if<AssignmentRecord>(&entry.record.body);
  if (assignment_record == nullptr ||
      entry.offset < leader_state_.commit_offset) {
    return;
  }
  for (const UnitAssignment& it : assignment_record->assignments) {
    const auto old = state_.assignments.find(it.unit);
    early_assignments_.try_emplace(
        it.unit, EarlyAssignment{entry.offset, old == state_.assignments.end()
                                                   ? Assignment{}
                                                   : old->second});
  }
}

void Replica::ApplyAll() {
  ApplyUpTo(log_end());
}

// Makes a leader state effective. Returns false when this host has not read the
// log up to the commit offset yet, or has applied records beyond it: the owners
// from those records would be visible without the moves that lead to them.
bool Replica::Apply(const LeaderState& leader_state) {
  if (leader_state.commit_offset > log_end() ||
      leader_state.commit_offset < state_.next) {
    return false;
  }
  ApplyUpTo(leader_state.commit_offset);
  if (leader_state.membership_offset != state_.membership_offset) {
    return false;
  }
  set_leader_state(leader_state);
  return true;
}

// Replaces the state by that of a peer, unless this host's state is at least as
// recent.
void Replica::InstallState(const StateReply& reply) {
  if (reply.state->membership_offset < state_.membership_offset ||
      reply.state->next <= state_.next) {
    return;
  }
  state_ = *reply.state;
  early_assignments_.clear();
  std::erase_if(unapplied_, [this](const LogEntry& entry) {
    return entry.offset < state_.next;
  });
  read_end_ = std::max(read_end_, state_.next);
  started_ = true;
  ReadConfig();
  if (reply.leader_state.Position() > leader_state_.Position()) {
    Apply(reply.leader_state);
  }
}

void Replica::set_leader_state(LeaderState leader_state) {
  leader_state_ = std::move(leader_state);
  std::erase_if(early_assignments_, [this](const auto& it) {
    return it.second.offset < leader_state_.commit_offset;
  });
  move_index_.clear();
  for (size_t n = 0; n < leader_state_.moves.size(); ++n) {
    move_index_[leader_state_.moves[n].unit] = n;
  }
}

// Returns the unit's move in progress, or nullptr.
const UnitMove* Replica::MoveOf(const Unit& unit) const {
  const auto it = move_index_.find(unit);
  return it == move_index_.end() ? nullptr : &leader_state_.moves[it->second];
}

// Returns the unit's assignment from the applied log or the leader state,
// whichever has the higher fence. The assignment is effective only if the unit
// has no move that is still before its active phase.
Assignment Replica::AssignmentOf(const Unit& unit) const {
  Assignment result;
  const auto it = state_.assignments.find(unit);
  if (it != state_.assignments.end()) {
    result = it->second;
  }
  const UnitMove* move = MoveOf(unit);
  if (move != nullptr && move->to.fence >= result.fence) {
    result = move->to;
  }
  return result;
}

// Parses the accepted configuration. If this binary cannot read it, the earlier
// configuration stays in force, and config_version() stays below the accepted
// version.
void Replica::ReadConfig() {
  if (state_.config_version == last_parsed_version_) {
    return;
  }
  last_parsed_version_ = state_.config_version;
  absl::StatusOr<config::Config> parsed =
      hooks_.parse_config(state_.config_text);
  if (!parsed.ok()) {
    return;
  }
  config_ = std::make_shared<const config::Config>(*std::move(parsed));
  config_version_ = last_parsed_version_;
}

}  // namespace toucandock::core::control
