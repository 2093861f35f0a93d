#ifndef TOUCANDOCK_CORE_REQUEST_ATTEMPT_REGISTRY_H_
#define TOUCANDOCK_CORE_REQUEST_ATTEMPT_REGISTRY_H_

#include <cstddef>
#include <list>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/time.h"

namespace toucandock::core::request {

// One attempt to run a non-idempotent request.
struct AttemptKey {
  std::string service;
  std::string request_id;
  std::string fingerprint;
  // Generated for each arrival of the request at an entry host. It
  // distinguishes a repeated `begin` call for the same arrival from the `begin`
  // call for a resent request.
  std::string token;

  bool operator==(const AttemptKey&) const = default;
};

enum class AttemptState { kStarted, kRan };

struct AttemptRecord {
  AttemptKey key;
  AttemptState state = AttemptState::kStarted;
};

enum class BeginResult {
  kBegun,
  // Another arrival of the request was recorded before and may have run.
  kStarted,
  kRan,
  // The request id is already recorded for a request with another fingerprint.
  kReused,
  // The registry is full, so nothing was recorded.
  kRefused,
};

enum class FinishResult { kRan, kWithdrawn };

struct RegistryLimits {
  // Each entry takes about 400 bytes, so the registry takes at most 100 MB of a
  // host's memory. With a retention of 10 minutes, one host can record 436
  // attempts per second.
  size_t entries = 262'144;
  Duration retention = std::chrono::minutes(10);
};

// Records of attempts that this host keeps for the fleet. A record is never
// dropped before its retention has passed; a full registry refuses new attempts
// instead.
class AttemptRegistry {
 public:
  explicit AttemptRegistry(const RegistryLimits& limits);

  BeginResult Begin(const AttemptKey& key, TimePoint now);
  void Finish(const AttemptKey& key, FinishResult result, TimePoint now);
  void Adopt(const AttemptRecord& record, TimePoint now);
  std::vector<AttemptRecord> Records(TimePoint now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    AttemptKey key;
    AttemptState state = AttemptState::kStarted;
    TimePoint updated_at;
  };
  using Position = std::list<Entry>::iterator;

  void Add(const AttemptRecord& record, TimePoint now);
  void Refresh(Position position, TimePoint now);
  void Expire(TimePoint now);

  const RegistryLimits limits_;
  // Ordered by `updated_at`, oldest first.
  std::list<Entry> entries_;
  absl::flat_hash_map<std::string, Position> index_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_ATTEMPT_REGISTRY_H_
