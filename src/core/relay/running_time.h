#ifndef TOUCANDOCK_CORE_RELAY_RUNNING_TIME_H_
#define TOUCANDOCK_CORE_RELAY_RUNNING_TIME_H_

#include <algorithm>

#include "core/time.h"

namespace toucandock::core::relay {

// Time in which this process ran. What other hosts sent while it did not run is
// still unread afterwards, so their silence in that time says nothing.
class RunningTime {
 public:
  // `max_interval`: OnTick() is called at shorter intervals than this while the
  // process runs.
  RunningTime(Duration max_interval, TimePoint started)
      : max_interval_(max_interval), last_tick_(started) {}

  void OnTick(TimePoint now) {
    stalled_ += std::max(Duration::zero(), now - last_tick_ - max_interval_);
    last_tick_ = now;
  }

  TimePoint At(TimePoint now) const {
    return std::min(now, last_tick_ + max_interval_) - stalled_;
  }

 private:
  const Duration max_interval_;
  TimePoint last_tick_;
  Duration stalled_{};
};

}  // namespace toucandock::core::relay

#endif  // TOUCANDOCK_CORE_RELAY_RUNNING_TIME_H_
