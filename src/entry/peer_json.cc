#include "entry/peer_json.h"

#include <algorithm>
#include <vector>

#include "absl/strings/escaping.h"
#include "codec/json.h"
#include "core/position.h"
#include "entry/admitted_json.h"

namespace toucandock::entry {
namespace {

using codec::ObjectReader;
using core::keyspace::Assignment;
using core::keyspace::HostList;
using core::keyspace::TargetInstance;
using core::request::PoisonDigest;

// Returns the position of a target instance in the list of a record, and adds
// the instance if it is missing.
Json::ArrayIndex IndexOf(const TargetInstance& instance,
                         std::vector<TargetInstance>& instances) {
  const auto it = std::find(instances.begin(), instances.end(), instance);
  if (it != instances.end()) {
    return static_cast<Json::ArrayIndex>(it - instances.begin());
  }
  instances.push_back(instance);
  return static_cast<Json::ArrayIndex>(instances.size() - 1);
}

constexpr std::uint64_t kMaxHosts = 100'000;
constexpr Json::ArrayIndex kMaxRelays = 1'000;
// Members of the group from which the store chooses the leader.
constexpr Json::ArrayIndex kMaxListedHosts = 1'000;
// Limit of `store_up`; longer times count as this one.
constexpr std::chrono::milliseconds kMaxStoreUp{std::chrono::hours(1)};

// A range is an array: first key, last key, owner, whether the owner serves (1
// or 0), and earlier owners that may still hold the keys. Targets are given as
// positions in the list of the record.
absl::StatusOr<Assignment> DecodeRange(
    const Json::Value& range,
    const std::vector<TargetInstance>& instances) {
  constexpr Json::ArrayIndex kFixedMembers = 4;
  if (!range.isArray() || range.size() < kFixedMembers) {
    return absl::InvalidArgumentError(
        "a range must be an array of at least 4 numbers");
  }
  for (const Json::Value& it : range) {
    if (!it.isUInt()) {
      return absl::InvalidArgumentError(
          "a range must hold nothing but numbers");
    }
  }
  for (Json::ArrayIndex i = 2; i < range.size(); ++i) {
    if (i != 3 && range[i].asUInt() >= instances.size()) {
      return absl::InvalidArgumentError(
          "a range refers to a target that is not listed");
    }
  }
  Assignment assignment;
  assignment.keys = {.first = range[0].asUInt(), .last = range[1].asUInt()};
  assignment.owner = instances[range[2].asUInt()];
  assignment.serving = range[3].asUInt() != 0;
  for (Json::ArrayIndex i = kFixedMembers; i < range.size(); ++i) {
    assignment.previous.push_back(instances[range[i].asUInt()]);
  }
  return assignment;
}

Json::Value ToJson(const HostList& hosts) {
  Json::Value value(Json::arrayValue);
  for (const std::string& it : hosts) {
    value.append(it);
  }
  return value;
}

Json::Value ToJson(const core::keyspace::OwnershipTable& table) {
  Json::Value value;
  value["service"] = table.service;
  value["writer"] = table.writer;
  value["report_address"] = table.report_address;
  std::vector<TargetInstance> instances;
  Json::Value& ranges = value["ranges"] = Json::Value(Json::arrayValue);
  for (const Assignment& it : table.assignments) {
    Json::Value range(Json::arrayValue);
    range.append(it.keys.first);
    range.append(it.keys.last);
    range.append(IndexOf(it.owner, instances));
    range.append(it.serving ? 1 : 0);
    for (const TargetInstance& previous : it.previous) {
      range.append(IndexOf(previous, instances));
    }
    ranges.append(std::move(range));
  }
  Json::Value& targets = value["targets"] = Json::Value(Json::arrayValue);
  for (const TargetInstance& it : instances) {
    Json::Value instance(Json::arrayValue);
    instance.append(it.id);
    instance.append(Json::Int64(it.start_time_ms));
    targets.append(std::move(instance));
  }
  if (!table.hosts.empty()) {
    value["hosts"] = ToJson(table.hosts);
  }
  for (const HostList& it : table.earlier_hosts) {
    value["earlier_hosts"].append(ToJson(it));
  }
  if (table.holders_unknown) {
    value["holders_unknown"] = 1;
  }
  return value;
}

absl::StatusOr<HostList> DecodeHosts(const Json::Value& value) {
  HostList hosts;
  if (!value.isArray() || value.size() > kMaxListedHosts) {
    return absl::InvalidArgumentError(
        "a list of hosts must be an array of at most 1000 addresses");
  }
  for (const Json::Value& it : value) {
    if (!it.isString()) {
      return absl::InvalidArgumentError(
          "a list of hosts must hold nothing but addresses");
    }
    hosts.push_back(it.asString());
  }
  return hosts;
}

// Reads a table, whose ranges need not cover all keys.
core::keyspace::OwnershipTable ReadTable(ObjectReader& fields,
                                         absl::Status& status) {
  core::keyspace::OwnershipTable table;
  table.service = fields.String("service");
  table.writer = fields.String("writer");
  table.report_address = fields.String("report_address");
  std::vector<TargetInstance> instances;
  for (const Json::Value& it : fields.Array("targets")) {
    if (!it.isArray() || it.size() != 2 || !it[0].isString() ||
        !it[1].isInt64()) {
      fields.Fail("'targets' must hold pairs of id and start time");
      return table;
    }
    instances.push_back(
        {.id = it[0].asString(), .start_time_ms = it[1].asInt64()});
  }
  for (const Json::Value& it : fields.Array("ranges")) {
    auto range = DecodeRange(it, instances);
    if (!range.ok()) {
      status.Update(range.status());
      return table;
    }
    table.assignments.push_back(*std::move(range));
  }
  // Records of earlier versions hold no lists of hosts.
  const auto add = [&status](const Json::Value& value,
                             std::vector<HostList>& lists) {
    auto hosts = DecodeHosts(value);
    if (hosts.ok()) {
      lists.push_back(*std::move(hosts));
    } else {
      status.Update(hosts.status());
    }
  };
  if (fields.Has("hosts")) {
    std::vector<HostList> lists;
    add(fields.Array("hosts"), lists);
    table.hosts = lists.empty() ? HostList{} : lists.front();
  }
  table.holders_unknown = fields.Has("holders_unknown");
  if (fields.Has("earlier_hosts")) {
    for (const Json::Value& it : fields.Array("earlier_hosts")) {
      add(it, table.earlier_hosts);
    }
  }
  return table;
}

}  // namespace

// In era 0, a record stands where it was written, so the text is the same as
// that of earlier versions, which do not state the position.
std::string EncodeOwnership(const core::keyspace::OwnershipTable& table) {
  Json::Value value = ToJson(table);
  if (core::EraOf(table.offset) > 0) {
    value["position"] = codec::Uint(table.offset);
  }
  return codec::WriteJson(value);
}

// Decodes a record. Its offset is 0 if the text does not state it.
absl::StatusOr<core::keyspace::OwnershipTable> DecodeOwnership(
    const std::string& text) {
  return codec::ReadObject<core::keyspace::OwnershipTable>(
      text, [&](ObjectReader& fields, absl::Status& status) {
        core::keyspace::OwnershipTable table = ReadTable(fields, status);
        if (fields.Has("position")) {
          table.offset = fields.Uint("position");
        }
        if (status.ok() && !core::keyspace::CoversAllKeys(table.assignments)) {
          fields.Fail("'ranges' must cover each key exactly once");
        }
        return table;
      });
}

absl::StatusOr<core::keyspace::OwnershipTable> TableOf(
    const StoredRecord& record) {
  if (record.table) {
    return *record.table;
  }
  auto table = DecodeOwnership(record.value);
  if (!table.ok()) {
    return table;
  }
  // A record without a position was written in era 0.
  const std::uint64_t store_offset = core::StoreOffsetOf(record.offset);
  if (core::EraOf(table->offset) == 0) {
    table->offset = store_offset;
  }
  // A record that was written in an earlier era and has survived in the copy
  // stands at the same offset as before.
  if (core::StoreOffsetOf(table->offset) != store_offset ||
      table->offset > record.offset) {
    return absl::InvalidArgumentError(
        "'position' does not fit the place of the record");
  }
  return table;
}

std::string EncodeOwnershipUpdate(const OwnershipUpdate& update) {
  Json::Value value;
  value["end"] = codec::Uint(update.end);
  Json::Value& deltas = value["deltas"] = Json::Value(Json::arrayValue);
  for (const core::keyspace::OwnershipDelta& it : update.deltas) {
    Json::Value delta = ToJson(it.changes);
    delta["base"] = codec::Uint(it.base);
    delta["offset"] = codec::Uint(it.changes.offset);
    deltas.append(std::move(delta));
  }
  return codec::WriteJson(value);
}

absl::StatusOr<OwnershipUpdate> DecodeOwnershipUpdate(const std::string& text) {
  return codec::ReadObject<OwnershipUpdate>(text, [&](ObjectReader& fields,
                                                      absl::Status& status) {
    OwnershipUpdate update{.end = fields.Uint("end")};
    for (const Json::Value& it : fields.Array("deltas")) {
      ObjectReader reader(it, status);
      core::keyspace::OwnershipDelta delta{
          .base = reader.Uint("base"), .changes = ReadTable(reader, status)};
      delta.changes.offset = reader.Uint("offset");
      update.deltas.push_back(std::move(delta));
    }
    return update;
  });
}

std::string EncodeLoadReport(const core::keyspace::LoadReport& report) {
  Json::Value value;
  value["service"] = report.service;
  Json::Value& keys = value["keys"] = Json::Value(Json::arrayValue);
  for (const std::uint32_t key : report.keys) {
    keys.append(key);
  }
  Json::Value& speeds = value["speeds"] = Json::Value(Json::arrayValue);
  for (const core::keyspace::TargetSpeed& it : report.speeds) {
    Json::Value speed(Json::arrayValue);
    speed.append(it.target_id);
    speed.append(it.answers);
    // The time is sent in whole milliseconds.
    speed.append(static_cast<Json::UInt>(
        std::chrono::duration_cast<std::chrono::milliseconds>(it.mean_time)
            .count()));
    speeds.append(std::move(speed));
  }
  if (report.relayed) {
    value["relayed"] = true;
  }
  return codec::WriteJson(value);
}

absl::StatusOr<core::keyspace::LoadReport> DecodeLoadReport(
    const std::string& text) {
  return codec::ReadObject<
      core::keyspace::LoadReport>(text, [&](ObjectReader& fields,
                                            absl::Status&) {
    core::keyspace::LoadReport report;
    report.service = fields.String("service");
    for (const Json::Value& key : fields.Array("keys")) {
      if (!key.isUInt() || key.asUInt() > core::keyspace::kLastKey) {
        fields.Fail("'keys' must hold key numbers");
        break;
      }
      report.keys.push_back(key.asUInt());
    }
    for (const Json::Value& it : fields.Array("speeds")) {
      if (!it.isArray() || it.size() != 3 || !it[0].isString() ||
          !it[1].isUInt() || !it[2].isUInt()) {
        fields.Fail(
            "'speeds' must hold arrays of target, answers and milliseconds");
        break;
      }
      report.speeds.push_back(
          {.target_id = it[0].asString(),
           .answers = it[1].asUInt(),
           .mean_time = std::chrono::milliseconds(it[2].asUInt())});
    }
    report.relayed = fields.Has("relayed") && fields.Bool("relayed");
    return report;
  });
}

namespace {

// Names of the members that complete a digest, which earlier versions lack.
constexpr char kRepeated[] = "pr";
constexpr char kOnlyRepeated[] = "po";
constexpr char kLeaderRepeated[] = "lp";
constexpr char kLeaderOnlyRepeated[] = "lo";

// Leaves out members that are zero, as they mostly are.
void AddDigest(const PoisonDigest& digest,
               const char* repeated,
               const char* only_repeated,
               Json::Value& value) {
  if (digest.repeated != 0) {
    value[repeated] = digest.repeated;
  }
  if (digest.only_repeated) {
    value[only_repeated] = 1;
  }
}

// Members of the object at the end of a heartbeat or reply. Hosts of earlier
// versions send none, so each of them is optional.
Json::Value RelayMembers(const PeerHeartbeat& heartbeat) {
  Json::Value value(Json::objectValue);
  value["v"] = heartbeat.relays_version;
  AddDigest(heartbeat.poison_digest, kRepeated, kOnlyRepeated, value);
  if (heartbeat.is_answer) {
    Json::Value& ages = value["a"] = Json::Value(Json::arrayValue);
    for (const StreamState& it :
         {heartbeat.config, heartbeat.targets, heartbeat.ownership}) {
      ages.append(it.age ? Json::Value(Json::Int64(it.age->count()))
                         : Json::Value());
    }
  }
  if (!heartbeat.is_answer) {
    value["m"] = heartbeat.is_member ? 1 : 0;
    value["d"] = heartbeat.failure_domain;
    value["c"] = heartbeat.capacity;
    value["h"] = heartbeat.hosts;
    if (heartbeat.admitted_version != 0) {
      value["av"] = heartbeat.admitted_version;
    }
    // Other hosts cannot become the leader, so nobody asks them.
    if (heartbeat.is_member) {
      value["su"] = Json::UInt64(heartbeat.store_up.count());
      value["o"] = codec::Uint(heartbeat.ownership_end);
      value["f"] = heartbeat.follows_receiver ? 1 : 0;
    }
    if (heartbeat.stamp != 0) {
      value["t"] = Json::UInt64(heartbeat.stamp);
    }
    return value;
  }
  if (heartbeat.stamp != 0) {
    value["t"] = Json::UInt64(heartbeat.stamp);
  }
  if (heartbeat.is_relay) {
    value["lr"] = heartbeat.leader_reachable ? 1 : 0;
    value["ld"] = heartbeat.leader_digest.all;
    AddDigest(heartbeat.leader_digest, kLeaderRepeated, kLeaderOnlyRepeated,
              value);
  }
  if (heartbeat.admitted) {
    value["ad"] = EncodeAdmitted(*heartbeat.admitted);
  }
  if (heartbeat.relays) {
    Json::Value& relays = value["r"] = Json::Value(Json::arrayValue);
    for (const core::relay::Relay& it : *heartbeat.relays) {
      Json::Value relay(Json::arrayValue);
      relay.append(it.address);
      relay.append(it.failure_domain);
      relays.append(std::move(relay));
    }
  }
  return value;
}

// Returns the member of the given name, or `missing` if it has another type.
std::uint32_t ReadUint(const Json::Value& value,
                       const char* name,
                       std::uint32_t missing) {
  const Json::Value& it = value[name];
  return it.isUInt() ? it.asUInt() : missing;
}

// Reads what AddDigest() has written.
void ReadDigest(const Json::Value& value,
                const char* repeated,
                const char* only_repeated,
                PoisonDigest& digest) {
  digest.repeated = ReadUint(value, repeated, 0);
  digest.only_repeated = ReadUint(value, only_repeated, 0) != 0;
}

// Members of another type than expected count as missing.
void ReadRelayMembers(const Json::Value& value, PeerHeartbeat& heartbeat) {
  const auto read = [&value](const char* name, std::uint32_t missing) {
    return ReadUint(value, name, missing);
  };
  const auto read_long = [&value](const char* name) {
    const Json::Value& it = value[name];
    return it.isUInt64() ? std::uint64_t{it.asUInt64()} : 0;
  };
  heartbeat.relays_version = read("v", 0);
  ReadDigest(value, kRepeated, kOnlyRepeated, heartbeat.poison_digest);
  heartbeat.stamp = read_long("t");
  if (!heartbeat.is_answer) {
    heartbeat.store_up = std::min(
        kMaxStoreUp,
        std::chrono::milliseconds(static_cast<std::int64_t>(
            std::min<std::uint64_t>(read_long("su"), kMaxStoreUp.count()))));
    heartbeat.ownership_end = read_long("o");
    heartbeat.follows_receiver = read("f", 0) != 0;
    heartbeat.is_member = read("m", 1) != 0;
    heartbeat.admitted_version = read("av", 0);
    heartbeat.hosts = static_cast<int>(std::min<std::uint32_t>(
        read("h", 1), static_cast<std::uint32_t>(kMaxHosts)));
    if (value["d"].isString()) {
      heartbeat.failure_domain = value["d"].asString();
    }
    if (value["c"].isNumeric()) {
      heartbeat.capacity = value["c"].asDouble();
    }
    return;
  }
  const Json::Value& ages = value["a"];
  StreamState* const states[] = {&heartbeat.config, &heartbeat.targets,
                                 &heartbeat.ownership};
  for (Json::ArrayIndex n = 0; n < std::size(states); ++n) {
    if (ages.isArray() && ages.isValidIndex(n) && ages[n].isUInt()) {
      states[n]->age = std::chrono::milliseconds(ages[n].asUInt());
    }
  }
  heartbeat.is_relay = value.isMember("lr");
  heartbeat.leader_reachable = read("lr", 0) != 0;
  heartbeat.leader_digest.all = read("ld", 0);
  ReadDigest(value, kLeaderRepeated, kLeaderOnlyRepeated,
             heartbeat.leader_digest);
  heartbeat.admitted = DecodeAdmitted(value["ad"]);
  const Json::Value& relays = value["r"];
  if (!relays.isArray() || relays.size() > kMaxRelays) {
    return;
  }
  heartbeat.relays.emplace();
  for (const Json::Value& it : relays) {
    if (it.isArray() && it.size() >= 2 && it[0].isString() &&
        it[1].isString()) {
      heartbeat.relays->push_back(
          {.address = it[0].asString(), .failure_domain = it[1].asString()});
    }
  }
}

}  // namespace

// Each host sends several heartbeats a second, so the text is short.
std::string EncodeHeartbeat(const PeerHeartbeat& heartbeat) {
  Json::Value value(Json::arrayValue);
  if (heartbeat.is_answer) {
    for (const StreamState& it :
         {heartbeat.config, heartbeat.targets, heartbeat.ownership}) {
      value.append(codec::Uint(it.next));
      value.append(it.fresh ? 1 : 0);
    }
    value.append(heartbeat.hosts);
    value.append(heartbeat.is_leader ? 1 : 0);
    value.append(Json::UInt64(heartbeat.store_up.count()));
    value.append(heartbeat.poison_digest.all);
    for (const std::string& it : heartbeat.substitutes) {
      value.append(it);
    }
  } else {
    value.append(heartbeat.store_lost ? 1 : 0);
    value.append(heartbeat.poison_digest.all);
  }
  value.append(RelayMembers(heartbeat));
  return codec::WriteJson(value);
}

absl::StatusOr<PeerHeartbeat> DecodeHeartbeat(const std::string& text) {
  const absl::StatusOr<Json::Value> json = codec::ParseJson(text);
  if (!json.ok()) {
    return json.status();
  }
  constexpr Json::ArrayIndex kHeartbeatSize = 2;
  constexpr Json::ArrayIndex kMinAnswerSize = 10;
  if (!json->isArray()) {
    return absl::InvalidArgumentError("a heartbeat must be an array");
  }
  // The last member may be an object, to which versions add members. Those that
  // this version does not know are ignored.
  const Json::ArrayIndex size =
      json->empty() || !(*json)[json->size() - 1].isObject() ? json->size()
                                                             : json->size() - 1;
  const bool is_answer = size >= kMinAnswerSize;
  if (size != kHeartbeatSize && !is_answer) {
    return absl::InvalidArgumentError(
        "a heartbeat must have 2 or at least 10 members");
  }
  for (Json::ArrayIndex i = 0; i < size; ++i) {
    const Json::Value& it = (*json)[i];
    if (i < kMinAnswerSize ? !it.isUInt64() : !it.isString()) {
      return absl::InvalidArgumentError(
          "a heartbeat must hold whole numbers, followed by addresses");
    }
  }
  if (!(*json)[is_answer ? 9 : 1].isUInt()) {
    return absl::InvalidArgumentError(
        "the digest of a heartbeat does not fit into 32 bits");
  }
  // Limits that hosts have in common are divided by the number of hosts.
  if (is_answer && (*json)[6].asUInt64() > kMaxHosts) {
    return absl::InvalidArgumentError(
        "a heartbeat reports more hosts than the maximum");
  }
  const Json::Value relay_members =
      size < json->size() ? (*json)[size] : Json::Value(Json::objectValue);
  if (!is_answer) {
    PeerHeartbeat heartbeat{.store_lost = (*json)[0].asUInt64() != 0,
                            .poison_digest = {.all = (*json)[1].asUInt()}};
    ReadRelayMembers(relay_members, heartbeat);
    return heartbeat;
  }
  const auto state = [&json](Json::ArrayIndex i) {
    return StreamState{.next = (*json)[i].asUInt64(),
                       .fresh = (*json)[i + 1].asUInt64() != 0};
  };
  const std::uint64_t store_up_ms =
      std::min<std::uint64_t>((*json)[8].asUInt64(), kMaxStoreUp.count());
  std::vector<std::string> substitutes;
  for (Json::ArrayIndex i = kMinAnswerSize; i < size; ++i) {
    substitutes.push_back((*json)[i].asString());
  }
  PeerHeartbeat answer{.is_answer = true,
                       .poison_digest = {.all = (*json)[9].asUInt()},
                       .config = state(0),
                       .targets = state(2),
                       .ownership = state(4),
                       .store_up = std::chrono::milliseconds(store_up_ms),
                       .hosts = static_cast<int>((*json)[6].asUInt64()),
                       .is_leader = (*json)[7].asUInt64() != 0,
                       .substitutes = std::move(substitutes)};
  ReadRelayMembers(relay_members, answer);
  return answer;
}

std::string EncodeRecords(const ReadResult& result) {
  Json::Value value;
  value["end"] = codec::Uint(result.end);
  Json::Value& records = value["records"] = Json::Value(Json::arrayValue);
  for (const StoredRecord& it : result.records) {
    Json::Value record;
    record["offset"] = codec::Uint(it.offset);
    // Keys and values may be any bytes.
    record["key"] = absl::Base64Escape(it.key);
    record["value"] =
        absl::Base64Escape(it.table ? EncodeOwnership(*it.table) : it.value);
    record["removed"] = it.removed;
    records.append(std::move(record));
  }
  return codec::WriteJson(value);
}

absl::StatusOr<ReadResult> DecodeRecords(const std::string& text) {
  return codec::ReadObject<ReadResult>(text, [&](ObjectReader& fields,
                                                 absl::Status& status) {
    ReadResult result{.status = StoreStatus::kOk, .end = fields.Uint("end")};
    for (const Json::Value& it : fields.Array("records")) {
      ObjectReader record(it, status);
      StoredRecord stored{.offset = record.Uint("offset"),
                          .removed = record.Bool("removed")};
      if (!absl::Base64Unescape(record.String("key"), &stored.key) ||
          !absl::Base64Unescape(record.String("value"), &stored.value)) {
        record.Fail("'key' or 'value' is not base64");
      }
      result.records.push_back(std::move(stored));
    }
    return result;
  });
}

}  // namespace toucandock::entry
