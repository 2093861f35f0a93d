#include "core/keyspace/leader_membership.h"

namespace toucandock::core::keyspace {

// While no leader responds, a member renews its membership often, because it
// learns only from such a call that it has become the leader.
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
