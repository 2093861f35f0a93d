#ifndef TOUCANDOCK_PROXY_QUEUE_HOST_COUNTS_H_
#define TOUCANDOCK_PROXY_QUEUE_HOST_COUNTS_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "core/time.h"
#include "core/unit.h"

namespace toucandock::proxy {

// Queue lengths that queue hosts last reported for their targets. All methods
// may be called from any thread.
class QueueHostCounts {
 public:
  void Set(const core::TargetId& target,
           std::uint32_t count,
           core::TimePoint now);
  // Returns 0 for a target without a recent count.
  std::uint32_t Get(const core::TargetId& target, core::TimePoint now) const;

 private:
  struct Count {
    std::uint32_t value = 0;
    core::TimePoint at;
  };

  mutable std::mutex mutex_;
  // Entries are never removed; the size is limited by the number of targets
  // that were ever configured.
  std::map<core::TargetId, Count> counts_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_QUEUE_HOST_COUNTS_H_
