#include "codec/message_json.h"

#include <cmath>
#include <memory>
#include <set>
#include <utility>

#include "codec/json.h"
#include "codec/record_json.h"

namespace toucandock::codec {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using core::TargetId;
using core::Unit;
using core::detection::Observation;
using core::detection::ObservationKind;
using core::detection::ObservationSource;

constexpr double kRateScale = 100;
constexpr std::uint64_t kMaxPhase =
    static_cast<std::uint64_t>(MovePhase::kActive);
constexpr std::uint64_t kMaxSource =
    static_cast<std::uint64_t>(ObservationSource::kLease);
constexpr std::uint64_t kMaxKind =
    static_cast<std::uint64_t>(ObservationKind::kTimeout);

Json::Value Nanoseconds(core::Duration value) {
  return Json::Value(static_cast<Json::Int64>(value.count()));
}

template <typename Enum>
Enum ParseEnum(ObjectReader& reader, const char* name, std::uint64_t max) {
  const std::uint64_t value = reader.Uint(name);
  if (value > max) {
    reader.Fail(std::string("'") + name + "' is out of range");
    return Enum{};
  }
  return static_cast<Enum>(value);
}

Json::Value ToJson(const std::set<TargetId>& targets) {
  Json::Value list(Json::arrayValue);
  for (const TargetId& it : targets) {
    list.append(it);
  }
  return list;
}

std::set<TargetId> ParseTargets(const Json::Value& list, absl::Status& status) {
  std::set<TargetId> targets;
  for (const Json::Value& it : list) {
    if (!it.isString()) {
      status.Update(absl::InvalidArgumentError("a target id is not a string"));
      break;
    }
    targets.insert(it.asString());
  }
  return targets;
}

Json::Value ToJson(const UnitMove& move) {
  Json::Value value = codec::ToJson(move.unit);
  value["owner"] = move.to.owner;
  value["fence"] = Uint(move.to.fence);
  value["from"] = move.from;
  value["phase"] = Uint(static_cast<std::uint64_t>(move.phase));
  value["planned"] = move.planned;
  value["since"] = Uint(move.since);
  if (move.after) {
    value["after"] = codec::ToJson(*move.after);
  }
  return value;
}

UnitMove ParseMove(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  UnitMove move = {.unit = ParseUnit(value, status),
                   .to = {reader.String("owner"), reader.Uint("fence")},
                   .from = reader.String("from"),
                   .phase = ParseEnum<MovePhase>(reader, "phase", kMaxPhase),
                   .planned = reader.Bool("planned"),
                   .since = reader.Uint("since")};
  if (reader.Has("after")) {
    move.after = ParseUnit(reader.Object("after"), status);
  }
  return move;
}

Json::Value ToJson(const LeaderState& leader_state) {
  Json::Value value;
  value["founded"] = Uint(leader_state.membership_offset);
  value["ballot"] = codec::ToJson(leader_state.ballot);
  value["sequence"] = Uint(leader_state.sequence);
  value["effective"] = Uint(leader_state.commit_offset);
  value["moves"] = Json::Value(Json::arrayValue);
  for (const UnitMove& move : leader_state.moves) {
    value["moves"].append(ToJson(move));
  }
  value["lost"] = ToJson(leader_state.lost);
  value["draining"] = ToJson(leader_state.draining);
  value["cold"] = ToJson(leader_state.cold);
  if (!leader_state.unavailable_hosts.empty()) {
    value["absent"] = ToJson(leader_state.unavailable_hosts);
  }
  return value;
}

LeaderState ParseLeaderState(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  LeaderState leader_state;
  leader_state.membership_offset = reader.Uint("founded");
  leader_state.ballot = ParseBallot(reader.Object("ballot"), status);
  leader_state.sequence = reader.Uint("sequence");
  leader_state.commit_offset = reader.Uint("effective");
  for (const Json::Value& it : reader.Array("moves")) {
    leader_state.moves.push_back(ParseMove(it, status));
  }
  leader_state.lost = ParseTargets(reader.Array("lost"), status);
  leader_state.draining = ParseTargets(reader.Array("draining"), status);
  leader_state.cold = ParseTargets(reader.Array("cold"), status);
  if (reader.Has("absent")) {
    leader_state.unavailable_hosts =
        ParseTargets(reader.Array("absent"), status);
  }
  return leader_state;
}

Json::Value ToJson(const Observation& observation) {
  Json::Value value;
  value["target"] = observation.target;
  value["observer"] = observation.observer;
  value["source"] = Uint(static_cast<std::uint64_t>(observation.source));
  value["kind"] = Uint(static_cast<std::uint64_t>(observation.kind));
  return value;
}

Observation ParseObservation(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {.target = reader.String("target"),
          .observer = reader.String("observer"),
          .source = ParseEnum<ObservationSource>(reader, "source", kMaxSource),
          .kind = ParseEnum<ObservationKind>(reader, "kind", kMaxKind)};
}

template <typename Message>
absl::StatusOr<Message> ParseText(const std::string& text,
                                  Message (*parse)(const Json::Value&,
                                                   absl::Status&)) {
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  Message message = parse(*value, status);
  if (!status.ok()) {
    return status;
  }
  return message;
}

}  // namespace

