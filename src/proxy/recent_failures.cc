#include "proxy/recent_failures.h"

namespace toucandock::proxy {
namespace {

// Approximately the time until the loss of a target is detected and its keys
// have moved.
constexpr core::Duration kRetention = std::chrono::seconds(1);

}  // namespace

void RecentFailures::Add(const std::string& id, core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(failed_at_,
                [&](const auto& it) { return now - it.second > kRetention; });
  failed_at_[id] = now;
}

bool RecentFailures::Contains(const std::string& id,
                              core::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = failed_at_.find(id);
  return it != failed_at_.end() && now - it->second <= kRetention;
}

}  // namespace toucandock::proxy
