#include "core/keyspace/leader_membership.h"

namespace toucandock::core::keyspace {

// While nobody is heard that has the duty, a member asks often: it learns of
// its own duty only by such a call.
MembershipRenewal NextRenewal(const MembershipState& state,
                              const MembershipOptions& options) {
  return {
      .ttl = state.is_leader ? options.leader_ttl : options.member_ttl,
      .interval = state.is_leader || !state.leader_reachable
                      ? options.leader_interval
                      : options.member_interval,
  };
}

}  // namespace toucandock::core::keyspace
