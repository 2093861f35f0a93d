#include "codec/target_json.h"

#include <chrono>

#include "codec/json.h"
#include "codec/record_json.h"

namespace toucandock::codec {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)

core::Duration Milliseconds(ObjectReader& reader, const char* name) {
  constexpr std::uint64_t kMax = std::uint64_t{1} << 43;
  const std::uint64_t value = reader.Uint(name);
  if (value > kMax) {
    reader.Fail(std::string("'") + name + "' is out of range");
    return {};
  }
  return std::chrono::milliseconds(value);
}

}  // namespace

std::string Encode(const Grant& grant) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  Json::Value value;
  value["target"] = grant.target;
  value["instance"] = grant.instance;
  value["ballot"] = ToJson(grant.ballot);
  value["sequence"] = static_cast<Json::UInt64>(grant.sequence);
  value["expires_at_ms"] = static_cast<Json::UInt64>(
      duration_cast<milliseconds>(grant.expires_at).count());
  value["units"] = Json::Value(Json::arrayValue);
  for (const UnitFence& it : grant.units) {
    Json::Value unit;
    unit["unit"] = UnitName(it.unit);
    unit["fence"] = static_cast<Json::UInt64>(it.fence);
    value["units"].append(unit);
  }
  return WriteJson(value);
}

absl::StatusOr<TargetAnswer> ParseTargetAnswer(const std::string& text) {
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  ObjectReader reader(*value, status);
  TargetAnswer answer;
  answer.clock = Milliseconds(reader, "clock_ms");
  answer.instance = reader.String("instance");
  const std::string health = reader.String("status");
  if (health == "draining") {
    answer.health = TargetHealth::kDraining;
  } else if (health == "cold") {
    answer.health = TargetHealth::kCold;
  }
  if (!status.ok()) {
    return status;
  }
  return answer;
}

absl::StatusOr<std::vector<ListedHost>> ParseHostList(const std::string& text) {
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  if (!value->isArray()) {
    return absl::InvalidArgumentError("the host list is not a list");
  }
  absl::Status status;
  std::vector<ListedHost> hosts;
  for (const Json::Value& it : *value) {
    ObjectReader reader(it, status);
    hosts.push_back(
        {reader.String("address"), reader.String("state") == "leaving"});
  }
  if (!status.ok()) {
    return status;
  }
  return hosts;
}

std::string UnitName(const core::Unit& unit) {
  const std::string text = core::ToString(unit);
  return text.substr(text.rfind('/') + 1);
}

}  // namespace toucandock::codec
