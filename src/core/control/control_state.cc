#include "core/control/control_state.h"

#include <algorithm>

namespace toucandock::core::control {
namespace {

constexpr size_t kMaxProposals = 16;
constexpr size_t kMaxPublishResults = 64;
// Bits of a ballot number that are left for the elections between two new
// memberships. Elections during a log outage leave no record, so the log does
// not show how many there were.
constexpr int kBallotBits = 20;

Fence FirstFenceOfGeneration(Offset offset) {
  return (offset + 1) << kFenceCounterBits;
}

// Applies the body of a record whose ballot and order were already checked.
class EntryApplier {
 public:
  EntryApplier(ControlState& state, const LogEntry& entry)
      : state_(state), entry_(entry), record_(entry.record) {}

  ApplyResult operator()(const JoinRecord& body) {
    if (state_.members.contains(body.host.id)) {
      return ApplyResult::kNoEffect;
    }
    if (state_.members.empty()) {
      CreateMembership({body.host});
      return ApplyResult::kApplied;
    }
    state_.members[body.host.id] = MemberState{.host = body.host};
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const LeaveRecord& body) {
    const auto it = state_.members.find(body.host);
    if (it == state_.members.end() || record_.author != body.host) {
      return ApplyResult::kNoEffect;
    }
    // Only an evict record takes away the vote: voters change one at a time, in
    // an order that the leader decides.
    if (it->second.votes) {
      it->second.leaving = true;
    } else {
      state_.members.erase(it);
    }
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const AdmitRecord& body) {
    const auto it = state_.members.find(body.host);
    if (it == state_.members.end() || it->second.votes) {
      return ApplyResult::kNoEffect;
    }
    it->second.votes = true;
    state_.voters_changed = entry_.offset;
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const EvictRecord& body) {
    const auto it = state_.members.find(body.host);
    if (it == state_.members.end()) {
      return ApplyResult::kNoEffect;
    }
    if (it->second.votes) {
      state_.voters_changed = entry_.offset;
    }
    state_.members.erase(it);
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const TermRecord&) {
    state_.ballot = record_.ballot;
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const PublishRecord& body) {
    if (state_.proposals.contains(record_.id) ||
        state_.publish_results.contains(record_.id) ||
        state_.proposals.size() >= kMaxProposals) {
      return ApplyResult::kNoEffect;
    }
    state_.proposals[record_.id] = Proposal{entry_.offset, body};
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const AcceptRecord& body) {
    const auto it = state_.proposals.find(body.publish_id);
    if (it == state_.proposals.end() ||
        body.version != state_.config_version + 1 ||
        it->second.publish.edited_from != state_.config_version) {
      return ApplyResult::kNoEffect;
    }
    state_.config_version = body.version;
    state_.config_text = it->second.publish.text;
    state_.config_author = it->second.publish.author;
    state_.proposals.erase(it);
    AddPublishResult(body.publish_id,
                     {.accepted = true, .version = body.version});
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const RefuseRecord& body) {
    if (state_.proposals.erase(body.publish_id) == 0) {
      return ApplyResult::kNoEffect;
    }
    AddPublishResult(body.publish_id,
                     {.version = state_.config_version, .reason = body.reason});
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const AssignmentRecord& body) {
    for (const UnitAssignment& it : body.assignments) {
      Assignment& current = state_.assignments[it.unit];
      if (it.to.fence > current.fence) {
        current = it.to;
      }
      if (current.owner.empty()) {
        // Without an owner of its own, the hot key belongs to its shard again.
        state_.assignments.erase(it.unit);
      }
      state_.next_fence = std::max(state_.next_fence, it.to.fence + 1);
    }
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const NewMembershipRecord& body) {
    if (body.voters.empty()) {
      return ApplyResult::kNoEffect;
    }
    CreateMembership(body.voters);
    return ApplyResult::kApplied;
  }

  ApplyResult operator()(const CheckpointRecord&) {
    return ApplyResult::kApplied;
  }

