#ifndef TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
#define TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/request/proven_contents.h"
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
struct TargetRelease {
  std::string service;
  // Of the service's software; empty when unknown.
  std::string version;

  bool operator==(const TargetRelease&) const = default;
};

// One target that ended while it ran the request.
struct CrashReport {
  PoisonKey key;
  TargetId target;
  // Of the service: crashes from which on the request is refused.
  std::uint32_t crash_limit = 2;
  // Time since the crash.
  Duration age{};
  TargetRelease release;

  bool operator==(const CrashReport&) const = default;
};

enum class PoisonVerdict {
  kNone,
  // Requests with the same content crashed targets.
  kSameContent,
  // The request with this id did; so it was run.
  kSameRequest,
};

struct PoisonLimits {
  size_t requests = 4'096;
  // A verdict holds for this long after the last crash.
  Duration verdict = std::chrono::minutes(10);
  // The crashes of a verdict are remembered for this long, those of other
  // requests only as long as a verdict holds. After the end of a verdict and
  // within this time, one further crash renews it.
  Duration retention = std::chrono::minutes(10);
  // Reports of one target that are less apart are about the same crash: several
  // copies of a request may be in flight when their target ends.
  Duration same_crash = std::chrono::seconds(1);
  ProofTerms proof;
};

// A content that was in flight when targets ended.
struct Suspicion {
  PoisonKey key;
  size_t crashes = 0;
  // Requests with it are refused now.
  bool in_force = false;
  // Of the last crash.
  TargetRelease release;
  Duration age{};
};

// Versions that the targets in use run, by service.
using ReleasesInUse = std::map<std::string, std::set<std::string>>;

// Requests that crashed targets, as this host knows from its own attempts and
// from its peers' reports. Hosts that know the same reports come to the same
// verdicts, in whatever order the reports arrived.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(const PoisonLimits& limits);

  bool Report(const CrashReport& report, TimePoint now);
  bool Prove(const PoisonKey& key, const std::string& version, TimePoint now);
  bool IsProven(const PoisonKey& key,
                const std::string& version,
                TimePoint now);
  PoisonVerdict VerdictOn(const PoisonKey& key, TimePoint now);
  std::vector<CrashReport> Reports(TimePoint now);
  std::vector<Suspicion> Suspicions(TimePoint now);
  std::uint32_t Digest(TimePoint now);
  // A verdict ends when no target in use runs the version that crashed last.
  void SetReleasesInUse(ReleasesInUse releases);

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

  bool Count(const std::string& name, const CrashReport& report, TimePoint now);
  void MakeRoom();
  bool IsOverLimit(const std::string& name, TimePoint now) const;
  bool IsOverLimit(const Suspect& suspect, TimePoint now) const;
  bool IsReplaced(const TargetRelease& release) const;
  void Expire(TimePoint now);

  const PoisonLimits limits_;
  std::map<std::string, Suspect> suspects_;
  ProvenContents proven_;
  ReleasesInUse releases_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
