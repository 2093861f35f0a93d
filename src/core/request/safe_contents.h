#ifndef TOUCANDOCK_CORE_REQUEST_SAFE_CONTENTS_H_
#define TOUCANDOCK_CORE_REQUEST_SAFE_CONTENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "core/time.h"

namespace toucandock::core::request {

struct SafeContentOptions {
  // A whole answer proves for this long, and for up to twice as long, that the
  // request crashes nothing.
  Duration lifetime = std::chrono::minutes(1);
  // Proofs that are kept for one lifetime; with more, they are kept for less.
  size_t max_entries = 32'768;
};

// Contents of requests that were answered in whole a moment ago, by the version
// of the software that answered: another version may crash on them.
class SafeContents {
 public:
  explicit SafeContents(const SafeContentOptions& options)
      : options_(options) {}

  void Add(const std::string& content,
           const std::string& version,
           TimePoint now);
  bool Contains(const std::string& content,
                const std::string& version,
                TimePoint now);

 private:
  void Expire(TimePoint now);

  const SafeContentOptions options_;
  // Hashes in two generations; the older one is dropped when the newer is full
  // or old.
  absl::flat_hash_set<std::uint64_t> recent_;
  absl::flat_hash_set<std::uint64_t> earlier_;
  TimePoint recent_since_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_SAFE_CONTENTS_H_
