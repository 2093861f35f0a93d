#ifndef TOUCANDOCK_CORE_ROUTING_TARGET_CHOICE_H_
#define TOUCANDOCK_CORE_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/routing/routing_snapshot.h"

namespace toucandock::core::routing {

// Hooks that provide the inputs for the choice of a target.
struct ChoiceHooks {
  // Requests that this host has in flight to the target.
  std::function<std::uint32_t(const TargetId&)> in_flight;
  // Number of requests that were waiting or running at the target when its
  // queue host last responded to this host; zero if this is unknown or too old.
  std::function<std::uint32_t(const TargetId&)> remote_queue_count;
  // Whether connections to the target failed recently.
  std::function<bool(const TargetId&)> is_failing;
  // Returns a uniformly distributed number.
  std::function<std::uint64_t()> random;
};

const TargetRoute* ChooseTarget(const ServiceRoute& service,
                                const std::vector<TargetId>& tried,
                                const ChoiceHooks& hooks);

}  // namespace toucandock::core::routing

#endif  // TOUCANDOCK_CORE_ROUTING_TARGET_CHOICE_H_
