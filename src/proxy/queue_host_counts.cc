#include "proxy/queue_host_counts.h"

namespace toucandock::proxy {
namespace {

// An older count says nothing about the current load. If it were used, a target
// that was busy once would be avoided although nothing is known about it.
constexpr core::Duration kCountLifetime = std::chrono::milliseconds(100);

}  // namespace

void QueueHostCounts::Set(const core::TargetId& target,
                          std::uint32_t count,
                          core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counts_[target] = {count, now};
}

std::uint32_t QueueHostCounts::Get(const core::TargetId& target,
                                   core::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = counts_.find(target);
  return it != counts_.end() && now - it->second.at < kCountLifetime
             ? it->second.value
             : 0;
}

}  // namespace toucandock::proxy
