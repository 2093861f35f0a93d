#include "core/keyspace/duty_membership.h"

namespace toucandock::core::keyspace {

// While nobody is heard that has the duty, a member asks often: it learns of
// its own duty only by such a call.
MembershipRenewal NextRenewal(const MembershipState& state,
                              const MembershipTerms& terms) {
  return {
      .ttl = state.has_duty ? terms.duty_ttl : terms.member_ttl,
      .interval = state.has_duty || !state.hears_duty_host
                      ? terms.duty_interval
                      : terms.member_interval,
  };
}

}  // namespace toucandock::core::keyspace