// Rates are rounded to hundredths of a request a second.
Json::Value ToJson(
    const std::map<std::string, core::placement::ServiceRates>& rates) {
  const auto rounded = [](double rate) {
    return Json::Value(
        static_cast<Json::UInt64>(std::llround(rate * kRateScale)));
  };
  Json::Value list(Json::arrayValue);
  for (const auto& [service, it] : rates) {
    Json::Value value;
    value["service"] = service;
    value["rate"] = rounded(it.per_second);
    value["shards"] = Json::Value(Json::arrayValue);
    for (const double rate : it.shards) {
      value["shards"].append(rounded(rate));
    }
    value["keys"] = Json::Value(Json::arrayValue);
    for (const core::placement::KeyRate& key : it.hottest) {
      Json::Value entry;
      entry["hash"] = Uint(key.key_hash);
      entry["rate"] = rounded(key.per_second);
      value["keys"].append(entry);
    }
    list.append(value);
  }
  return list;
}

std::map<std::string, core::placement::ServiceRates> ParseRates(
    const Json::Value& list,
    absl::Status& status) {
  std::map<std::string, core::placement::ServiceRates> rates;
  for (const Json::Value& value : list) {
    ObjectReader reader(value, status);
    core::placement::ServiceRates& it = rates[reader.String("service")];
    it.per_second = static_cast<double>(reader.Uint("rate")) / kRateScale;
    for (const Json::Value& shard : reader.Array("shards")) {
      if (!shard.isUInt64()) {
        reader.Fail("'shards' contains a value that is not a rate");
        break;
      }
      it.shards.push_back(static_cast<double>(shard.asUInt64()) / kRateScale);
    }
    for (const Json::Value& key : reader.Array("keys")) {
      ObjectReader entry(key, status);
      it.hottest.push_back(
          {entry.Uint("hash"),
           static_cast<double>(entry.Uint("rate")) / kRateScale});
    }
  }
  return rates;
}

Json::Value ToJson(const RenewRequest& message) {
  Json::Value value;
  value["host"] = ToJson(message.host);
  value["founded"] = Uint(message.membership_offset);
  value["echo"] = Nanoseconds(message.echoed_leader_time);
  value["ballot"] = ToJson(message.ballot);
  value["acked_sequence"] = Uint(message.acked_sequence);
  value["config_version"] = Uint(message.config_version);
  value["leaving"] = message.leaving;
  value["busy"] = Json::Value(Json::arrayValue);
  for (const Unit& unit : message.busy) {
    value["busy"].append(ToJson(unit));
  }
  value["signals"] = Json::Value(Json::arrayValue);
  for (const Observation& observation : message.observations) {
    value["signals"].append(ToJson(observation));
  }
  if (!message.rates.empty()) {
    value["rates"] = ToJson(message.rates);
  }
  return value;
}

Json::Value ToJson(const RenewReply& message) {
  Json::Value value;
  value["host"] = message.host;
  value["accepted"] = message.accepted;
  value["ballot"] = ToJson(message.ballot);
  value["stamp"] = Nanoseconds(message.leader_time);
  value["lease"] = message.lease;
  value["resigned"] = message.resigned;
  value["sequence"] = Uint(message.sequence);
  if (message.leader) {
    value["leader"] = ToJson(*message.leader);
  }
  if (message.leader_state) {
    value["directive"] = ToJson(*message.leader_state);
  }
  value["suspects"] = ToJson(
      std::set<TargetId>(message.suspects.begin(), message.suspects.end()));
  return value;
}

