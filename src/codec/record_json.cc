#include "codec/record_json.h"

#include <memory>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace toucandock::codec {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using core::HostId;
using core::Unit;

constexpr size_t kMaxRecordSize = 16 << 20;

Json::Value AssignmentToJson(const Unit& unit, const Assignment& to) {
  Json::Value value = ToJson(unit);
  value["owner"] = to.owner;
  value["fence"] = Uint(to.fence);
  return value;
}

UnitAssignment ParseAssignment(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {ParseUnit(value, status),
          {reader.String("owner"), reader.Uint("fence")}};
}

// Writes the type name and the members of each kind of record.
struct BodyWriter {
  Json::Value& out;

  void operator()(const JoinRecord& it) {
    out["type"] = "join";
    out["host"] = ToJson(it.host);
  }
  void operator()(const LeaveRecord& it) { WriteHost("leave", it.host); }
  void operator()(const AdmitRecord& it) { WriteHost("admit", it.host); }
  void operator()(const EvictRecord& it) { WriteHost("evict", it.host); }
  void operator()(const TermRecord&) { out["type"] = "term"; }
  void operator()(const PublishRecord& it) {
    out["type"] = "publish";
    out["text"] = it.text;
    out["publisher"] = it.author;
    out["edited_from"] = Uint(it.edited_from);
  }
  void operator()(const AcceptRecord& it) {
    out["type"] = "accept";
    out["publish_id"] = it.publish_id;
    out["version"] = Uint(it.version);
  }
  void operator()(const RefuseRecord& it) {
    out["type"] = "refuse";
    out["publish_id"] = it.publish_id;
    out["reason"] = it.reason;
  }
  void operator()(const AssignmentRecord& it) {
    out["type"] = "settle";
    out["assignments"] = Json::Value(Json::arrayValue);
    for (const UnitAssignment& assignment : it.assignments) {
      out["assignments"].append(
          AssignmentToJson(assignment.unit, assignment.to));
    }
  }
  void operator()(const NewMembershipRecord& it) {
    out["type"] = "reform";
    out["voters"] = Json::Value(Json::arrayValue);
    for (const HostInfo& host : it.voters) {
      out["voters"].append(ToJson(host));
    }
  }
  void operator()(const CheckpointRecord& it) {
    out["type"] = "checkpoint";
    out["state"] = ToJson(*it.state);
  }

 private:
  void WriteHost(const char* type, const HostId& host) {
    out["type"] = type;
    out["host"] = host;
  }
};

RecordBody ParseBody(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  const std::string type = reader.String("type");
  if (type == "join") {
    return JoinRecord{ParseHost(reader.Object("host"), status)};
  }
  if (type == "leave") {
    return LeaveRecord{reader.String("host")};
  }
  if (type == "admit") {
    return AdmitRecord{reader.String("host")};
  }
  if (type == "evict") {
    return EvictRecord{reader.String("host")};
  }
  if (type == "term") {
    return TermRecord{};
  }
  if (type == "publish") {
    return PublishRecord{reader.String("text"), reader.String("publisher"),
                         reader.Uint("edited_from")};
  }
  if (type == "accept") {
    return AcceptRecord{reader.String("publish_id"), reader.Uint("version")};
  }
  if (type == "refuse") {
    return RefuseRecord{reader.String("publish_id"), reader.String("reason")};
  }
  if (type == "settle") {
    AssignmentRecord assignment_record;
    for (const Json::Value& it : reader.Array("assignments")) {
      assignment_record.assignments.push_back(ParseAssignment(it, status));
    }
    return assignment_record;
  }
  if (type == "reform") {
    NewMembershipRecord new_membership;
    for (const Json::Value& it : reader.Array("voters")) {
      new_membership.voters.push_back(ParseHost(it, status));
    }
    return new_membership;
  }
  if (type == "checkpoint") {
    return CheckpointRecord{std::make_shared<const ControlState>(
        ParseState(reader.Object("state"), status))};
  }
  reader.Fail(absl::StrCat("unknown record type '", type, "'"));
  return TermRecord{};
}

Json::Value MemberToJson(const MemberState& member) {
  Json::Value value = ToJson(member.host);
  value["votes"] = member.votes;
  value["leaving"] = member.leaving;
  return value;
}

Json::Value ProposalToJson(const std::string& id, const Proposal& proposal) {
  Json::Value value;
  value["id"] = id;
  value["offset"] = Uint(proposal.offset);
  value["text"] = proposal.publish.text;
  value["publisher"] = proposal.publish.author;
  value["edited_from"] = Uint(proposal.publish.edited_from);
  return value;
}

Json::Value PublishResultToJson(const std::string& id,
                                const PublishResult& publish_result) {
  Json::Value value;
  value["id"] = id;
  value["offset"] = Uint(publish_result.offset);
  value["accepted"] = publish_result.accepted;
  value["version"] = Uint(publish_result.version);
  value["reason"] = publish_result.reason;
  return value;
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  return WriteJson(ToJson(record));
}

