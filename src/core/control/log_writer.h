#ifndef TOUCANDOCK_CORE_CONTROL_LOG_WRITER_H_
#define TOUCANDOCK_CORE_CONTROL_LOG_WRITER_H_

#include <optional>
#include <vector>

#include "core/control/messages.h"
#include "core/time.h"

namespace toucandock::core::control {

// Keeps at most one record of this host in flight. A record whose answer was
// lost is resolved by reading the log: it is appended again under the same id
// only after a later read did not show it.
class LogWriter {
 public:
  // An append that is unanswered for this long makes the log count as slow.
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
  // Set when the append failed or went unanswered; a read that was sent later
  // decides.
  std::optional<TimePoint> unresolved_since_;
  bool log_failed_ = false;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_LOG_WRITER_H_
