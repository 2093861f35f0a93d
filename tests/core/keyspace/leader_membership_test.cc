#include "core/keyspace/leader_membership.h"

#include <doctest/doctest.h>

namespace toucandock::core::keyspace {

// kc-brama-grown quiet-1: hosts that left and joined the group moved the duty
// three times on a day without faults, and all hosts read the store meanwhile.
TEST_CASE("the duty must move only when its host is lost, and then soon") {
  const MembershipOptions options;
  const MembershipRenewal idle =
      NextRenewal({.leader_reachable = true}, options);
  const MembershipRenewal leader = NextRenewal({.is_leader = true}, options);
  const MembershipRenewal search = NextRenewal({}, options);

  SUBCASE("a membership outlasts two lost calls, with or without the duty") {
    for (const MembershipRenewal& it : {idle, leader, search}) {
      CHECK(it.ttl > 3 * it.interval);
    }
  }

  SUBCASE("a host without the duty stays a member, with few calls") {
    CHECK(idle.interval >= 2 * leader.interval);
    CHECK(idle.ttl >= leader.ttl);
  }

  SUBCASE("the host that has the duty is lost") {
    // Its membership ends, and the member that the store chooses asks.
    CHECK(leader.ttl + search.interval <= std::chrono::milliseconds(2'600));
  }
}

}  // namespace toucandock::core::keyspace
