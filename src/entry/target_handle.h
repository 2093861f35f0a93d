#ifndef TOUCANDOCK_ENTRY_TARGET_HANDLE_H_
#define TOUCANDOCK_ENTRY_TARGET_HANDLE_H_

#include <memory>
#include <vector>

#include "core/balance/target_load.h"
#include "core/discovery/target_directory.h"
#include "core/time.h"
#include "entry/target_connection.h"

namespace toucandock::entry {

// State that the traffic thread keeps for one instance of a target.
struct TargetHandle {
  TargetHandle(const core::discovery::ListedTarget& listed,
               net::Tcp::endpoint at,
               const core::balance::TargetLoadOptions& options)
      : target(listed), endpoint(std::move(at)), load(options) {}

  core::discovery::ListedTarget target;
  net::Tcp::endpoint endpoint;
  core::balance::TargetLoad load;
  // Idle connections, the most recently used one last.
  std::vector<std::shared_ptr<TargetConnection>> idle;
  // Number and total time of responses since the last report of response times.
  std::uint32_t answers = 0;
  core::Duration answer_time{};
  // When the target last reported that all of its slots are in use.
  core::TimePoint busy_at{};
  // A test connection that shows whether the target has ended is scheduled.
  bool is_probe_scheduled = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TARGET_HANDLE_H_
