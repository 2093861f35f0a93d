// The part of Leader that writes records.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/control/leader.h"

namespace toucandock::core::control {
namespace {

constexpr size_t kMaxRecordedAssignments = 1'024;
constexpr size_t kMaxVoters = 7;
constexpr Offset kCheckpointEvery = 1'000;
// A fleet without changes needs checkpoints as well, since retention removes
// records by age. This is a third of the shortest expected retention, half an
// hour.
constexpr Duration kCheckpointInterval = std::chrono::minutes(10);
constexpr Duration kEvictAfter = std::chrono::seconds(5);

}  // namespace

void Leader::WriteNextRecord(TimePoint now, Actions& out) {
  if (!writer_.idle()) {
    return;
  }
  std::optional<RecordBody> body = NextRecord(now);
  if (!body) {
    return;
  }
  writer_.Append(
      Record{.id = hooks_.new_record_id(),
             .author = self_.id,
             .ballot = ballot_,
             .previous_leader_record = replica_.state().last_leader_record,
             .body = *std::move(body)},
      now, out);
}

std::optional<RecordBody> Leader::NextRecord(TimePoint now) {
  if (replica_.state().ballot < ballot_) {
    return TermRecord{};
  }
  if (std::optional<RecordBody> body = NextAssignmentRecord()) {
    return body;
  }
  if (std::optional<RecordBody> body = NextPublishResult()) {
    return body;
  }
  if (std::optional<RecordBody> body = NextVoterChange(now)) {
    return body;
  }
  if (IsCheckpointDue(now)) {
    checkpoint_at_ = replica_.state().next;
    checkpoint_written_at_ = now;
    return CheckpointRecord{
        std::make_shared<const ControlState>(replica_.state())};
  }
  return std::nullopt;
}

// A checkpoint is also due as soon as retention has removed the last one that
// this leader knows of: new hosts cannot start without one.
bool Leader::IsCheckpointDue(TimePoint now) const {
  return replica_.state().next >= checkpoint_at_ + kCheckpointEvery ||
         first_retained_ > checkpoint_at_ ||
         now - checkpoint_written_at_ >= kCheckpointInterval;
}

std::optional<RecordBody> Leader::NextAssignmentRecord() const {
  AssignmentRecord assignment_record;
  for (const UnitMove& move : leader_state_.moves) {
    if (!IsMoveRecorded(move) &&
        assignment_record.assignments.size() < kMaxRecordedAssignments) {
      assignment_record.assignments.push_back({move.unit, move.to});
    }
  }
  if (assignment_record.assignments.empty()) {
    return std::nullopt;
  }
  return assignment_record;
}

// Decides about the oldest proposal. The result is written as a record, so that
// hosts with other software versions do not have to evaluate the proposal
// again.
std::optional<RecordBody> Leader::NextPublishResult() const {
  const ControlState& state = replica_.state();
  const auto it =
      std::min_element(state.proposals.begin(), state.proposals.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.offset < b.second.offset;
                       });
  if (it == state.proposals.end()) {
    return std::nullopt;
  }
  const auto& [id, proposal] = *it;
  std::string reason;
  if (proposal.publish.edited_from != state.config_version) {
    reason = absl::StrCat("config-conflict: the text was edited from version ",
                          proposal.publish.edited_from, ", but version ",
                          state.config_version, " by ", state.config_author,
                          " is in force");
  } else if (const auto parsed = hooks_.parse_config(proposal.publish.text);
             !parsed.ok()) {
    reason = absl::StrCat("config-invalid: ",
                          std::string(parsed.status().message()));
  }
  if (!reason.empty()) {
    return RefuseRecord{id, reason};
  }
  return AcceptRecord{id, state.config_version + 1};
}

// Voters change one at a time, and only after a majority has acknowledged the
// previous change; so any majorities of two successive memberships have a host
// in common. An even number of voters tolerates no more losses than the odd
// number below it, so hosts are admitted in a way that makes the number odd.
std::optional<RecordBody> Leader::NextVoterChange(TimePoint now) const {
  const ControlState& state = replica_.state();
  const std::vector<HostId> voters = Voters(state);
  if (VotersWhoAcked(voters_sequence_) < MajorityOf(voters.size())) {
    return std::nullopt;
  }
  std::vector<HostId> ready;
  for (const auto& [id, member] : state.members) {
    const auto it = holders_.find(id);
    const bool renewed_recently =
        it != holders_.end() && now - it->second.last_renewal_at < kEvictAfter;
    if (id != self_.id && (!renewed_recently || member.leaving)) {
      return EvictRecord{id};
    }
    if (renewed_recently && !member.votes && !it->second.leaving &&
        it->second.supports_until > now) {
      ready.push_back(id);
    }
  }
  const bool even = voters.size() % 2 == 0;
  const size_t wanted = even ? 1 : 2;
  if (voters.size() < kMaxVoters && ready.size() >= wanted) {
    return AdmitRecord{ready.front()};
  }
  return std::nullopt;
}

}  // namespace toucandock::core::control
