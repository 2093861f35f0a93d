#include "codec/status_json.h"

namespace toucandock::codec {

Json::Value ToJson(const core::control::ControllerStatus& status) {
  Json::Value value;
  value["host"] = status.host;
  value["leader"] = status.leader;
  value["is_leader"] = status.is_leader;
  value["has_lease"] = status.has_lease;
  value["log_available"] = status.log_available;
  value["config_version"] = static_cast<Json::UInt64>(status.config_version);
  value["config_accepted"] = static_cast<Json::UInt64>(status.config_accepted);
  value["sequence"] = static_cast<Json::UInt64>(status.sequence);
  value["log_next"] = static_cast<Json::UInt64>(status.log_next);
  value["members"] = static_cast<Json::UInt64>(status.members);
  value["voters"] = static_cast<Json::UInt64>(status.voters);
  value["moves_under_way"] = static_cast<Json::UInt64>(status.moves_under_way);
  value["lost_targets"] = Json::Value(Json::arrayValue);
  for (const core::TargetId& it : status.lost_targets) {
    value["lost_targets"].append(it);
  }
  value["draining_targets"] = Json::Value(Json::arrayValue);
  for (const core::TargetId& it : status.draining_targets) {
    value["draining_targets"].append(it);
  }
  return value;
}

}  // namespace toucandock::codec