Json::Value ToJson(const Record& record) {
  Json::Value value;
  value["id"] = record.id;
  value["author"] = record.author;
  value["ballot"] = ToJson(record.ballot);
  value["builds_on"] = Uint(record.previous_leader_record);
  std::visit(BodyWriter{value}, record.body);
  return value;
}

absl::StatusOr<Record> ParseRecord(const std::string& text) {
  if (text.size() > kMaxRecordSize) {
    return absl::InvalidArgumentError("the record is too large");
  }
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  Record record = ParseRecord(*value, status);
  if (!status.ok()) {
    return status;
  }
  return record;
}

Record ParseRecord(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {.id = reader.String("id"),
          .author = reader.String("author"),
          .ballot = ParseBallot(reader.Object("ballot"), status),
          .previous_leader_record = reader.Uint("builds_on"),
          .body = ParseBody(value, status)};
}

Json::Value ToJson(const Unit& unit) {
  Json::Value value;
  value["service"] = unit.service;
  value["unit"] = Uint(unit.number);
  return value;
}

Json::Value ToJson(const Ballot& ballot) {
  Json::Value value;
  value["number"] = Uint(ballot.number);
  value["host"] = ballot.host;
  return value;
}

Json::Value ToJson(const HostInfo& host) {
  Json::Value value;
  value["id"] = host.id;
  value["peer_address"] = host.peer_address;
  value["caller_address"] = host.caller_address;
  value["failure_domain"] = host.failure_domain;
  return value;
}

Json::Value ToJson(const ControlState& state) {
  Json::Value value;
  value["next"] = Uint(state.next);
  value["last_leader_record"] = Uint(state.last_leader_record);
  value["ballot"] = ToJson(state.ballot);
  value["next_fence"] = Uint(state.next_fence);
  value["config_version"] = Uint(state.config_version);
  value["config_text"] = state.config_text;
  value["config_author"] = state.config_author;
  value["voters_changed"] = Uint(state.voters_changed);
  value["founded"] = Uint(state.membership_offset);
  for (const char* list : {"members", "proposals", "verdicts", "assignments"}) {
    value[list] = Json::Value(Json::arrayValue);
  }
  for (const auto& [id, member] : state.members) {
    value["members"].append(MemberToJson(member));
  }
  for (const auto& [id, proposal] : state.proposals) {
    value["proposals"].append(ProposalToJson(id, proposal));
  }
  for (const auto& [id, publish_result] : state.publish_results) {
    value["verdicts"].append(PublishResultToJson(id, publish_result));
  }
  for (const auto& [unit, assignment] : state.assignments) {
    value["assignments"].append(AssignmentToJson(unit, assignment));
  }
  return value;
}

Unit ParseUnit(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {reader.String("service"), reader.Uint("unit")};
}

Ballot ParseBallot(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {reader.Uint("number"), reader.String("host")};
}

HostInfo ParseHost(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {reader.String("id"), reader.String("peer_address"),
          reader.String("caller_address"), reader.String("failure_domain")};
}

ControlState ParseState(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  ControlState state;
  state.next = reader.Uint("next");
  state.last_leader_record = reader.Uint("last_leader_record");
  state.ballot = ParseBallot(reader.Object("ballot"), status);
  state.next_fence = reader.Uint("next_fence");
  state.config_version = reader.Uint("config_version");
  state.config_text = reader.String("config_text");
  state.config_author = reader.String("config_author");
  state.voters_changed = reader.Uint("voters_changed");
  state.membership_offset = reader.Uint("founded");
  for (const Json::Value& it : reader.Array("members")) {
    ObjectReader member(it, status);
    HostInfo host = ParseHost(it, status);
    const HostId id = host.id;
    state.members[id] = {std::move(host), member.Bool("votes"),
                         member.Bool("leaving")};
  }
  for (const Json::Value& it : reader.Array("proposals")) {
    ObjectReader proposal(it, status);
    state.proposals[proposal.String("id")] = {
        proposal.Uint("offset"),
        {proposal.String("text"), proposal.String("publisher"),
         proposal.Uint("edited_from")}};
  }
  for (const Json::Value& it : reader.Array("verdicts")) {
    ObjectReader publish_result(it, status);
    state.publish_results[publish_result.String("id")] = {
        publish_result.Bool("accepted"), publish_result.Uint("version"),
        publish_result.String("reason"), publish_result.Uint("offset")};
  }
  for (const Json::Value& it : reader.Array("assignments")) {
    const UnitAssignment assignment = ParseAssignment(it, status);
    state.assignments[assignment.unit] = assignment.to;
  }
  return state;
}

}  // namespace toucandock::codec
