#ifndef TOUCANDOCK_CORE_DISCOVERY_TARGET_DIRECTORY_H_
#define TOUCANDOCK_CORE_DISCOVERY_TARGET_DIRECTORY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace toucandock::core::discovery {

// One process of a target. A restarted target may keep its id, but it has
// another start time.
struct TargetInstance {
  std::string id;
  // Milliseconds since the Unix epoch, as stated by the target.
  std::int64_t start_time_ms = 0;

  auto operator<=>(const TargetInstance&) const = default;
};

// What a target publishes about itself.
struct TargetEntry {
  TargetInstance instance;
  std::string service;
  std::string address;
  std::string failure_domain;
  // Version of the target's software.
  std::string version;
  // Maximum number of requests that the target runs at the same time.
  std::uint32_t slots = 1;
  bool draining = false;
  // How much longer the target remains slow after its start.
  Duration warm_up_left{};
  // Increases with each entry of the same instance.
  std::uint64_t sequence = 0;

  bool operator==(const TargetEntry&) const = default;
};

struct ListedTarget {
  TargetEntry entry;
  // When the target is expected to reach its full speed.
  TimePoint warm_at;
};

struct DirectoryOptions {
  // Entries that expire during an outage of the store are published again
  // within about two seconds of its recovery, if their target still runs.
  Duration expiry_grace = std::chrono::milliseconds(2'000);
  // After each recovery of the store, nothing is removed for this long, which
  // is the time it takes to read the entries that were published again.
  Duration catch_up_time = std::chrono::milliseconds(500);
  // A report by another host that the store responds to it is valid for this
  // long, three times the interval of such reports.
  Duration peer_confirmation_lifetime = std::chrono::milliseconds(900);
};

// The targets that may be used, as given by the entries and removals that were
// read from the store. Entries of an earlier instance, and earlier entries of
// the same instance, have no effect, in whatever order they arrive.
class TargetDirectory {
 public:
  explicit TargetDirectory(const DirectoryOptions& options)
      : options_(options) {}

  bool Apply(const TargetEntry& entry, TimePoint now);
  bool Remove(const std::string& id, TimePoint now);
  bool RetainOnly(const std::vector<std::string>& ids, TimePoint now);
  void OnStoreLost() { store_lost_ = true; }
  void OnStoreRecovered(TimePoint now);
  // Another host, whose records this host has read to the end, reports that the
  // store has responded to it without interruption since `since`.
  void OnStoreConfirmedByPeer(TimePoint since, TimePoint now);
  // For a host that makes no calls to the store: another host reports that the
  // store has responded to it without interruption since `since`.
  void OnStoreUpReported(TimePoint since);
  bool Tick(TimePoint now);

  const std::map<std::string, ListedTarget>& targets() const {
    return targets_;
  }

 private:
  struct LastSeen {
    std::int64_t start_time_ms = 0;
    std::uint64_t sequence = 0;
    bool draining = false;
  };

  bool IsConfirmedByPeer(TimePoint now) const;
  bool InExpiryGrace(TimePoint now) const;

  const DirectoryOptions options_;
  std::map<std::string, ListedTarget> targets_;
  // Also contains removed targets, so that a late entry does not bring them
  // back.
  std::map<std::string, LastSeen> last_seen_;
  // Removals that take effect at the end of their grace period, which starts
  // with the recovery of the store after which they were read. Further outages
  // do not extend it. No value: the store has not recovered yet.
  std::map<std::string, std::optional<TimePoint>> expired_;
  bool store_lost_ = false;
  // Far in the past, so that no grace period is in effect at the start.
  TimePoint recovered_at_{Duration::min() / 2};
  // The time since which the store has responded to another host, and the time
  // until which that report is valid. If only this host cannot reach the store,
  // that is not an outage in which entries expire.
  TimePoint confirmed_since_{Duration::min() / 2};
  TimePoint confirmed_until_{Duration::min() / 2};
};

}  // namespace toucandock::core::discovery

#endif  // TOUCANDOCK_CORE_DISCOVERY_TARGET_DIRECTORY_H_
