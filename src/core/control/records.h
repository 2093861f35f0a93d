#ifndef TOUCANDOCK_CORE_CONTROL_RECORDS_H_
#define TOUCANDOCK_CORE_CONTROL_RECORDS_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/unit.h"

namespace toucandock::core::control {

struct ControlState;

// Identifies an election and its candidate. Ballots are ordered, and a higher
// ballot supersedes a lower one.
struct Ballot {
  std::uint64_t number = 0;
  HostId host;

  auto operator<=>(const Ballot&) const = default;
};

// An entry host and where to reach it.
struct HostInfo {
  HostId id;
  std::string peer_address;
  std::string caller_address;
  std::string failure_domain;

  bool operator==(const HostInfo&) const = default;
};

struct Assignment {
  TargetId owner;
  Fence fence = 0;

  bool operator==(const Assignment&) const = default;
};

struct UnitAssignment {
  Unit unit;
  Assignment to;

  bool operator==(const UnitAssignment&) const = default;
};

// The host becomes a member of the fleet with this record, at first without a
// vote.
struct JoinRecord {
  HostInfo host;
};

// Written by the host itself at a planned stop.
struct LeaveRecord {
  HostId host;
};

// The host becomes a voter with this record.
struct AdmitRecord {
  HostId host;
};

struct EvictRecord {
  HostId host;
};

// The author becomes the leader with this record.
struct TermRecord {};

// An operator's proposal for the next configuration.
struct PublishRecord {
  std::string text;
  std::string author;
  std::uint64_t edited_from = 0;
};

struct AcceptRecord {
  std::string publish_id;
  std::uint64_t version = 0;
};

struct RefuseRecord {
  std::string publish_id;
  std::string reason;
};

struct AssignmentRecord {
  std::vector<UnitAssignment> assignments;
};

// Creates a new membership after the majority of the voters was lost.
struct NewMembershipRecord {
  std::vector<HostInfo> voters;
};

// Complete state at the log position of its author, for hosts that start later.
struct CheckpointRecord {
  std::shared_ptr<const ControlState> state;
};

using RecordBody = std::variant<JoinRecord,
                                LeaveRecord,
                                AdmitRecord,
                                EvictRecord,
                                TermRecord,
                                PublishRecord,
                                AcceptRecord,
                                RefuseRecord,
                                AssignmentRecord,
                                NewMembershipRecord,
                                CheckpointRecord>;

struct Record {
  std::string id;
  HostId author;
  Ballot ballot;
  // Offset of the last valid leader record that the author had applied.
  Offset previous_leader_record = 0;
  RecordBody body;
};

struct LogEntry {
  Offset offset = 0;
  Record record;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_RECORDS_H_
