#ifndef TOUCANDOCK_ENTRY_CLOCK_H_
#define TOUCANDOCK_ENTRY_CLOCK_H_

#include "core/time.h"

namespace toucandock::entry {

// Returns the time for leases. This clock also advances while the machine is
// suspended, which the steady clock does not: a host that was suspended must
// not assume that it is still the leader.
core::TimePoint LeaseClockNow();

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_CLOCK_H_
