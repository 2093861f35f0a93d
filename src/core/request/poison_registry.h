#ifndef TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
#define TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::request {

// Recognises a request when it is sent again.
struct PoisonKey {
  std::string service;
  // Empty when the caller gave none.
  std::string request_id;
  std::string fingerprint;

  bool operator==(const PoisonKey&) const = default;
};

// One target that ended while it ran the request.
struct CrashReport {
  PoisonKey key;
  TargetId target;
  // Of the service: crashes from which on the request is refused.
  std::uint32_t crash_limit = 2;
  // Time since the crash.
  Duration age{};

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
  Duration retention = std::chrono::minutes(10);
  // Reports of one target that are less apart are about the same crash: several
  // copies of a request may be in flight when their target ends.
  Duration same_crash = std::chrono::seconds(1);
  // A whole answer proves for this long that the request crashes nothing.
  Duration proof = std::chrono::minutes(1);
  size_t proofs = 32'768;
};

// Requests that crashed targets, as this host knows from its own attempts and
// from its peers' reports.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(const PoisonLimits& limits);

  bool Report(const CrashReport& report, TimePoint now);
  void Prove(const PoisonKey& key, TimePoint now);
  PoisonVerdict VerdictOn(const PoisonKey& key, TimePoint now);
  std::vector<CrashReport> Reports(TimePoint now);

 private:
  struct Crash {
    CrashReport report;
    TimePoint at;
  };
  struct Suspect {
    std::vector<Crash> crashes;
    TimePoint last_crash;
  };

  void Count(const std::string& name, const CrashReport& report, TimePoint now);
  bool IsOverLimit(const std::string& name) const;
  bool IsProven(const PoisonKey& key) const;
  void Expire(TimePoint now);

  const PoisonLimits limits_;
  std::map<std::string, Suspect> suspects_;
  // Hashes of contents with a whole answer, in two generations; the older one
  // is dropped when the newer is full or old.
  absl::flat_hash_set<std::uint64_t> proven_;
  absl::flat_hash_set<std::uint64_t> proven_before_;
  TimePoint proven_since_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_POISON_REGISTRY_H_
