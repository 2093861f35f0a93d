#include "proxy/published_view.h"

#include <chrono>
#include <utility>

namespace toucandock::proxy {

PublishedView::PublishedView()
    : snapshot_(std::make_shared<core::routing::RoutingSnapshot>()) {}

PublishedView::Snapshot PublishedView::snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return snapshot_;
}

bool PublishedView::HasLease(core::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return now < lease_until_;
}

void PublishedView::Publish(Snapshot snapshot) {
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(snapshot);
  changed_.notify_all();
}

void PublishedView::SetLease(core::TimePoint until, core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool regained = lease_until_ <= now && until > now;
  lease_until_ = until;
  if (regained) {
    changed_.notify_all();
  }
}

void PublishedView::WaitForChange(const Snapshot& seen,
                                  bool has_lease,
                                  core::TimePoint until) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_until(lock, until, [&] {
    return snapshot_ != seen ||
           (!has_lease && std::chrono::steady_clock::now() < lease_until_);
  });
}

}  // namespace toucandock::proxy
