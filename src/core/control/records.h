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

// Number of an election. Ballots are ordered; a higher one replaces a lower.
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

// The host is part of the fleet from here on, without a vote at first.
struct JoinRecord {
  HostInfo host;
};

// Written by the host itself at a planned stop.
struct LeaveRecord {
  HostId host;
};

// The host may vote from here on.
struct AdmitRecord {
  HostId host;
};

struct EvictRecord {
  HostId host;
};

// The author of this record is the leader from here on.
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

// Founds a new membership after the majority of the voters was lost.
struct NewMembershipRecord {
  std::vector<HostInfo> voters;
};

// Whole state at its author's position, for hosts that start later.
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
  // Offset of the last valid leader record that the author had folded.
  Offset previous_leader_record = 0;
  RecordBody body;
};

struct LogEntry {
  Offset offset = 0;
  Record record;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_RECORDS_H_
