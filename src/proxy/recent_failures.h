#ifndef TOUCANDOCK_PROXY_RECENT_FAILURES_H_
#define TOUCANDOCK_PROXY_RECENT_FAILURES_H_

#include <map>
#include <mutex>
#include <string>

#include "core/time.h"

namespace toucandock::proxy {

// Targets that recently could not be reached. All methods may be called from
// any thread.
class RecentFailures {
 public:
  void Add(const std::string& id, core::TimePoint now);
  bool Contains(const std::string& id, core::TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, core::TimePoint> failed_at_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_RECENT_FAILURES_H_
