#ifndef TOUCANDOCK_CORE_LEASE_LEASE_H_
#define TOUCANDOCK_CORE_LEASE_LEASE_H_

#include "core/time.h"

namespace toucandock::core::lease {

// Durations of all leases. The holder counts a lease from a time before the
// issuer can have granted it. The issuer adds drift and margin before it treats
// the lease as ended.
struct LeaseOptions {
  Duration renew_interval = std::chrono::milliseconds(100);
  // How long an entry host may send requests to owners of keys.
  Duration serving = std::chrono::milliseconds(400);
  // How long a member supports a leader and votes for no other.
  Duration support = std::chrono::milliseconds(400);
  // How long a target that checks fences may run requests.
  Duration grant = std::chrono::milliseconds(500);
  // A member that has received no response from the leader for this long
  // requests votes.
  Duration election = std::chrono::milliseconds(600);
  // Additional delay for each rank that comes before a member, so that members
  // do not request votes at the same time.
  Duration election_step = std::chrono::milliseconds(150);
  // Maximum difference of two clock rates, in parts per thousand.
  int drift_permille = 10;
  Duration margin = std::chrono::milliseconds(20);
};

Duration WithDrift(const LeaseOptions& options, Duration duration);

TimePoint LatestEnd(const LeaseOptions& options,
                    TimePoint issued,
                    Duration duration);

}  // namespace toucandock::core::lease

#endif  // TOUCANDOCK_CORE_LEASE_LEASE_H_
