#include "core/keyspace/leader_membership.h"

#include <doctest/doctest.h>

namespace toucandock::core::keyspace {

// Seen in kc-brama-grown quiet-1: hosts that left and joined the group changed
// the leader three times on a day without faults, and all hosts read the store
// during each change.
TEST_CASE("the leader must change only when it is lost, and then soon") {
  const MembershipOptions options;
  const MembershipRenewal idle =
      NextRenewal({.leader_reachable = true}, options);
  const MembershipRenewal leader = NextRenewal({.is_leader = true}, options);
  const MembershipRenewal search = NextRenewal({}, options);

  SUBCASE("a membership survives two lost calls, of the leader or of others") {
    for (const MembershipRenewal& it : {idle, leader, search}) {
      CHECK(it.ttl > 3 * it.interval);
    }
  }

  SUBCASE("a host that is not the leader stays a member with few calls") {
    CHECK(idle.interval >= 2 * leader.interval);
    CHECK(idle.ttl >= leader.ttl);
  }

  SUBCASE("the leader is lost") {
    // Its membership ends, and the member that the store chooses learns of it
    // by its next renewal.
    CHECK(leader.ttl + search.interval <= std::chrono::milliseconds(2'600));
  }
}

}  // namespace toucandock::core::keyspace
