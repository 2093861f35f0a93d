#ifndef TOUCANDOCK_CORE_REQUEST_SAFE_CONTENTS_H_
#define TOUCANDOCK_CORE_REQUEST_SAFE_CONTENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "core/time.h"

namespace toucandock::core::request {

struct SafeContentOptions {
  // After a complete response, a request content counts as safe for at least
  // this long and for at most twice as long.
  Duration lifetime = std::chrono::minutes(1);
  // Number of contents that can be kept for one lifetime. If there are more,
  // each of them is kept for less time.
  size_t max_entries = 32'768;
};

// Contents of requests that recently completed without a crash, together with
// the software version of the target that ran them, since another version may
// crash on the same content.
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
  // Hashes of the contents in two generations. When the recent generation is
  // full or has reached the lifetime, it replaces the earlier one.
  absl::flat_hash_set<std::uint64_t> recent_;
  absl::flat_hash_set<std::uint64_t> earlier_;
  TimePoint recent_since_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_SAFE_CONTENTS_H_
