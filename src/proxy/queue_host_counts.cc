#include "proxy/queue_host_counts.h"

namespace toucandock::proxy {
namespace {

// Later the count says nothing about the load, and a target that was busy once
// would be avoided although nothing is known of it.
constexpr core::Duration kCountLifetime = std::chrono::milliseconds(100);

}  // namespace

void QueueHostCounts::Set(const core::TargetId& target,
                          std::uint32_t count,
                          core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counts_[target] = {count, now};
}

// Zero for a target without a fresh count.
std::uint32_t QueueHostCounts::Get(const core::TargetId& target,
                                   core::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = counts_.find(target);
  return it != counts_.end() && now - it->second.at < kCountLifetime
             ? it->second.value
             : 0;
}

}  // namespace toucandock::proxy
