#include "entry/clock.h"

#include <ctime>

namespace toucandock::entry {

core::TimePoint LeaseClockNow() {
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
    return std::chrono::steady_clock::now();
  }
  return core::TimePoint(std::chrono::seconds(now.tv_sec) +
                         std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace toucandock::entry
