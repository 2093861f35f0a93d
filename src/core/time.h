#ifndef TOUCANDOCK_CORE_TIME_H_
#define TOUCANDOCK_CORE_TIME_H_

#include <chrono>

namespace toucandock::core {

// The core never reads a clock: the time of an event is passed in with the
// event. Only steady time is used, since wall clocks may jump.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock>;
using Duration = std::chrono::steady_clock::duration;
// Used for smoothed times.
using FloatSeconds = std::chrono::duration<double>;

}  // namespace toucandock::core

#endif  // TOUCANDOCK_CORE_TIME_H_
