#ifndef TOUCANDOCK_CORE_ROUTING_TARGET_CHOICE_H_
#define TOUCANDOCK_CORE_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/routing/routing_snapshot.h"

namespace toucandock::core::routing {

// Where the choice of a target varies.
struct ChoiceHooks {
  // Requests that this host has in flight to the target.
  std::function<std::uint32_t(const TargetId&)> in_flight;
  // Requests waiting or running when the target's home host last answered this
  // host; zero when that is unknown or too old.
  std::function<std::uint32_t(const TargetId&)> remote_queue_count;
  // Whether connects to the target failed a moment ago.
  std::function<bool(const TargetId&)> is_failing;
  // A uniformly distributed number.
  std::function<std::uint64_t()> random;
};

const TargetRoute* ChooseTarget(const ServiceRoute& service,
                                const std::vector<TargetId>& tried,
                                const ChoiceHooks& hooks);

}  // namespace toucandock::core::routing

#endif  // TOUCANDOCK_CORE_ROUTING_TARGET_CHOICE_H_
