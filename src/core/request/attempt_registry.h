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
  // Chosen anew for each arrival of the request at an entry host. It tells the
  // repetition of a `begin` from the begin of a resend.
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
  // Another arrival of the request was begun and may have run.
  kStarted,
  kRan,
  // The id belongs to a request with another fingerprint.
  kReused,
  // Nothing was recorded.
  kRefused,
};

enum class FinishResult { kRan, kWithdrawn };

struct RegistryLimits {
  // About 400 bytes each, so at most 100 MB of a host's memory. With a
  // retention of 10 minutes it takes 436 begins a second on one host.
  size_t entries = 262'144;
  Duration retention = std::chrono::minutes(10);
};

// Attempts that this host remembers for the fleet. Records are never dropped
// before the retention has passed: a full registry refuses instead.
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
  // In the order of the time at which they were touched.
  std::list<Entry> entries_;
  absl::flat_hash_map<std::string, Position> index_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_ATTEMPT_REGISTRY_H_
