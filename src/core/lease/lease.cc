#include "core/lease/lease.h"

namespace toucandock::core::lease {

// Returns how long `duration` on another host's clock can last on this host's
// clock.
Duration WithDrift(const LeaseOptions& options, Duration duration) {
  return duration + duration * options.drift_permille / 1'000;
}

// Returns the time on the issuer's clock at which the lease has certainly ended
// on the holder's clock, whatever the drift.
TimePoint LatestEnd(const LeaseOptions& options,
                    TimePoint issued,
                    Duration duration) {
  return issued + WithDrift(options, duration) + options.margin;
}

}  // namespace toucandock::core::lease
