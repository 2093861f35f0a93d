#include "core/routing/queue_host.h"

#include <algorithm>
#include <cstdint>

#include "util/hash.h"

namespace toucandock::core::routing {

// Returns the member whose queue the requests to a target go through: the
// first by rendezvous hash that is not failing, so that a change of members
// moves only the targets of the members that changed. Returns nullptr when
// there is none.
const control::HostInfo* QueueHost(
    const RoutingSnapshot& snapshot,
    const TargetId& target,
    const std::function<bool(const HostId&)>& is_failing) {
  const std::uint64_t seed = util::Hash64(target);
  const control::HostInfo* queue_host = nullptr;
  std::uint64_t highest = 0;
  for (const control::HostInfo& it : snapshot.hosts) {
    const std::uint64_t score = util::Hash64(it.id, seed);
    if ((queue_host == nullptr || score > highest) && !is_failing(it.id)) {
      queue_host = &it;
      highest = score;
    }
  }
  return queue_host;
}

// Returns the unused connections that one host may keep to each target address,
// so that all members together stay within the target's limit. Twice
// the slots are left for requests in service and control calls.
std::map<std::string, size_t> ConnectionShares(
    const RoutingSnapshot& snapshot) {
  const size_t hosts = std::max<size_t>(1, snapshot.hosts.size());
  std::map<std::string, size_t> shares;
  for (const auto& [name, service] : snapshot.services) {
    const config::ServiceConfig& config = service.config;
    const size_t idle_connections =
        config.connections - std::min(config.connections, 2 * config.slots);
    for (const TargetRoute& it : service.targets) {
      shares[it.address] = std::max<size_t>(1, idle_connections / hosts);
    }
  }
  return shares;
}

}  // namespace toucandock::core::routing