Json::Value ToJson(const VoteRequest& message) {
  Json::Value value;
  value["host"] = ToJson(message.host);
  value["founded"] = Uint(message.membership_offset);
  value["voters_changed"] = Uint(message.voters_changed);
  value["ballot"] = ToJson(message.ballot);
  return value;
}

Json::Value ToJson(const VoteReply& message) {
  Json::Value value;
  value["granted"] = message.granted;
  value["promised"] = ToJson(message.promised);
  value["directive"] = ToJson(message.leader_state);
  return value;
}

Json::Value ToJson(const StateReply& message) {
  Json::Value value;
  value["state"] = ToJson(*message.state);
  value["directive"] = ToJson(message.leader_state);
  return value;
}

std::string Encode(const RenewRequest& message) {
  return WriteJson(ToJson(message));
}

std::string Encode(const RenewReply& message) {
  return WriteJson(ToJson(message));
}

std::string Encode(const VoteRequest& message) {
  return WriteJson(ToJson(message));
}

std::string Encode(const VoteReply& message) {
  return WriteJson(ToJson(message));
}

std::string Encode(const StateReply& message) {
  return WriteJson(ToJson(message));
}

RenewRequest ParseRenewRequest(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  RenewRequest it;
  it.host = ParseHost(reader.Object("host"), status);
  it.membership_offset = reader.Uint("founded");
  it.echoed_leader_time = reader.Nanoseconds("echo");
  it.ballot = ParseBallot(reader.Object("ballot"), status);
  it.acked_sequence = reader.Uint("acked_sequence");
  it.config_version = reader.Uint("config_version");
  it.leaving = reader.Bool("leaving");
  for (const Json::Value& unit : reader.Array("busy")) {
    it.busy.push_back(ParseUnit(unit, status));
  }
  for (const Json::Value& observation : reader.Array("signals")) {
    it.observations.push_back(ParseObservation(observation, status));
  }
  if (reader.Has("rates")) {
    it.rates = ParseRates(reader.Array("rates"), status);
  }
  return it;
}

RenewReply ParseRenewReply(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  RenewReply it;
  it.host = reader.String("host");
  it.accepted = reader.Bool("accepted");
  it.ballot = ParseBallot(reader.Object("ballot"), status);
  it.leader_time = reader.Nanoseconds("stamp");
  it.lease = reader.Bool("lease");
  it.resigned = reader.Bool("resigned");
  it.sequence = reader.Uint("sequence");
  if (reader.Has("leader")) {
    it.leader = ParseHost(reader.Object("leader"), status);
  }
  if (reader.Has("directive")) {
    it.leader_state = ParseLeaderState(reader.Object("directive"), status);
  }
  const std::set<TargetId> suspects =
      ParseTargets(reader.Array("suspects"), status);
  it.suspects.assign(suspects.begin(), suspects.end());
  return it;
}

VoteRequest ParseVoteRequest(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  VoteRequest it;
  it.host = ParseHost(reader.Object("host"), status);
  it.membership_offset = reader.Uint("founded");
  it.voters_changed = reader.Uint("voters_changed");
  it.ballot = ParseBallot(reader.Object("ballot"), status);
  return it;
}

VoteReply ParseVoteReply(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  VoteReply it;
  it.granted = reader.Bool("granted");
  it.promised = ParseBallot(reader.Object("promised"), status);
  it.leader_state = ParseLeaderState(reader.Object("directive"), status);
  return it;
}

StateReply ParseStateReply(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  StateReply it;
  it.state = std::make_shared<const ControlState>(
      ParseState(reader.Object("state"), status));
  it.leader_state = ParseLeaderState(reader.Object("directive"), status);
  return it;
}

absl::StatusOr<RenewRequest> ParseRenewRequest(const std::string& text) {
  return ParseText<RenewRequest>(text, ParseRenewRequest);
}

absl::StatusOr<RenewReply> ParseRenewReply(const std::string& text) {
  return ParseText<RenewReply>(text, ParseRenewReply);
}

absl::StatusOr<VoteRequest> ParseVoteRequest(const std::string& text) {
  return ParseText<VoteRequest>(text, ParseVoteRequest);
}

absl::StatusOr<VoteReply> ParseVoteReply(const std::string& text) {
  return ParseText<VoteReply>(text, ParseVoteReply);
}

absl::StatusOr<StateReply> ParseStateReply(const std::string& text) {
  return ParseText<StateReply>(text, ParseStateReply);
}

}  // namespace toucandock::codec
