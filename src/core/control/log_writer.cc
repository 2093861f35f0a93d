#include "core/control/log_writer.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::control {

void LogWriter::Append(Record record, TimePoint now, Actions& out) {
  out.push_back(AppendAction{record});
  in_flight_ = std::move(record);
  sent_at_ = now;
  unresolved_since_.reset();
}

// A stored record stays in flight until it is read back, so that the next
// record can refer to it.
void LogWriter::OnAppendResult(const AppendResultEvent& result, TimePoint now) {
  if (!in_flight_ || in_flight_->id != result.record_id) {
    return;
  }
  log_failed_ = !result.stored;
  if (!result.stored) {
    unresolved_since_ = now;
  }
}

void LogWriter::OnLogRead(const LogReadEvent& read,
                          TimePoint now,
                          Actions& out) {
  if (!in_flight_) {
    log_failed_ = false;
    return;
  }
  const bool found = std::any_of(
      read.entries.begin(), read.entries.end(),
      [this](const LogEntry& it) { return it.record.id == in_flight_->id; });
  if (found) {
    in_flight_.reset();
    unresolved_since_.reset();
    log_failed_ = false;
    return;
  }
  if (unresolved_since_ && read.sent_at > *unresolved_since_) {
    Append(*std::exchange(in_flight_, std::nullopt), now, out);
  }
}

void LogWriter::OnLogFailed() {
  log_failed_ = true;
}

// Drops the record in flight. If it is appended to the log later, its ballot
// and previous_leader_record decide whether it is valid.
void LogWriter::Abandon() {
  in_flight_.reset();
  unresolved_since_.reset();
}

// Returns whether decisions should not wait for the log now.
bool LogWriter::IsLogSlow(TimePoint now) const {
  return log_failed_ || (in_flight_ && now - sent_at_ > kSlowAfter);
}

}  // namespace toucandock::core::control
