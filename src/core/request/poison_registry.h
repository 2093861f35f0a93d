#ifndef TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
#define TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/request/safe_contents.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::request {

// Recognises a request when it is sent again.
struct PoisonKey {
  // Empty where a content is the same request whatever service runs it.
  std::string service;
  // Empty when the caller gave none, or when it changes with each attempt.
  std::string request_id;
  std::string fingerprint;

  bool operator==(const PoisonKey&) const = default;
};

// What a target ran when it ended.
struct TargetVersion {
  std::string service;
  // Of the service's software; empty when unknown.
  std::string version;

  bool operator==(const TargetVersion&) const = default;
};

// One target that ended while it ran the request.
struct CrashReport {
  PoisonKey key;
  TargetId target;
  // Of the service: crashes from which on the request is refused.
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
  // The request with this id did; so it was run.
  kSameRequest,
};

struct PoisonOptions {
  size_t max_requests = 4'096;
  // A verdict holds for this long after the last crash.
  Duration block_duration = std::chrono::minutes(10);
  // The crashes of a verdict are remembered for this long, those of other
  // requests only as long as a verdict holds. After the end of a verdict and
  // within this time, one further crash renews it.
  Duration retention = std::chrono::minutes(10);
  // Reports of one target that are less apart are about the same crash: several
  // copies of a request may be in flight when their target ends.
  Duration same_crash_window = std::chrono::seconds(1);
  SafeContentOptions safe_contents;
};

// A content that was in flight when targets ended.
struct SuspectedRequest {
  PoisonKey key;
  size_t crashes = 0;
  // Requests with it are refused now.
  bool is_blocked = false;
  // Of the last crash.
  TargetVersion target_version;
  Duration age{};
};

// Versions that the targets in use run, by service.
using VersionsInUse = std::map<std::string, std::set<std::string>>;

// Requests that crashed targets, as this host knows from its own attempts and
// from its peers' reports. Hosts that know the same reports come to the same
// verdicts, in whatever order the reports arrived.
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
  std::vector<SuspectedRequest> SuspectedRequests(TimePoint now);
  std::uint32_t Digest(TimePoint now);
  // A verdict ends when no target in use runs the version that crashed last.
  void SetVersionsInUse(VersionsInUse versions_in_use);

 private:
  struct Crash {
    CrashReport report;
    TimePoint at;
  };
  struct Suspect {
    // At most as many as lead to a verdict, the latest ones.
    std::vector<Crash> crashes;
    TimePoint last_crash;
  };

  bool CountCrash(const std::string& name,
                  const CrashReport& report,
                  TimePoint now);
  void EvictIfFull();
  bool IsOverLimit(const std::string& name, TimePoint now) const;
  bool IsOverLimit(const Suspect& suspect, TimePoint now) const;
  bool IsReplaced(const TargetVersion& target_version) const;
  void Expire(TimePoint now);

  const PoisonOptions options_;
  std::map<std::string, Suspect> suspects_;
  SafeContents safe_contents_;
  VersionsInUse versions_in_use_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
