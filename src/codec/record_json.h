#ifndef TOUCANDOCK_CODEC_RECORD_JSON_H_
#define TOUCANDOCK_CODEC_RECORD_JSON_H_

#include <json/value.h>

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/control/control_state.h"
#include "core/control/records.h"

namespace toucandock::codec {

std::string EncodeRecord(const core::control::Record& record);
absl::StatusOr<core::control::Record> ParseRecord(const std::string& text);

Json::Value ToJson(const core::control::Record& record);
Json::Value ToJson(const core::Unit& unit);
Json::Value ToJson(const core::control::Ballot& ballot);
Json::Value ToJson(const core::control::HostInfo& host);
Json::Value ToJson(const core::control::ControlState& state);

core::control::Record ParseRecord(const Json::Value& value,
                                  absl::Status& status);
core::Unit ParseUnit(const Json::Value& value, absl::Status& status);
core::control::Ballot ParseBallot(const Json::Value& value,
                                  absl::Status& status);
core::control::HostInfo ParseHost(const Json::Value& value,
                                  absl::Status& status);
core::control::ControlState ParseState(const Json::Value& value,
                                       absl::Status& status);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_RECORD_JSON_H_