 private:
  // Creates a new membership with these voters. The ballot is raised, which
  // makes records of all earlier leaders invalid.
  void CreateMembership(const std::vector<HostInfo>& voters) {
    std::erase_if(state_.members,
                  [](const auto& it) { return it.second.votes; });
    for (const HostInfo& host : voters) {
      state_.members[host.id] = MemberState{.host = host, .votes = true};
    }
    // Targets and hosts may have seen ballots of elections that are not in the
    // log, so the ballot number is derived from the offset, as fences are.
    state_.ballot = Ballot{
        std::max(state_.ballot.number + 1, (entry_.offset + 1) << kBallotBits),
        ""};
    state_.next_fence =
        std::max(state_.next_fence, FirstFenceOfGeneration(entry_.offset));
    state_.last_leader_record = entry_.offset;
    state_.voters_changed = entry_.offset;
    state_.membership_offset = entry_.offset;
  }

  void AddPublishResult(const std::string& publish_id,
                        PublishResult publish_result) {
    publish_result.offset = entry_.offset;
    state_.publish_results[publish_id] = std::move(publish_result);
    if (state_.publish_results.size() <= kMaxPublishResults) {
      return;
    }
    state_.publish_results.erase(std::min_element(
        state_.publish_results.begin(), state_.publish_results.end(),
        [](const auto& a, const auto& b) {
          return a.second.offset < b.second.offset;
        }));
  }

  ControlState& state_;
  const LogEntry& entry_;
  const Record& record_;
};

bool IsInOrder(const ControlState& state, const Record& record) {
  if (!IsLeaderRecord(record.body)) {
    return true;
  }
  if (record.previous_leader_record != state.last_leader_record) {
    return false;
  }
  if (std::holds_alternative<NewMembershipRecord>(record.body)) {
    return true;
  }
  if (std::holds_alternative<TermRecord>(record.body)) {
    return record.ballot > state.ballot;
  }
  return record.ballot == state.ballot;
}

}  // namespace

// Applies one record. All hosts apply the same records with this function and
// therefore agree on which of them are valid.
ApplyResult ApplyEntry(ControlState& state, const LogEntry& entry) {
  state.next = entry.offset + 1;
  if (!IsInOrder(state, entry.record)) {
    return ApplyResult::kStale;
  }
  const ApplyResult result =
      std::visit(EntryApplier(state, entry), entry.record.body);
  if (result == ApplyResult::kApplied && IsLeaderRecord(entry.record.body)) {
    state.last_leader_record = entry.offset;
  }
  return result;
}

// Returns the state after the latest valid checkpoint among consecutive
// entries. A checkpoint of a replaced leader may be appended late and be the
// last record. Such a checkpoint is invalid, which becomes apparent when the
// records between its author's position and the checkpoint are applied; the
// entries have to contain all of these records.
std::optional<ControlState> StateFromCheckpoint(
    const std::vector<LogEntry>& entries) {
  for (size_t n = entries.size(); n-- > 0;) {
    const auto* body = std::get_if<CheckpointRecord>(&entries[n].record.body);
    if (body == nullptr || body->state->next < entries.front().offset) {
      continue;
    }
    ControlState state = *body->state;
    ApplyResult result = ApplyResult::kNoEffect;
    for (size_t i = 0; i <= n; ++i) {
      if (entries[i].offset >= state.next) {
        result = ApplyEntry(state, entries[i]);
      }
    }
    if (result == ApplyResult::kApplied) {
      return state;
    }
  }
  return std::nullopt;
}

std::vector<HostId> Voters(const ControlState& state) {
  std::vector<HostId> voters;
  for (const auto& [id, member] : state.members) {
    if (member.votes) {
      voters.push_back(id);
    }
  }
  return voters;
}

size_t MajorityOf(size_t voters) {
  return voters / 2 + 1;
}

// Returns whether only a leader may write such a record (or, for a
// new-membership record, a host that replaces the leader).
bool IsLeaderRecord(const RecordBody& body) {
  return !std::holds_alternative<JoinRecord>(body) &&
         !std::holds_alternative<LeaveRecord>(body) &&
         !std::holds_alternative<PublishRecord>(body);
}

}  // namespace toucandock::core::control
