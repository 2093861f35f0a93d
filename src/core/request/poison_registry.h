#ifndef TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
#define TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/request/safe_contents.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::request {

// Identifies a request that is sent again.
struct PoisonKey {
  // Empty if requests with equal contents count as the same request for all
  // services.
  std::string service;
  // Empty if the caller sent no id or uses a new id for each attempt.
  std::string request_id;
  std::string fingerprint;

  bool operator==(const PoisonKey&) const = default;
};

// Software that a target was running when it ended.
struct TargetVersion {
  std::string service;
  // Software version of the service; empty if unknown.
  std::string version;

  bool operator==(const TargetVersion&) const = default;
};

// Reports that one target ended while it was running the request.
struct CrashReport {
  PoisonKey key;
  TargetId target;
  // Configured per service: the request is refused once it has caused this many
  // crashes.
  std::uint32_t crash_limit = 2;
  // Time since the crash.
  Duration age{};
  TargetVersion target_version;

  bool operator==(const CrashReport&) const = default;
};

enum class PoisonMatch {
  kNone,
  // Requests with the same content crashed targets.
  kSameContent,
  // The request with this id crashed targets, so it has been run.
  kSameRequest,
};

struct PoisonOptions {
  // Maximum number of suspected requests that are kept.
  size_t max_requests = 4'096;
  // A request is blocked for this long after its last crash.
  Duration block_duration = std::chrono::minutes(10);
  // The crashes of a request that was blocked are kept for this long, those of
  // other requests only for `block_duration`. If a request causes another crash
  // after its block has ended and within this time, it is blocked again.
  Duration retention = std::chrono::minutes(10);
  // Reports about one target that are less than this apart count as the same
  // crash, since several copies of a request may be in flight when their target
  // ends.
  Duration same_crash_window = std::chrono::seconds(1);
  SafeContentOptions safe_contents;
  // A target that ends under load makes all of its requests suspects, hardly
  // any of which caused it. With more requests than this that were suspected
  // only once, hosts compare and store only those that were suspected again:
  // hosts that each keep a different part would exchange their parts without
  // end.
  size_t max_compared_single_crashes = 128;
  // Of more single crashes than that, the latest are stored, while they are
  // newer than this: the time in which further crashes of the same request are
  // reported.
  size_t max_stored_single_crashes = 32;
  Duration single_crash_store_time = std::chrono::seconds(3);
};

// By which two hosts find out whether they know the same crashes.
struct PoisonDigest {
  // Of all crashes; 0 if no request is suspected.
  std::uint32_t all = 0;
  // Of the crashes of requests that crashed several targets.
  std::uint32_t repeated = 0;
  // There are too many single crashes to compare them.
  bool only_repeated = false;

  bool operator==(const PoisonDigest&) const = default;
};

// Whether two hosts need not send each other their reports.
bool KnowSameCrashes(const PoisonDigest& a, const PoisonDigest& b);

// A request content or request id that was in flight when targets ended.
struct SuspectedRequest {
  PoisonKey key;
  size_t crashes = 0;
  // Requests that match it are refused now.
  bool is_blocked = false;
  // Software of the target at the last crash, and the time since that crash.
  TargetVersion target_version;
  Duration age{};
};

// Software versions of the targets that are in use, by service.
using VersionsInUse = std::map<std::string, std::set<std::string>>;

// Requests that crashed targets, according to this host's own attempts and the
// reports of its peers. Hosts that have received the same reports block the
// same requests, regardless of the order in which the reports arrived.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(const PoisonOptions& options);

  bool Report(const CrashReport& report, TimePoint now);
  bool MarkSafe(const PoisonKey& key,
                const std::string& version,
                TimePoint now);
  bool IsSafe(const PoisonKey& key, const std::string& version, TimePoint now);
  PoisonMatch FindMatch(const PoisonKey& key, TimePoint now);
  std::vector<CrashReport> Reports(TimePoint now);
  // The reports that hosts with different digests send to each other.
  std::vector<CrashReport> ReportsToCompare(TimePoint now);
  // The reports that have to outlast a restart of all hosts.
  std::vector<CrashReport> ReportsToStore(TimePoint now);
  std::vector<SuspectedRequest> SuspectedRequests(TimePoint now);
  PoisonDigest Digest(TimePoint now);
  // A request is no longer blocked once no target in use runs the software
  // version that it crashed last.
  void SetVersionsInUse(VersionsInUse versions_in_use);

 private:
  struct Crash {
    CrashReport report;
    TimePoint at;
  };
  struct Suspect {
    // The latest crashes, at most as many as it takes to block the request.
    std::vector<Crash> crashes;
    TimePoint last_crash;
  };

  bool CountCrash(const std::string& name,
                  const CrashReport& report,
                  TimePoint now);
  void EvictIfFull();
  // Returns whether there are too many single crashes to compare them.
  bool ComparesOnlyRepeated() const;
  std::vector<CrashReport> ReportsIf(
      TimePoint now,
      const std::function<bool(const Suspect&)>& is_included) const;
  bool IsOverLimit(const std::string& name, TimePoint now) const;
  bool IsOverLimit(const Suspect& suspect, TimePoint now) const;
  bool IsReplaced(const TargetVersion& target_version) const;
  void Expire(TimePoint now);
  TimePoint ExpiryOf(const Suspect& suspect) const;

  const PoisonOptions options_;
  std::map<std::string, Suspect> suspects_;
  // No suspect expires before.
  TimePoint first_expiry_ = TimePoint::max();
  SafeContents safe_contents_;
  VersionsInUse versions_in_use_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
