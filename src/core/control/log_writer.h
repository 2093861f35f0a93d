#ifndef TOUCANDOCK_CORE_CONTROL_LOG_WRITER_H_
#define TOUCANDOCK_CORE_CONTROL_LOG_WRITER_H_

#include <optional>
#include <vector>

#include "core/control/messages.h"
#include "core/time.h"

namespace toucandock::core::control {

// Appends records with at most one of them in flight. When the response to an
// append was lost, reading the log shows the result: the record is appended
// again under the same id only after a later read did not contain it.
class LogWriter {
 public:
  // The log counts as slow when a record has been in flight for this long.
  static constexpr Duration kSlowAfter = std::chrono::milliseconds(150);

  bool idle() const { return !in_flight_.has_value(); }

  void Append(Record record, TimePoint now, Actions& out);
  void OnAppendResult(const AppendResultEvent& result, TimePoint now);
  void OnLogRead(const LogReadEvent& read, TimePoint now, Actions& out);
  void OnLogFailed();
  void Abandon();

  bool IsLogSlow(TimePoint now) const;

 private:
  std::optional<Record> in_flight_;
  TimePoint sent_at_;
  // Time at which the append failed or timed out. A read that is sent later
  // shows whether the record was stored.
  std::optional<TimePoint> unresolved_since_;
  bool log_failed_ = false;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_LOG_WRITER_H_
