#ifndef TOUCANDOCK_CORE_KEYSPACE_LEADER_MEMBERSHIP_H_
#define TOUCANDOCK_CORE_KEYSPACE_LEADER_MEMBERSHIP_H_

#include "core/time.h"

namespace toucandock::core::keyspace {

// How a host keeps its membership in the group among which the store gives the
// duty to decide about owners.
struct MembershipOptions {
  // The duty passes on this long after the host that has it was last heard.
  Duration leader_ttl = std::chrono::milliseconds(2'000);
  // Less than a third of the time to live, so that two lost calls end nothing.
  Duration leader_interval = std::chrono::milliseconds(600);
  // Hosts without the duty stay members, too: each that comes or goes may make
  // the store deal the duty anew.
  Duration member_ttl = std::chrono::milliseconds(5'000);
  Duration member_interval = std::chrono::milliseconds(1'600);
};

struct MembershipState {
  bool is_leader = false;
  // The host that has the duty answers this one.
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
