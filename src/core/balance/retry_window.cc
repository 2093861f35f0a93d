#include "core/balance/retry_window.h"

#include <algorithm>

namespace toucandock::core::balance {

void RetryWindow::OnRequest(TimePoint now) {
  Expire(now);
  requests_.push_back(now);
}

// Counts a repeated send if the allowance permits it, and returns whether it
// does.
bool RetryWindow::TryRetry(int live_hosts, TimePoint now) {
  Expire(now);
  const double allowance =
      options_.used_fraction *
      (options_.ratio * static_cast<double>(requests_.size()) +
       options_.slack / std::max(1, live_hosts));
  if (static_cast<double>(retries_.size()) + 1 > allowance) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

void RetryWindow::Expire(TimePoint now) {
  const TimePoint start = now - options_.window;
  while (!requests_.empty() && requests_.front() < start) {
    requests_.pop_front();
  }
  while (!retries_.empty() && retries_.front() < start) {
    retries_.pop_front();
  }
}

}  // namespace toucandock::core::balance
