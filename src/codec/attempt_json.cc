#include "codec/attempt_json.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "codec/json.h"

namespace toucandock::codec {
namespace {

using core::request::AttemptKey;
using core::request::AttemptRecord;
using core::request::AttemptState;
using core::request::BeginResult;
using core::request::CrashReport;
using core::request::FinishResult;

constexpr std::array<const char*, 5> kBeginResults = {"begun", "started", "ran",
                                                      "reused", "refused"};
constexpr std::array<const char*, 2> kFinishResults = {"ran", "withdrawn"};
constexpr std::array<const char*, 2> kStates = {"started", "ran"};

// Enumerations are encoded by name, so that versions may differ in the order of
// the values.
template <typename Enum, size_t n>
Enum ParseName(ObjectReader& reader,
               const char* member,
               const std::array<const char*, n>& names) {
  const std::string name = reader.String(member);
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    reader.Fail(std::string("'") + member + "' is unknown");
    return Enum{};
  }
  return static_cast<Enum>(it - names.begin());
}

template <typename Enum, size_t n>
const char* NameOf(Enum value, const std::array<const char*, n>& names) {
  return names[static_cast<size_t>(value)];
}

Json::Value ToJson(const AttemptKey& key) {
  Json::Value value;
  value["service"] = key.service;
  value["id"] = key.request_id;
  value["fingerprint"] = key.fingerprint;
  value["token"] = key.token;
  return value;
}

AttemptKey ParseKey(ObjectReader& reader) {
  return {.service = reader.String("service"),
          .request_id = reader.String("id"),
          .fingerprint = reader.String("fingerprint"),
          .token = reader.String("token")};
}

AttemptRecord ParseRecord(ObjectReader& reader) {
  AttemptRecord record;
  record.key = ParseKey(reader);
  record.state = ParseName<AttemptState>(reader, "state", kStates);
  return record;
}

CrashReport ParseReport(ObjectReader& reader) {
  CrashReport report;
  report.key = {.service = reader.String("service"),
                .request_id = reader.String("id"),
                .fingerprint = reader.String("fingerprint")};
  report.target = reader.String("target");
  const std::uint64_t limit = reader.Uint("crash_limit");
  if (limit == 0 || limit > std::numeric_limits<std::uint32_t>::max()) {
    reader.Fail("'crash_limit' is out of range");
  }
  report.crash_limit = static_cast<std::uint32_t>(limit);
  report.age = reader.Nanoseconds("age_ns");
  if (report.age < core::Duration::zero()) {
    reader.Fail("'age_ns' is negative");
  }
  return report;
}

// Parses one object with `parse_members`.
template <typename Result>
absl::StatusOr<Result> ParseObject(const std::string& text,
                                   Result (*parse_members)(ObjectReader&)) {
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  ObjectReader reader(*value, status);
  Result result = parse_members(reader);
  if (!status.ok()) {
    return status;
  }
  return result;
}

// Parses the objects of the list `member`.
template <typename Item>
absl::StatusOr<std::vector<Item>> ParseList(
    const std::string& text,
    const char* member,
    Item (*parse_members)(ObjectReader&)) {
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  ObjectReader list(*value, status);
  std::vector<Item> items;
  for (const Json::Value& it : list.Array(member)) {
    ObjectReader reader(it, status);
    items.push_back(parse_members(reader));
  }
  if (!status.ok()) {
    return status;
  }
  return items;
}

}  // namespace

std::string Encode(const AttemptKey& key) {
  return WriteJson(ToJson(key));
}

std::string Encode(BeginResult result) {
  Json::Value value;
  value["result"] = NameOf(result, kBeginResults);
  return WriteJson(value);
}

std::string Encode(const FinishCall& call) {
  Json::Value value = ToJson(call.key);
  value["outcome"] = NameOf(call.result, kFinishResults);
  return WriteJson(value);
}

std::string Encode(const std::vector<AttemptRecord>& records) {
  Json::Value value;
  value["records"] = Json::Value(Json::arrayValue);
  for (const AttemptRecord& it : records) {
    Json::Value record = ToJson(it.key);
    record["state"] = NameOf(it.state, kStates);
    value["records"].append(record);
  }
  return WriteJson(value);
}

std::string Encode(const std::vector<CrashReport>& reports) {
  Json::Value value;
  value["reports"] = Json::Value(Json::arrayValue);
  for (const CrashReport& it : reports) {
    Json::Value report;
    report["service"] = it.key.service;
    report["id"] = it.key.request_id;
    report["fingerprint"] = it.key.fingerprint;
    report["target"] = it.target;
    report["crash_limit"] = it.crash_limit;
    report["age_ns"] = static_cast<Json::Int64>(it.age.count());
    value["reports"].append(report);
  }
  return WriteJson(value);
}

absl::StatusOr<AttemptKey> ParseAttemptKey(const std::string& text) {
  return ParseObject(text, &ParseKey);
}

absl::StatusOr<BeginResult> ParseBeginResult(const std::string& text) {
  return ParseObject<BeginResult>(text, [](ObjectReader& reader) {
    return ParseName<BeginResult>(reader, "result", kBeginResults);
  });
}

absl::StatusOr<FinishCall> ParseFinishCall(const std::string& text) {
  return ParseObject<FinishCall>(text, [](ObjectReader& reader) {
    FinishCall call;
    call.key = ParseKey(reader);
    call.result = ParseName<FinishResult>(reader, "outcome", kFinishResults);
    return call;
  });
}

absl::StatusOr<std::vector<AttemptRecord>> ParseAttemptRecords(
    const std::string& text) {
  return ParseList(text, "records", &ParseRecord);
}

absl::StatusOr<std::vector<CrashReport>> ParseCrashReports(
    const std::string& text) {
  return ParseList(text, "reports", &ParseReport);
}

}  // namespace toucandock::codec
