#include "entry/thread_lag.h"

#include <chrono>

#include "entry/event_log.h"

namespace toucandock::entry {

core::Duration ReportLateTimer(absl::string_view thread, core::TimePoint due) {
  const core::Duration late = std::chrono::steady_clock::now() - due;
  if (late >= kReportedLag) {
    LogEvent(
        "thread_late",
        {{"thread", thread},
         {"late_ms", std::chrono::duration_cast<std::chrono::milliseconds>(late)
                         .count()}});
  }
  return late;
}

}  // namespace toucandock::entry
