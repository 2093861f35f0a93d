#ifndef TOUCANDOCK_CORE_BALANCE_TARGET_PICKER_H_
#define TOUCANDOCK_CORE_BALANCE_TARGET_PICKER_H_

#include <cstdint>
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
  // The request was sent there before.
  bool tried = false;
};

struct PickRequest {
  bool idempotent = false;
  Duration latency_goal{};
  // Time of an answer at an ordinary target without a queue.
  FloatSeconds typical_time{0.2};
};

struct PickOptions {
  // A target elsewhere is taken when it is expected to answer earlier by this
  // part of the latency goal: traffic between failure domains is paid for.
  double domain_preference = 0.35;
  // A cold target is slower by this factor.
  double cold_factor = 2.0;
  // Requests beyond the slots that a target's own queue may hold, as a
  // multiple of the slots. Full targets shed or reset connections.
  double queue_factor = 1.5;
  // Expected cost of a failure, as a multiple of the latency goal.
  double failure_cost = 2.0;
};

// Index of the chosen candidate; negative: none has room.
int PickTarget(const std::vector<PickCandidate>& candidates,
               const PickRequest& request,
               const PickOptions& options,
               std::uint64_t random,
               TimePoint now);

bool HasCapacity(const PickCandidate& candidate,
                 const PickOptions& options,
                 TimePoint now);

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_TARGET_PICKER_H_
