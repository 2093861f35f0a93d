#ifndef TOUCANDOCK_CODEC_EVENT_JSON_H_
#define TOUCANDOCK_CODEC_EVENT_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "core/control/host_controller.h"
#include "core/control/messages.h"
#include "core/time.h"

namespace toucandock::codec {

// One input of the controller with its time.
struct TracedEvent {
  core::TimePoint at;
  core::control::Event event;
};

// A record id that the controller generated. A replay returns the same one.
struct TracedRecordId {
  std::string id;
};

struct ExpectedOwner {
  core::Unit unit;
  // Empty if no target may own the unit.
  core::TargetId target;
};

// Outcome that is expected after the preceding event; absent members are not
// checked.
struct Expectation {
  std::optional<std::uint64_t> config_version;
  std::optional<bool> has_lease;
  std::optional<bool> is_leader;
  std::optional<bool> log_available;
  std::optional<std::uint64_t> voters;
  std::optional<std::uint64_t> moves_under_way;
  std::optional<std::vector<core::TargetId>> lost_targets;
  std::vector<ExpectedOwner> owners;
};

using TraceLine = std::variant<core::control::ControllerOptions,
                               TracedEvent,
                               TracedRecordId,
                               Expectation>;

std::string EncodeTraceLine(const TraceLine& line);

absl::StatusOr<TraceLine> ParseTraceLine(const std::string& text);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_EVENT_JSON_H_
