#ifndef TOUCANDOCK_PROXY_PUBLISHED_VIEW_H_
#define TOUCANDOCK_PROXY_PUBLISHED_VIEW_H_

#include <condition_variable>
#include <memory>
#include <mutex>

#include "core/routing/routing_snapshot.h"
#include "core/time.h"

namespace toucandock::proxy {

// Passes the control thread's latest routing snapshot and serving lease to the
// traffic threads.
class PublishedView {
 public:
  using Snapshot = std::shared_ptr<const core::routing::RoutingSnapshot>;

  PublishedView();

  Snapshot snapshot() const;
  bool HasLease(core::TimePoint now) const;

  void Publish(Snapshot snapshot);
  void SetLease(core::TimePoint until, core::TimePoint now);
  // Blocks until a snapshot other than `seen` is published, a lease that was
  // missing becomes valid, or the time `until` is reached.
  void WaitForChange(const Snapshot& seen,
                     bool has_lease,
                     core::TimePoint until);

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Snapshot snapshot_;
  core::TimePoint lease_until_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_PUBLISHED_VIEW_H_
