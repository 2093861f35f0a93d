#ifndef TOUCANDOCK_CORE_ADMISSION_FREED_CAPACITY_H_
#define TOUCANDOCK_CORE_ADMISSION_FREED_CAPACITY_H_

#include <optional>

#include "core/time.h"

namespace toucandock::core::admission {

// How often capacity becomes free for the requests that wait for it: the
// smoothed time between two of them being sent while others wait.
class FreedCapacity {
 public:
  // The interval that applies until one has been seen, or if the last one was
  // seen too long ago.
  void Assume(Duration interval, TimePoint now);
  // The first request begins to wait.
  void OnFirstWaiting(TimePoint now) { since_ = now; }
  void OnNoneWaiting() { since_.reset(); }
  // A request that waited was sent.
  void OnFreed(TimePoint now);

  Duration Interval(TimePoint now) const;

 private:
  Duration Limited(Duration gap) const;

  Duration mean_{};
  int samples_ = 0;
  TimePoint sampled_at_{};
  // Time at which capacity was last freed while requests wait.
  std::optional<TimePoint> since_;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_FREED_CAPACITY_H_
