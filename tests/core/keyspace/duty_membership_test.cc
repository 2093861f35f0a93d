#include "core/keyspace/duty_membership.h"

#include <doctest/doctest.h>

namespace toucandock::core::keyspace {

// kc-brama-grown quiet-1: hosts that left and joined the group moved the duty
// three times on a day without faults, and all hosts read the store meanwhile.
TEST_CASE("the duty must move only when its host is lost, and then soon") {
  const MembershipTerms terms;
  const MembershipRenewal idle = NextRenewal({.hears_duty_host = true}, terms);
  const MembershipRenewal duty = NextRenewal({.has_duty = true}, terms);
  const MembershipRenewal search = NextRenewal({}, terms);

  SUBCASE("a membership outlasts two lost calls, with or without the duty") {
    for (const MembershipRenewal& it : {idle, duty, search}) {
      CHECK(it.ttl > 3 * it.interval);
    }
  }

  SUBCASE("a host without the duty stays a member, with few calls") {
    CHECK(idle.interval >= 2 * duty.interval);
    CHECK(idle.ttl >= duty.ttl);
  }

  SUBCASE("the host that has the duty is lost") {
    // Its membership ends, and the member that the store chooses asks.
    CHECK(duty.ttl + search.interval <= std::chrono::milliseconds(2'600));
  }
}

}  // namespace toucandock::core::keyspace
