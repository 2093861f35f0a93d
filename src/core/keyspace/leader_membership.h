#ifndef TOUCANDOCK_CORE_KEYSPACE_LEADER_MEMBERSHIP_H_
#define TOUCANDOCK_CORE_KEYSPACE_LEADER_MEMBERSHIP_H_

#include "core/time.h"

namespace toucandock::core::keyspace {

// How a host renews its membership in the group from which the store chooses
// the leader, the host that decides about owners.
struct MembershipOptions {
  // Leadership moves to another host when the store has received no renewal
  // from the leader for this long.
  Duration leader_ttl = std::chrono::milliseconds(2'000);
  // Less than a third of leader_ttl, so that two lost calls do not end the
  // membership.
  Duration leader_interval = std::chrono::milliseconds(600);
  // Hosts that are not the leader also keep their membership, because each host
  // that joins or leaves may make the store choose a new leader.
  Duration member_ttl = std::chrono::milliseconds(5'000);
  Duration member_interval = std::chrono::milliseconds(1'600);
};

struct MembershipState {
  bool is_leader = false;
  // The leader responds to this host.
  bool leader_reachable = false;
};

struct MembershipRenewal {
  Duration ttl{};
  Duration interval{};
};

MembershipRenewal NextRenewal(const MembershipState& state,
                              const MembershipOptions& options);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_LEADER_MEMBERSHIP_H_
