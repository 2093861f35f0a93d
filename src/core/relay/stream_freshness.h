#ifndef TOUCANDOCK_CORE_RELAY_STREAM_FRESHNESS_H_
#define TOUCANDOCK_CORE_RELAY_STREAM_FRESHNESS_H_

#include <chrono>
#include <deque>
#include <optional>

#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::relay {

struct FreshnessOptions {
  // A host that takes records from another host reads the store itself once it
  // does not know that its records were complete at most this long ago.
  Duration max_age = std::chrono::milliseconds(1'300);
  // The same for a host that serves others. It reads first, and the others
  // learn from it.
  Duration max_serving_age = std::chrono::milliseconds(1'100);
  // A read on behalf of an overdue stream is not repeated for this long.
  Duration read_interval = std::chrono::milliseconds(250);
};

// Returns the options with which each host learns of a change within
// `change_limit`, the time in which changes have to take effect. Limits below
// 1.5 s count as 1.5 s.
FreshnessOptions FreshnessOptionsFor(Duration change_limit);

// How old a host's knowledge of one stream is, from end to end: the age of
// knowledge that comes through other hosts includes the time that these hosts
// needed. A limit for each hop would not do, since the limits add up.
class StreamFreshness {
 public:
  explicit StreamFreshness(const FreshnessOptions& options)
      : options_(options) {}

  // This host knows all records that the stream held at `as_of`.
  void OnComplete(TimePoint as_of);
  // Another host knows all records that the stream held at `as_of`, which end
  // before `next`. Applies to this host as well once it has read as far.
  void OnReported(Offset next, TimePoint as_of);
  // This host knows all records before `next`.
  void OnProgress(Offset next);
  // Some records are missing and can only be replaced by reading all newest
  // ones.
  void OnHistoryLost();

  // Nothing if the host has never known all records.
  std::optional<Duration> Age(TimePoint now) const;
  // Whether the host has to read the store without delay. Must be followed by
  // OnOverdueRead() if it does.
  bool IsOverdue(bool serves_others, TimePoint now) const;
  void OnOverdueRead(TimePoint now) { overdue_read_at_ = now; }

 private:
  struct Report {
    Offset next = 0;
    TimePoint as_of;
  };

  const FreshnessOptions options_;
  std::optional<TimePoint> complete_at_;
  Offset next_ = 0;
  // Reports about records that this host has not read yet, the oldest first.
  std::deque<Report> pending_;
  std::optional<TimePoint> overdue_read_at_;
};

}  // namespace toucandock::core::relay

#endif  // TOUCANDOCK_CORE_RELAY_STREAM_FRESHNESS_H_
