#ifndef TOUCANDOCK_CODEC_TARGET_JSON_H_
#define TOUCANDOCK_CODEC_TARGET_JSON_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/control/messages.h"

namespace toucandock::codec {

// Messages to targets and from the platform's host list. Clock readings and
// ends of grants are whole milliseconds on the target's clock.
std::string Encode(const core::control::Grant& grant);

// Fills clock, instance and health; the result is left to the caller.
absl::StatusOr<core::control::TargetAnswer> ParseTargetAnswer(
    const std::string& text);

absl::StatusOr<std::vector<core::control::ListedHost>> ParseHostList(
    const std::string& text);

// Name of a unit in requests and grants, such as "shard-12" or "key-9f".
std::string UnitName(const core::Unit& unit);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_TARGET_JSON_H_
