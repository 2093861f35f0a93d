#include "core/control/control_state.h"

#include <algorithm>

namespace toucandock::core::control {
namespace {

constexpr size_t kMaxProposals = 16;
constexpr size_t kMaxVerdicts = 64;
// Elections between two foundations; those of a log outage leave no record.
constexpr int kBallotBits = 20;

Fence FirstFenceOfGeneration(Offset offset) {
  return (offset + 1) << kFenceCounterBits;
}

// Applies the body of a record whose ballot and order were already checked.
class Folder {
 public:
  Folder(ControlState& state, const LogEntry& entry)
      : state_(state), entry_(entry), record_(entry.record) {}

  FoldResult operator()(const JoinRecord& body) {
    if (state_.members.contains(body.host.id)) {
      return FoldResult::kVoid;
    }
    if (state_.members.empty()) {
      Found({body.host});
      return FoldResult::kApplied;
    }
    state_.members[body.host.id] = MemberState{.host = body.host};
    return FoldResult::kApplied;
  }

  FoldResult operator()(const LeaveRecord& body) {
    const auto it = state_.members.find(body.host);
    if (it == state_.members.end() || record_.author != body.host) {
      return FoldResult::kVoid;
    }
    // The vote is only taken away by an evict record: voters change one at a
    // time, in the leader's order.
    if (it->second.votes) {
      it->second.leaving = true;
    } else {
      state_.members.erase(it);
    }
    return FoldResult::kApplied;
  }

  FoldResult operator()(const AdmitRecord& body) {
    const auto it = state_.members.find(body.host);
    if (it == state_.members.end() || it->second.votes) {
      return FoldResult::kVoid;
    }
    it->second.votes = true;
    state_.voters_changed = entry_.offset;
    return FoldResult::kApplied;
  }

  FoldResult operator()(const EvictRecord& body) {
    const auto it = state_.members.find(body.host);
    if (it == state_.members.end()) {
      return FoldResult::kVoid;
    }
    if (it->second.votes) {
      state_.voters_changed = entry_.offset;
    }
    state_.members.erase(it);
    return FoldResult::kApplied;
  }

  FoldResult operator()(const TermRecord&) {
    state_.ballot = record_.ballot;
    return FoldResult::kApplied;
  }

  FoldResult operator()(const PublishRecord& body) {
    if (state_.proposals.contains(record_.id) ||
        state_.verdicts.contains(record_.id) ||
        state_.proposals.size() >= kMaxProposals) {
      return FoldResult::kVoid;
    }
    state_.proposals[record_.id] = Proposal{entry_.offset, body};
    return FoldResult::kApplied;
  }

  FoldResult operator()(const AcceptRecord& body) {
    const auto it = state_.proposals.find(body.publish_id);
    if (it == state_.proposals.end() ||
        body.version != state_.config_version + 1 ||
        it->second.publish.edited_from != state_.config_version) {
      return FoldResult::kVoid;
    }
    state_.config_version = body.version;
    state_.config_text = it->second.publish.text;
    state_.config_author = it->second.publish.author;
    state_.proposals.erase(it);
    AddVerdict(body.publish_id, {.accepted = true, .version = body.version});
    return FoldResult::kApplied;
  }

  FoldResult operator()(const RefuseRecord& body) {
    if (state_.proposals.erase(body.publish_id) == 0) {
      return FoldResult::kVoid;
    }
    AddVerdict(body.publish_id,
               {.version = state_.config_version, .reason = body.reason});
    return FoldResult::kApplied;
  }

  FoldResult operator()(const SettleRecord& body) {
    for (const UnitAssignment& it : body.assignments) {
      Assignment& current = state_.assignments[it.unit];
      if (it.to.fence > current.fence) {
        current = it.to;
      }
      if (current.owner.empty()) {
        // The hot key is part of its shard again.
        state_.assignments.erase(it.unit);
      }
      state_.next_fence = std::max(state_.next_fence, it.to.fence + 1);
    }
    return FoldResult::kApplied;
  }

  FoldResult operator()(const ReformRecord& body) {
    if (body.voters.empty()) {
      return FoldResult::kVoid;
    }
    Found(body.voters);
    return FoldResult::kApplied;
  }

  FoldResult operator()(const CheckpointRecord&) {
    return FoldResult::kApplied;
  }

 private:
  // Starts a membership anew. The ballot rises, so that no record of an
  // earlier leader is valid any more.
  void Found(const std::vector<HostInfo>& voters) {
    std::erase_if(state_.members,
                  [](const auto& it) { return it.second.votes; });
    for (const HostInfo& host : voters) {
      state_.members[host.id] = MemberState{.host = host, .votes = true};
    }
    // Targets and hosts may have seen ballots that the log does not show, so
    // the number follows from the offset like a fence.
    state_.ballot = Ballot{
        std::max(state_.ballot.number + 1, (entry_.offset + 1) << kBallotBits),
        ""};
    state_.next_fence =
        std::max(state_.next_fence, FirstFenceOfGeneration(entry_.offset));
    state_.last_leader_record = entry_.offset;
    state_.voters_changed = entry_.offset;
    state_.founded = entry_.offset;
  }

  void AddVerdict(const std::string& publish_id, ConfigVerdict verdict) {
    verdict.offset = entry_.offset;
    state_.verdicts[publish_id] = std::move(verdict);
    if (state_.verdicts.size() <= kMaxVerdicts) {
      return;
    }
    state_.verdicts.erase(
        std::min_element(state_.verdicts.begin(), state_.verdicts.end(),
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
  if (record.builds_on != state.last_leader_record) {
    return false;
  }
  if (std::holds_alternative<ReformRecord>(record.body)) {
    return true;
  }
  if (std::holds_alternative<TermRecord>(record.body)) {
    return record.ballot > state.ballot;
  }
  return record.ballot == state.ballot;
}

}  // namespace

// Applies one record. All hosts fold the same records with this function and
// so agree which of them are valid.
FoldResult Fold(ControlState& state, const LogEntry& entry) {
  state.next = entry.offset + 1;
  if (!IsInOrder(state, entry.record)) {
    return FoldResult::kStale;
  }
  const FoldResult result = std::visit(Folder(state, entry), entry.record.body);
  if (result == FoldResult::kApplied && IsLeaderRecord(entry.record.body)) {
    state.last_leader_record = entry.offset;
  }
  return result;
}

// Returns the state after the latest valid checkpoint among consecutive
// entries. A checkpoint of a replaced leader may land late and be the last
// record; it is void, which shows when the records between its author's
// position and itself are folded. They have to be among the entries.
std::optional<ControlState> StateFromCheckpoint(
    const std::vector<LogEntry>& entries) {
  for (size_t n = entries.size(); n-- > 0;) {
    const auto* body = std::get_if<CheckpointRecord>(&entries[n].record.body);
    if (body == nullptr || body->state->next < entries.front().offset) {
      continue;
    }
    ControlState state = *body->state;
    FoldResult result = FoldResult::kVoid;
    for (size_t i = 0; i <= n; ++i) {
      if (entries[i].offset >= state.next) {
        result = Fold(state, entries[i]);
      }
    }
    if (result == FoldResult::kApplied) {
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

// Returns whether only a leader may write such a record (or, for a reform
// record, a host that replaces the leader).
bool IsLeaderRecord(const RecordBody& body) {
  return !std::holds_alternative<JoinRecord>(body) &&
         !std::holds_alternative<LeaveRecord>(body) &&
         !std::holds_alternative<PublishRecord>(body);
}

}  // namespace toucandock::core::control
