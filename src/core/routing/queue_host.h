#ifndef TOUCANDOCK_CORE_ROUTING_QUEUE_HOST_H_
#define TOUCANDOCK_CORE_ROUTING_QUEUE_HOST_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "core/control/records.h"
#include "core/routing/routing_snapshot.h"
#include "core/unit.h"

namespace toucandock::core::routing {

const control::HostInfo* QueueHost(
    const RoutingSnapshot& snapshot,
    const TargetId& target,
    const std::function<bool(const HostId&)>& is_failing);

std::map<std::string, size_t> ConnectionShares(const RoutingSnapshot& snapshot);

}  // namespace toucandock::core::routing

#endif  // TOUCANDOCK_CORE_ROUTING_QUEUE_HOST_H_
