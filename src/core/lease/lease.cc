#include "core/lease/lease.h"

namespace toucandock::core::lease {

// Returns how long `duration` on another host's clock can last on ours.
Duration WithDrift(const LeaseTerms& terms, Duration duration) {
  return duration + duration * terms.drift_permille / 1'000;
}

// Returns the time on the issuer's clock from which a lease has ended on the
// holder's clock, whatever the drift.
TimePoint SurelyEnded(const LeaseTerms& terms,
                      TimePoint issued,
                      Duration duration) {
  return issued + WithDrift(terms, duration) + terms.margin;
}

}  // namespace toucandock::core::lease
