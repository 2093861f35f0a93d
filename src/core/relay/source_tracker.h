#ifndef TOUCANDOCK_CORE_RELAY_SOURCE_TRACKER_H_
#define TOUCANDOCK_CORE_RELAY_SOURCE_TRACKER_H_

#include "core/time.h"

namespace toucandock::core::relay {

// A host from which others take what it has read from the store.
enum class SourceKind {
  // Has the duty to decide about owners and always reads the store.
  kLeader,
  // Reads the store when the duty host is lost.
  kSubstitute,
};

struct SourceOptions {
  // The duty host is asked each 300 ms; one lost answer is not yet a loss.
  Duration leader_timeout = std::chrono::milliseconds(450);
  // After a loss, hosts wait this long for a substitute before they read the
  // store themselves. With the time in which the duty host's own answers get
  // old, changes are still known everywhere within two seconds.
  Duration substitute_grace = std::chrono::milliseconds(650);
  // A substitute's answer holds for two intervals at which it is asked.
  Duration substitute_lifetime = std::chrono::milliseconds(600);
  // After a failed fetch of records, a host reads the store itself.
  Duration fetch_failure_backoff = std::chrono::milliseconds(2'000);
  // A host that has just started waits this long for a first duty host before
  // it reads more than the newest records.
  Duration start_grace = std::chrono::milliseconds(2'500);
  // The whole fleet starts for the first time. There is no traffic yet, and
  // targets are listed one by one, so hosts read what came when this is over.
  bool fleet_starts = false;
  Duration fleet_start_time = std::chrono::milliseconds(4'000);
};

// Decides whether a host takes the store's records from another host or reads
// them itself, so that the store is read by few.
class SourceTracker {
 public:
  SourceTracker(const SourceOptions& options, TimePoint started)
      : options_(options), started_(started) {}

  // `fresh`: the store has answered the source's reads until a moment ago.
  void OnAnswer(SourceKind kind, bool fresh, TimePoint now);
  void OnFetchFailed(TimePoint now) {
    fetch_backoff_until_ = now + options_.fetch_failure_backoff;
  }
  // The duty host has named this host a substitute, or no longer does.
  void SetSubstitute(bool is_substitute) { is_substitute_ = is_substitute; }

  bool is_substitute() const { return is_substitute_; }
  bool IsLeaderLost(TimePoint now) const;
  // Records come from a duty host or a substitute.
  bool IsRelayed(TimePoint now) const;
  // Changes of the store are not needed yet.
  bool IsStarting(TimePoint now) const;

 private:
  const SourceOptions options_;
  const TimePoint started_;
  bool is_substitute_ = false;
  bool leader_was_heard_ = false;
  // When the duty host counts as lost without a further answer.
  TimePoint leader_lost_at_{};
  TimePoint substitute_until_{};
  TimePoint fetch_backoff_until_{};
};

}  // namespace toucandock::core::relay

#endif  // TOUCANDOCK_CORE_RELAY_SOURCE_TRACKER_H_
