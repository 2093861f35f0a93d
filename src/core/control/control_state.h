#ifndef TOUCANDOCK_CORE_CONTROL_CONTROL_STATE_H_
#define TOUCANDOCK_CORE_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/control/records.h"

namespace toucandock::core::control {

struct MemberState {
  HostInfo host;
  bool votes = false;
  bool leaving = false;

  bool operator==(const MemberState&) const = default;
};

struct Proposal {
  Offset offset = 0;
  PublishRecord publish;
};

struct PublishResult {
  bool accepted = false;
  std::uint64_t version = 0;
  std::string reason;
  Offset offset = 0;
};

// Control state after applying all log records with offsets below `next`.
struct ControlState {
  Offset next = 0;
  // Offset of the last valid record that only a leader may write.
  Offset last_leader_record = 0;
  Ballot ballot;
  Fence next_fence = 1;
  std::map<HostId, MemberState> members;
  std::uint64_t config_version = 0;
  std::string config_text;
  std::string config_author;
  std::map<std::string, Proposal> proposals;
  // Results of the most recent publish attempts, by publish id.
  std::map<std::string, PublishResult> publish_results;
  std::map<Unit, Assignment> assignments;
  // Offset of the last record that changed the set of voters.
  Offset voters_changed = 0;
  // Offset of the record that created the current membership.
  Offset membership_offset = 0;
};

enum class ApplyResult {
  kApplied,
  // The author had already been replaced as leader, or the record does not
  // follow the last valid leader record.
  kStale,
  // Repeats an earlier record or refers to something that does not exist.
  kNoEffect,
};

ApplyResult ApplyEntry(ControlState& state, const LogEntry& entry);

std::optional<ControlState> StateFromCheckpoint(
    const std::vector<LogEntry>& entries);

std::vector<HostId> Voters(const ControlState& state);

size_t MajorityOf(size_t voters);

bool IsLeaderRecord(const RecordBody& body);

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_CONTROL_STATE_H_
