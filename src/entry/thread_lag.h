#ifndef TOUCANDOCK_ENTRY_THREAD_LAG_H_
#define TOUCANDOCK_ENTRY_THREAD_LAG_H_

#include "absl/strings/string_view.h"
#include "core/time.h"

namespace toucandock::entry {

// A thread that runs a timer or takes a message this much later than it was due
// has too little processor time, and so decides by outdated data.
constexpr core::Duration kReportedLag = std::chrono::milliseconds(250);

// Logs that the timer of a thread was due long ago. Returns how late it is.
core::Duration ReportLateTimer(absl::string_view thread, core::TimePoint due);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_THREAD_LAG_H_
