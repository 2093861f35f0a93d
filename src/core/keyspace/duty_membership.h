#ifndef TOUCANDOCK_CORE_KEYSPACE_DUTY_MEMBERSHIP_H_
#define TOUCANDOCK_CORE_KEYSPACE_DUTY_MEMBERSHIP_H_

#include "core/time.h"

namespace toucandock::core::keyspace {

// How a host keeps its membership in the group among which the store gives the
// duty to decide about owners.
struct MembershipTerms {
  // The duty passes on this long after the host that has it was last heard.
  Duration duty_ttl = std::chrono::milliseconds(2'000);
  // Less than a third of the time to live, so that two lost calls end nothing.
  Duration duty_interval = std::chrono::milliseconds(600);
  // Hosts without the duty stay members, too: each that comes or goes may make
  // the store deal the duty anew.
  Duration member_ttl = std::chrono::milliseconds(5'000);
  Duration member_interval = std::chrono::milliseconds(1'600);
};

struct MembershipState {
  bool has_duty = false;
  // The host that has the duty answers this one.
  bool hears_duty_host = false;
};

struct MembershipRenewal {
  Duration ttl{};
  Duration interval{};
};

MembershipRenewal NextRenewal(const MembershipState& state,
                              const MembershipTerms& terms);

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_DUTY_MEMBERSHIP_H_
