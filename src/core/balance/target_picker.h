#ifndef TOUCANDOCK_CORE_BALANCE_TARGET_PICKER_H_
#define TOUCANDOCK_CORE_BALANCE_TARGET_PICKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/balance/target_load.h"
#include "core/time.h"

namespace toucandock::core::balance {

struct PickCandidate {
  const TargetLoad* load = nullptr;
  std::uint32_t slots = 1;
  bool same_domain = false;
  bool cold = false;
  // The request was sent to this target before.
  bool tried = false;
  // Number of requests from which on the target gets no more, if it is lower
  // than the one that follows from `queue_factor`.
  std::optional<double> max_requests;
};

struct PickRequest {
  bool idempotent = false;
  Duration latency_goal{};
  // Response time of a target of typical speed without a queue.
  FloatSeconds typical_time{0.2};
};

struct PickOptions {
  // A target in another failure domain is chosen only if its response is
  // expected earlier by at least this fraction of the latency goal, because
  // traffic between failure domains is charged.
  double domain_preference = 0.35;
  // A cold target is assumed to be slower by this factor.
  double cold_factor = 2.0;
  // Number of requests beyond the slots that a target's own queue may hold, as
  // a multiple of the slots. Full targets shed requests or reset connections.
  double queue_factor = 1.5;
  // Expected cost of a failure, as a multiple of the latency goal.
  double failure_cost = 2.0;
};

// Returns the index of the chosen candidate, or a negative number if there is
// none.
int PickTarget(const std::vector<PickCandidate>& candidates,
               const PickRequest& request,
               const PickOptions& options,
               std::uint64_t random,
               TimePoint now);

// Number of requests that a target may have, with those in its own queue.
double MaxRequests(std::uint32_t slots, const PickOptions& options);

bool HasCapacity(const PickCandidate& candidate,
                 const PickOptions& options,
                 TimePoint now);

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_TARGET_PICKER_H_
