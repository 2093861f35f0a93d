#ifndef TOUCANDOCK_REPLAY_REPLAY_H_
#define TOUCANDOCK_REPLAY_REPLAY_H_

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/control/host_controller.h"
#include "core/time.h"

namespace toucandock::replay {

struct ReplayedDecision {
  // Time since the first event of the trace.
  core::Duration after{};
  std::string what;
  std::string cause;
};

struct ReplayResult {
  size_t events = 0;
  size_t expectations = 0;
  std::vector<ReplayedDecision> decisions;
  // One line for each outcome that differs from the expected one.
  std::vector<std::string> failures;
  core::control::ControllerStatus status;
  // Number of units with an owner at the end.
  size_t owned_units = 0;
};

absl::StatusOr<ReplayResult> Replay(const std::string& name,
                                    std::istream& lines);

}  // namespace toucandock::replay

#endif  // TOUCANDOCK_REPLAY_REPLAY_H_
