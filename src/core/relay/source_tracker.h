#ifndef TOUCANDOCK_CORE_RELAY_SOURCE_TRACKER_H_
#define TOUCANDOCK_CORE_RELAY_SOURCE_TRACKER_H_

#include "core/time.h"

namespace toucandock::core::relay {

// A host from which other hosts fetch the records that it has read from the
// store.
enum class SourceKind {
  // Decides about owners and always reads the store.
  kLeader,
  // Reads the store while the leader is lost.
  kSubstitute,
};

struct SourceOptions {
  // The leader is asked every 300 ms. A single lost response does not yet count
  // as a loss of the leader.
  Duration leader_timeout = std::chrono::milliseconds(450);
  // After a loss of the leader, hosts wait this long for a substitute before
  // they read the store themselves. Together with the time after which the
  // leader's own responses are outdated, all hosts still learn of changes
  // within two seconds.
  Duration substitute_grace = std::chrono::milliseconds(650);
  // A response of a substitute is valid for two of the intervals at which it is
  // asked.
  Duration substitute_lifetime = std::chrono::milliseconds(600);
  // After a failed fetch of records from another host, a host reads the store
  // itself for this long.
  Duration fetch_failure_backoff = std::chrono::milliseconds(2'000);
  // A host that has just started waits this long for the first response of a
  // leader before it reads more than the newest records.
  Duration start_grace = std::chrono::milliseconds(2'500);
  // Whether the whole fleet starts for the first time. There is no traffic yet,
  // and targets are listed one by one, so hosts read the entries only after
  // fleet_start_time.
  bool fleet_starts = false;
  Duration fleet_start_time = std::chrono::milliseconds(4'000);
};

// Decides whether a host fetches the store's records from another host or reads
// them itself, so that only few hosts read the store.
class SourceTracker {
 public:
  SourceTracker(const SourceOptions& options, TimePoint started)
      : options_(options), started_(started) {}

  // `fresh`: the store has responded to the reads of the source until recently.
  void OnAnswer(SourceKind kind, bool fresh, TimePoint now);
  void OnFetchFailed(TimePoint now) {
    fetch_backoff_until_ = now + options_.fetch_failure_backoff;
  }
  // Whether this host reads the store itself after a failed fetch.
  bool IsBackingOff(TimePoint now) const { return now < fetch_backoff_until_; }
  // The leader has made this host a substitute, or has revoked that.
  void SetSubstitute(bool is_substitute) { is_substitute_ = is_substitute; }

  bool is_substitute() const { return is_substitute_; }
  bool IsLeaderLost(TimePoint now) const;
  // Returns whether this host gets its records from the leader or a substitute,
  // or still waits for a substitute, for up to `more_grace` longer than
  // SourceOptions::substitute_grace.
  bool IsRelayed(TimePoint now, Duration more_grace = Duration{}) const;
  // Returns whether this host is still starting, so that it does not need
  // changes of the store yet.
  bool IsStarting(TimePoint now) const;

 private:
  const SourceOptions options_;
  const TimePoint started_;
  bool is_substitute_ = false;
  bool leader_was_heard_ = false;
  // When the leader counts as lost if it does not respond again.
  TimePoint leader_lost_at_{};
  TimePoint substitute_until_{};
  TimePoint fetch_backoff_until_{};
};

}  // namespace toucandock::core::relay

#endif  // TOUCANDOCK_CORE_RELAY_SOURCE_TRACKER_H_
