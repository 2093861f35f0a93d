#include "core/control/replica.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::control {

Offset Replica::log_end() const {
  return std::max(read_end_, state_.next);
}

// Takes over a part of the log. Returns false when retention passed what this
// host needs and the part holds no checkpoint to start from.
bool Replica::AddEntries(const LogReadEvent& read) {
  const bool gap = read.first_retained > log_end();
  // A host that found an empty part of the log has no members yet. If another
  // fleet is alive, its leader's checkpoint may follow.
  const bool blank = !started_ || gap || state_.members.empty();
  if (blank && !StartFrom(read) && (!started_ || gap)) {
    return false;
  }
  for (const LogEntry& entry : read.entries) {
    if (entry.offset >= log_end()) {
      unfolded_.push_back(entry);
      read_end_ = entry.offset + 1;
    }
  }
  read_end_ = std::max(read_end_, read.end);
  return true;
}

// Starts from the latest checkpoint of the part, or from its first record when
// that is the beginning of the log.
bool Replica::StartFrom(const LogReadEvent& read) {
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
  unfolded_.clear();
  read_end_ = state_.next;
  started_ = true;
  ReadConfig();
  return true;
}

// Folds entries below `end`.
void Replica::FoldUpTo(Offset end) {
  const Offset founded = state_.founded;
  while (!unfolded_.empty() && unfolded_.front().offset < end) {
    const LogEntry entry = std::move(unfolded_.front());
    unfolded_.pop_front();
    NoteEarlySettles(entry);
    Fold(state_, entry);
  }
  state_.next = std::max(state_.next, std::min(end, read_end_));
  if (state_.founded != founded && directive_.founded < state_.founded) {
    set_directive(Directive{});
  }
  ReadConfig();
}

// Remembers what a settle record beyond the directive replaces: its author may
// not have waited for the old owner. A void record leaves an entry whose unit
// has no higher fence than before.
void Replica::NoteEarlySettles(const LogEntry& entry) {
  const auto* settle = std::get_if<SettleRecord>(&entry.record.body);
  if (settle == nullptr || entry.offset < directive_.effective) {
    return;
  }
  for (const UnitAssignment& it : settle->assignments) {
    const auto old = state_.assignments.find(it.unit);
    early_settles_.try_emplace(
        it.unit, EarlySettle{entry.offset, old == state_.assignments.end()
                                               ? Assignment{}
                                               : old->second});
  }
}

void Replica::FoldAll() {
  FoldUpTo(log_end());
}

// Puts a directive in force. Returns false when this host has not read the log
// far enough yet, or has folded records that the leader has not: their owners
// would show without the moves that lead to them.
bool Replica::Apply(const Directive& directive) {
  if (directive.effective > log_end() || directive.effective < state_.next) {
    return false;
  }
  FoldUpTo(directive.effective);
  if (directive.founded != state_.founded) {
    return false;
  }
  set_directive(directive);
  return true;
}

// Replaces the state by that of a peer, unless this host knows as much.
void Replica::Install(const StateReply& reply) {
  if (reply.state->founded < state_.founded ||
      reply.state->next <= state_.next) {
    return;
  }
  state_ = *reply.state;
  early_settles_.clear();
  std::erase_if(unfolded_, [this](const LogEntry& entry) {
    return entry.offset < state_.next;
  });
  read_end_ = std::max(read_end_, state_.next);
  started_ = true;
  ReadConfig();
  if (reply.directive.Position() > directive_.Position()) {
    Apply(reply.directive);
  }
}

void Replica::set_directive(Directive directive) {
  directive_ = std::move(directive);
  std::erase_if(early_settles_, [this](const auto& it) {
    return it.second.offset < directive_.effective;
  });
  move_index_.clear();
  for (size_t n = 0; n < directive_.moves.size(); ++n) {
    move_index_[directive_.moves[n].unit] = n;
  }
}

// Returns the move of the unit that is under way, or nullptr.
const UnitMove* Replica::MoveOf(const Unit& unit) const {
  const auto it = move_index_.find(unit);
  return it == move_index_.end() ? nullptr : &directive_.moves[it->second];
}

// Returns the assignment with the higher fence of the folded state and the
// directive. It counts only if no move of the unit is before its active phase.
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

// An accepted text that this binary cannot read leaves the earlier
// configuration in force; config_version() then shows the difference.
void Replica::ReadConfig() {
  if (state_.config_version == config_read_) {
    return;
  }
  config_read_ = state_.config_version;
  absl::StatusOr<config::Config> parsed =
      hooks_.parse_config(state_.config_text);
  if (!parsed.ok()) {
    return;
  }
  config_ = std::make_shared<const config::Config>(*std::move(parsed));
  config_version_ = config_read_;
}

}  // namespace toucandock::core::control
